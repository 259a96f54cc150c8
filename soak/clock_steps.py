#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Steps of the time of day, with real processes: the time of day of members and instances jumps
back and ahead by seconds or an hour, while the steady clock keeps running.

Nothing that counts a length may notice: planned stops, deadlines, polls, heartbeats, elections, kept
connections. The checks use what clients and the operator saw. The schedule is deterministic for a
seed.

    soak/clock_steps.py --program build/poppywayd --environment NAME=VALUE [--seed N] [--case NAME ...]

NAME=VALUE loads the library that steps the time of day (tests/process/time_step.cc).
"""

import asyncio
import os
import random
import signal
import struct
import tempfile
import time

from cases import KEY, POOL, FleetCase, library_argument, run_cases, wait_until
from fleet import CALLERS_PORT, READINESS_PORT, document
from stand_ins import Connections, FaultModel, Servers, call

PER_S = 60
SERVERS = 12
WORK_S = 0.2
# Requests that an instance takes within 2.5 s of its stop, as it should, end within the grace. An
# instance whose stop begins late is killed while some are at work.
LONG_S = (4.3, 4.9)
LONG_EVERY_S = 0.15
GRACE_S = 8.0  # As in the settings: the platform kills a process that still runs then.
PROBE_S = 1.0  # Between two readiness checks of the balancer; two misses take an instance out.
CONFIG_LIMIT_S = 2.0  # From the acknowledgement of a configuration until it is in force.
ACK_LIMIT_S = 4.0
ELECTED_S = 3.0  # Members agree on a leader again within this time.
HUNG_DEADLINE_S = 1.0
HUNG_LIMIT_S = 1.6
KEPT = 20  # Connections that are kept open over a step.
KEPT_REST_S = 1.2
HOUR_S = 3600.0
SERIES_S = 12.0
PAUSES_S = (0.5, 1.5, 2.4)  # Callers give up after 3 s.


SLOW_ROUTE = {"name": "slow", "host": "a.example", "path_prefix": "/slow/", "route_kind": "unsafe",
              "timeout_ms": 9000, "slo_ms": 5000, "priority": 0, "service": POOL,
              "max_attempts": 1, "anonymous": False}


class SteppedTime:
    """The time of day of one process."""

    def __init__(self, folder, name, environment):
        self._path = os.path.join(folder, name)
        self._ahead = 0.0
        self.environment = {**environment, "POPPYWAY_TIME_STEP_FILE": self._path}
        with open(self._path, "wb") as file:
            file.write(struct.pack("=q", 0))

    def step(self, seconds):
        """Steps the time of day, back if `seconds` is negative."""
        self._ahead += seconds
        with open(self._path, "r+b") as file:
            file.write(struct.pack("=q", round(self._ahead * 1e6)))


class SlowServers(Servers):
    """Servers that take long for one path, and never respond to another."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._lengths = random.Random(f"{arguments[5]}-lengths")

    def work_of(self, path, state):
        if path.startswith("/slow/"):
            return self._lengths.uniform(*LONG_S)
        return super().work_of(path, state)

    def judge_path(self, path, state):
        if not path.startswith("/look/hangs"):
            return False
        state["running"] -= 1
        return True


class Case(FleetCase):
    """A fleet whose processes' time of day steps."""

    def __init__(self, program, name, subnet, seed, environment, **fleet_options):
        self._folder = tempfile.TemporaryDirectory(prefix="poppyway-time-")
        self._library = dict([environment.split("=", 1)])
        self.times = {}  # Process name to its time of day.
        super().__init__(program, name, subnet, seed, PER_S,
                         environment_of=lambda number: self._environment(f"edge-{number}"),
                         member_environment_of=lambda number: self._environment(f"member-{number}"),
                         **fleet_options)
        self.servers = SlowServers(subnet, "v1", SERVERS, self.fleet.members, FaultModel(), seed,
                                   WORK_S)
        self.version = 1
        self._longs = 0  # Series of long requests.

    def _environment(self, name):
        self.times[name] = SteppedTime(self._folder.name, name, self._library)
        return self.times[name].environment

    def step(self, processes, seconds):
        for process in processes:
            self.times[process.name].step(seconds)

    def everybody(self):
        return self.fleet.members + self.fleet.instances

    async def ready(self, instance):
        status, _ = await call(instance.address, READINESS_PORT, "GET", "/-/readyz")
        return status == 200

    async def stop_as_planned(self, number, paused_s=0.0):
        """Stops an instance as a platform does. Clients go on using their open connections until
        the process is gone. `paused_s`: how long the process is paused when it is told to stop."""
        instance = self.fleet.instances[number]
        if paused_s > 0:
            instance.send_signal(signal.SIGSTOP)
        begun = time.monotonic()
        instance.terminate()
        if paused_s > 0:
            asyncio.get_running_loop().call_later(
                paused_s, lambda: instance.send_signal(signal.SIGCONT))
        long = asyncio.create_task(self.send_long(number))
        misses, probes = 0, 0
        while instance.running() and time.monotonic() < begun + GRACE_S:
            await asyncio.sleep(0.02)
            if time.monotonic() < begun + PROBE_S * (probes + 1):
                continue
            probes += 1
            ready = await self.ready(instance)
            self.check(not ready, f"{instance.name} is ready {probes} s after it was told to stop")
            misses = 0 if ready else misses + 1
            if misses == 2:
                self.callers.only_kept(number)
        killed = instance.running()
        if killed:
            instance.kill()
        ended = time.monotonic()
        await asyncio.sleep(0.3)
        statuses = {ident: self.callers.statuses.get(ident) for sent, ident in self.callers.sent
                    if begun <= sent <= ended and ident.endswith(f"-{number}")}
        statuses.update(await long)
        cut = [ident for ident, status in statuses.items()
               if status == 0 and ident in self.servers.runs]
        reached = [(ident, round(self.servers.runs[ident][0] - begun, 2)) for ident in cut]
        self.check(not cut, f"{instance.name}: {len(cut)} of {len(statuses)} requests that a server "
                            f"ran got no answer, it ended after {ended - begun:.2f} s; they reached "
                            f"the server after (s): {reached}")
        instance.start()
        await wait_until(lambda: "event=readiness" in instance.log().split("event=started")[-1])
        self.callers.use_again(number)

    async def send_long(self, number):
        """Sends long requests to an instance until the balancer takes it out. Returns their
        statuses by their ids; 0: no answer."""
        instance, sent = self.fleet.instances[number], {}
        self._longs += 1
        while instance.running() and not self.callers.is_out(number):
            ident = f"long{self._longs}-{len(sent)}-{number}"
            sent[ident] = asyncio.create_task(call(
                instance.address, CALLERS_PORT, "POST", "/slow/x",
                fields=(f"X-Attempt-Id: {ident}", f"Authorization: Bearer {KEY}",
                        "X-Deadline-Ms: 9000"), timeout=10.0))
            await asyncio.sleep(LONG_EVERY_S)
        return {ident: (await answer)[0] for ident, answer in sent.items()}

    async def stop_while_paused(self):
        for number, paused_s in enumerate(PAUSES_S):
            await self.stop_as_planned(number, paused_s)

    async def stop_after(self, *steps):
        """Stops the instances one after the other, each right after the steps of its time."""
        for number, instance in enumerate(self.fleet.instances):
            for seconds in steps:
                self.step([instance], seconds)
                await asyncio.sleep(0.05)
            await self.stop_as_planned(number)

    async def change(self):
        """Sends a configuration with a new route and waits until it is in force at all instances."""
        self.version += 1
        path = f"/new-{self.version}/"
        route = {"name": path, "host": "a.example", "path_prefix": path, "route_kind": "safe",
                 "timeout_ms": 2000, "slo_ms": 300, "priority": 0, "service": POOL,
                 "max_attempts": 1, "anonymous": False}
        begun = time.monotonic()
        status, _ = await self.operator.ask("PUT", "/-/config",
                                            document(self.version, POOL, KEY,
                                                     (SLOW_ROUTE, route)))
        took = time.monotonic() - begun
        self.check(status == 200 and took <= ACK_LIMIT_S,
                   f"the configuration got {status} after {took:.1f} s")
        await asyncio.gather(*(self.await_route(instance, path)
                               for instance in self.fleet.instances if instance.running()))

    async def await_route(self, instance, path):
        end = time.monotonic() + CONFIG_LIMIT_S
        while time.monotonic() < end:
            status, _ = await call(instance.address, CALLERS_PORT, "GET", f"{path}x",
                                   fields=("X-Attempt-Id: c", f"Authorization: Bearer {KEY}",
                                           "X-Deadline-Ms: 2000"), timeout=3.0)
            if status != 404:
                return
            await asyncio.sleep(0.05)
        self.check(not instance.running(),
                   f"{path} isn't in force at {instance.name} after {CONFIG_LIMIT_S} s")

    async def change_after(self, seconds):
        for _ in range(3):
            self.step(self.everybody(), seconds)
            await self.change()

    async def election_after(self, seconds):
        for _ in range(2):
            self.step(self.fleet.members, seconds)
            leader = self.fleet.leader()
            leader.kill()
            await asyncio.sleep(ELECTED_S)
            self.check(self.fleet.leader() not in (None, leader), "no leader was elected")
            await self.change()
            leader.start()
            await asyncio.sleep(1.0)

    async def deadlines_after(self, seconds):
        for instance in self.fleet.instances:
            self.step([instance], seconds)
            begun = time.monotonic()
            status, _ = await call(instance.address, CALLERS_PORT, "GET", "/look/hangs",
                                   fields=("X-Attempt-Id: h", f"Authorization: Bearer {KEY}",
                                           f"X-Deadline-Ms: {round(HUNG_DEADLINE_S * 1000)}"),
                                   timeout=HUNG_LIMIT_S + 2)
            took = time.monotonic() - begun
            self.check(status in (503, 504) and took <= HUNG_LIMIT_S,
                       f"{instance.name} ended a request with {status} after {took:.1f} s, "
                       f"its deadline was {HUNG_DEADLINE_S} s")

    async def kept_over(self, seconds):
        """Opens connections, steps the time of day and uses them again."""
        for instance in self.fleet.instances:
            pools = [Connections(instance.address, CALLERS_PORT) for _ in range(KEPT)]
            await self.use_all(pools, "before")
            kept = [pool.idle() for pool in pools]
            self.step([instance], seconds)
            await asyncio.sleep(KEPT_REST_S)
            closed = sum(1 for (reader, _), in kept if reader.at_eof())
            self.check(closed == 0, f"{instance.name} closed {closed} of {KEPT} kept connections")
            await self.use_all(pools, "after")
            for pool in pools:
                pool.close()

    async def use_all(self, pools, when):
        answers = await asyncio.gather(*(
            pool.call("GET", "/look/x",
                      fields=(f"X-Attempt-Id: {when}-{number}", f"Authorization: Bearer {KEY}",
                              "X-Deadline-Ms: 4000"), timeout=5.0)
            for number, pool in enumerate(pools)))
        failed = sum(1 for status, _ in answers if status not in (200, 503))
        self.check(failed == 0, f"{failed} of {KEPT} requests {when} the step failed")

    async def step_in_series(self):
        end = time.monotonic() + SERIES_S
        while time.monotonic() < end:
            struck = self.rng.sample(self.everybody(), self.rng.randint(1, 5))
            far = self.rng.choice((0.3, 2.0, 30.0, HOUR_S))
            self.step(struck, far * self.rng.choice((-1, 1)))
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def overlapping(self):
        """Steps in series on all processes, with changes, a planned stop and a lost leader."""
        async def changes():
            for _ in range(6):
                await asyncio.sleep(self.rng.uniform(0.5, 1.5))
                await self.change()
        async def leader_lost():
            await asyncio.sleep(self.rng.uniform(2.0, 6.0))
            await self.kill_leader()
        first = self.rng.randrange(len(self.fleet.instances))
        await asyncio.gather(self.step_in_series(), changes(), leader_lost(),
                             self.stop_as_planned(first))

    async def play(self):
        await self.start_with(self.servers, more_routes=(SLOW_ROUTE,))
        await CASES[self.name](self)
        await self.callers.stop()
        self.check(not self.callers.wrong, "answers of other requests")
        print(f"case={self.name} outcomes={self.callers.outcomes}", flush=True)

    async def stop(self):
        await self.stop_with(self.servers)
        self._folder.cleanup()


CASES = {
    "stop-after-back": lambda case: case.stop_after(-3.0),
    "stop-after-far-back": lambda case: case.stop_after(-HOUR_S),
    "stop-after-ahead-and-back": lambda case: case.stop_after(3.0, -3.0),
    "stop-after-ahead": lambda case: case.stop_after(HOUR_S),
    "stop-while-paused": Case.stop_while_paused,
    "change-after-back": lambda case: case.change_after(-4.0),
    "change-after-far-back": lambda case: case.change_after(-HOUR_S),
    "election-after-back": lambda case: case.election_after(-30.0),
    "election-after-ahead": lambda case: case.election_after(HOUR_S),
    "deadlines-after-back": lambda case: case.deadlines_after(-HOUR_S),
    "kept-over-ahead": lambda case: case.kept_over(HOUR_S),
    "overlapping": Case.overlapping,
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__,
              library_argument("environment", "steps the time of day"))
