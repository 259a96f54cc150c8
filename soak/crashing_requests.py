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


class Case(FleetCase):
    """A fleet before servers that crash."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        self.servers = CrashingServers(subnet, "v1", SERVERS, self.fleet.members, FaultModel(), seed)
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

    def crashes(self):
        return max((len(ended) for ended in self.servers.ended.values()), default=0)

    async def play(self):
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


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
