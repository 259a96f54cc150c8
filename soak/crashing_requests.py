#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Requests that crash each server which runs them and come again, with real processes.

A crashed server starts again after some seconds as a new process at the same address. The checks
use what servers and clients observed. The schedule of requests is deterministic for a seed.

    soak/crashing_requests.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import time

from cases import FleetCase, run_cases, wait_until
from ending_servers import EndingServers
from fleet import CALLERS_PORT
from stand_ins import FaultModel, call

PER_S = 120
SERVERS = 10
CRASHES = 3  # Servers that end before a request is held back.
CONTACT_S = 3.0  # Time until all instances in contact know of it.
LATE_MOST = 3  # Repeats that may reach servers later.
RESTART_S = (1.0, 2.5)  # How long a crashed server is down.
REPEAT_S = (0.05, 0.4)  # Time between two repeats of a request.
PLAY_S = 9.0
FATAL = "fatal"  # Part of the path of a request that crashes servers.
CRASH_AFTER_S = 0.05
FAULTS = 8  # Number of faults of the case with overlapping faults.
SERVED_SHARE = 0.8  # Share of the other requests that must be served without a fault.
EQUAL = "/look/equal"  # A request that crashes nothing and that many callers send.
EQUAL_CALLERS = 24
EQUAL_DEADLINE_S = 2.0
EQUAL_PAUSE_S = (0.01, 0.1)  # Between two requests of such a caller.
EQUAL_WORK_S = 1.0  # So that few end between the servers and the instances.
ALL_DOWN_S = (0.5, 1.5)  # How long all instances are down.
KILLED_AFTER_S = (0.02, 0.15)  # The instances, after the servers have ended.


class CrashingServers(EndingServers):
    """Servers that crash at a fatal request and start again as new processes."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.reached = {}  # Path of a fatal request to the times at which it reached a server.
        self.ended = {}  # The same, to the times at which servers ended under it.

    def judge_path(self, path, state):
        """Returns True for a request that crashes the server, and starts the crash."""
        if FATAL not in path:
            return False
        self.reached.setdefault(path, []).append(time.monotonic())
        self._tasks.append(asyncio.create_task(self._crash(path, state)))
        return True

    async def _crash(self, path, state):
        await asyncio.sleep(CRASH_AFTER_S)
        if await self.end(state, self._rng.uniform(*RESTART_S)):
            self.ended.setdefault(path, []).append(time.monotonic())

    def late(self, path):
        """Returns how many repeats reached servers too late after the third crash."""
        ended = sorted(self.ended.get(path, []))
        if len(ended) < CRASHES:
            return 0
        return sum(1 for when in self.reached[path] if when > ended[CRASHES - 1] + CONTACT_S)


class Repeaters:
    """Clients that send the same fatal requests again and again, through any instance."""

    def __init__(self, instances, key, rng, paths):
        self._instances, self._key, self._rng = instances, key, rng
        self._paths = paths
        self._tasks = []
        self.outcomes = {}

    def start(self):
        self._tasks = [asyncio.create_task(self._repeat(path)) for path in self._paths]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _repeat(self, path):
        number = 0
        while True:
            number += 1
            instance = self._rng.choice(self._instances)
            status, _ = await call(
                instance.address, CALLERS_PORT, "GET", path,
                fields=(f"X-Attempt-Id: {path.replace('/', '')}-{number}",
                        f"Authorization: Bearer {self._key}", "X-Deadline-Ms: 2000"), timeout=2.0)
            self.outcomes[status] = self.outcomes.get(status, 0) + 1
            await asyncio.sleep(self._rng.uniform(*REPEAT_S))


class EqualRequests:
    """Callers that all send the same sound request, each one after the other, through any
    instance."""

    def __init__(self, instances, key, rng):
        self._instances, self._key, self._rng = instances, key, rng
        self._tasks = []
        self._stopping = False
        self.outcomes = []  # (time of the request, status)

    def start(self):
        self._tasks = [asyncio.create_task(self._send(caller)) for caller in range(EQUAL_CALLERS)]

    async def stop(self):
        """Lets each caller end its request."""
        self._stopping = True
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send(self, caller):
        number = 0
        while not self._stopping:
            number += 1
            sent = time.monotonic()
            status, _ = await call(
                self._rng.choice(self._instances).address, CALLERS_PORT, "GET", EQUAL,
                fields=(f"X-Attempt-Id: equal-{caller}-{number}",
                        f"Authorization: Bearer {self._key}",
                        f"X-Deadline-Ms: {int(1000 * EQUAL_DEADLINE_S)}"), timeout=EQUAL_DEADLINE_S)
            self.outcomes.append((sent, status))
            await asyncio.sleep(self._rng.uniform(*EQUAL_PAUSE_S))

    def served_share(self, begin, end):
        """Returns which share of the requests sent between two times were served."""
        statuses = [status for sent, status in self.outcomes if begin <= sent < end]
        return statuses.count(200) / max(1, len(statuses))


class Case(FleetCase):
    """A fleet before servers that crash."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        options = {"work_s": EQUAL_WORK_S} if name in EQUAL_CASES else {}
        self.servers = CrashingServers(subnet, "v1", SERVERS, self.fleet.members, FaultModel(), seed,
                                       **options)
        self.repeaters = None

    async def nothing_else(self):
        await asyncio.sleep(PLAY_S)

    async def leader_killed(self):
        """Kills the leader right after the first crash, and the next one after the third."""
        for crashes in (1, CRASHES):
            await wait_until(lambda n=crashes: self.crashes() >= n)
            await self.kill_leader()
        await asyncio.sleep(PLAY_S)

    async def all_members_killed(self):
        """Kills all members after the second crash and starts them again."""
        await wait_until(lambda: self.crashes() >= CRASHES - 1)
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        for member in self.fleet.members:
            member.start()
        await asyncio.sleep(PLAY_S)

    async def everything_restarts(self):
        """Kills all processes once a request is held back; it must stay so."""
        await wait_until(lambda: self.crashes() >= CRASHES)
        await asyncio.sleep(CONTACT_S)
        for process in self.fleet.members + self.fleet.instances:
            process.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        for process in self.fleet.members + self.fleet.instances:
            process.start()
        await asyncio.sleep(PLAY_S)

    async def overlapping(self):
        """Injects random kills, restarts and pauses, some of them at the same time."""
        faults = []
        for _ in range(FAULTS):
            kind = self.rng.randrange(3)
            if kind == 0:
                fault = self.kill_leader()
            elif kind == 1:
                fault = self.pause(self.rng.choice(self.fleet.members + self.fleet.instances))
            else:
                fault = self.restart_instance()
            faults.append(asyncio.create_task(fault))
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        await asyncio.gather(*faults)
        await asyncio.sleep(CONTACT_S)

    async def half_ends(self, all_instances_killed):
        """Half of the servers end at the same moment, also all instances if asked; all come back.
        Returns the time from which equal requests are counted."""
        states = list(self.servers.states.values())
        for state in self.rng.sample(states, len(states) // 2):
            await self.servers.end(state, self.rng.uniform(*RESTART_S))
        if all_instances_killed:
            await asyncio.sleep(self.rng.uniform(*KILLED_AFTER_S))
            for instance in self.fleet.instances:
                instance.kill()
            await asyncio.sleep(self.rng.uniform(*ALL_DOWN_S))
            for instance in self.fleet.instances:
                instance.start()
        await asyncio.sleep(CONTACT_S)
        return time.monotonic()

    async def play_equal_requests(self, all_instances_killed):
        """Sound requests that are all alike are served on after half of the servers have ended."""
        await self.start_with(self.servers)
        equal = EqualRequests(self.fleet.instances, self.callers.key, self.rng)
        begin = time.monotonic()
        equal.start()
        await asyncio.sleep(EQUAL_DEADLINE_S)
        before = equal.served_share(begin, time.monotonic())
        counted_from = await self.half_ends(all_instances_killed)
        await asyncio.sleep(PLAY_S)
        after = equal.served_share(counted_from, time.monotonic())
        await equal.stop()
        await self.callers.stop()
        self.check(after >= SERVED_SHARE * before,
                   f"served {after:.3f} of equal requests, {before:.3f} before")
        print(f"case={self.name} equal requests served before={before:.3f} after={after:.3f}",
              flush=True)

    def crashes(self):
        return max((len(ended) for ended in self.servers.ended.values()), default=0)

    async def play(self):
        if self.name in EQUAL_CASES:
            await self.play_equal_requests(EQUAL_CASES[self.name])
            return
        await self.start_with(self.servers)
        fault, paths = CASES[self.name]
        self.repeaters = Repeaters(self.fleet.instances, self.callers.key, self.rng, paths)
        self.repeaters.start()
        await fault(self)
        await self.repeaters.stop()
        await self.callers.stop()
        self.judge(paths)

    def judge(self, paths):
        late = {path: self.servers.late(path) for path in paths}
        self.check(all(count <= LATE_MOST for count in late.values()),
                   f"repeats reached servers later than {CONTACT_S} s after the third crash: {late}")
        for path in paths:
            self.check(len(self.servers.ended.get(path, [])) >= CRASHES, f"{path} crashed too few")
        self.check(not self.callers.wrong, "answers of other requests")
        served = self.callers.outcomes.get(200, 0)
        total = sum(self.callers.outcomes.values())
        if self.name.endswith("no-fault"):
            self.check(served >= SERVED_SHARE * total, f"{served} of {total} served")
        print(f"case={self.name} late={late} "
              f"ended={[len(self.servers.ended.get(path, [])) for path in paths]} "
              f"served={served} total={total} outcomes={self.callers.outcomes} "
              f"repeats={self.repeaters.outcomes}", flush=True)

    async def stop(self):
        await self.stop_with(self.servers)


ONE = (f"/look/{FATAL}-1",)
SEVERAL = (f"/look/{FATAL}-1", f"/book/{FATAL}-2")
CASES = {
    "no-fault": (Case.nothing_else, ONE),
    "two-requests-no-fault": (Case.nothing_else, SEVERAL),
    "leader-killed": (Case.leader_killed, ONE),
    "all-members-killed": (Case.all_members_killed, ONE),
    "everything-restarts": (Case.everything_restarts, ONE),
    "overlapping-faults": (Case.overlapping, SEVERAL),
}
# Name to whether all instances are killed at the moment at which half of the servers end.
EQUAL_CASES = {"equal-half-ends": False, "equal-half-ends-all-instances-killed": True}


if __name__ == "__main__":
    run_cases(Case, [*CASES, *EQUAL_CASES], __doc__)
