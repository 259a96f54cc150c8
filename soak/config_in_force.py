#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""How long an acknowledged configuration takes until each instance acts on it, with real processes.

In rounds: the time of day of some processes steps ahead, goes back, and steps back on others; right
after that four configurations follow one another. Each adds a route and a key and drops others. The
time from the acknowledgement until a request is handled by the new configuration is measured at each
instance, for each kind of change. The schedule is deterministic for a seed.

    soak/config_in_force.py --program build/poppywayd --environment NAME=VALUE [--seed N] [--case NAME ...]

NAME=VALUE loads the library that steps the time of day (tests/process/time_step.cc).
"""

import asyncio
import json
import time

from cases import KEY, POOL, library_argument, run_cases
from clock_steps import Case as ClockCase
from fleet import CALLERS_PORT
from stand_ins import Connections, FaultModel, Servers

INSTANCES = 6
SERVERS = 12
WORK_S = 0.005  # A request that an older version serves is answered before the next one is sent.
SHORT_ROUNDS = 2
ROUNDS = 10
ROUND_S = 8.4
STEP_S = 2.0
AHEAD_S = 1.0  # How long the steps ahead last.
BACK_AFTER_S = 0.05  # From the end of the steps ahead to the steps back.
BACK_S = 5.0
CHANGES_AFTER_S = 0.15  # From the steps back to the first change.
CHANGES = 4
CHANGE_EVERY_S = 0.33
STRUCK = 2  # Processes that a step meets.
LIMIT_S = 2.0  # From the acknowledgement of a configuration until it is in force.
PROBE_S = 0.01  # Between two requests of one probe.
GIVE_UP_S = 4.0
KEPT_VERSIONS = 8  # Routes and keys of this many versions stay in a configuration.
PAUSES_S = (0.4, 1.2)
FAULT_EVERY_S = (1.0, 2.5)
CALM_S = 3.0  # A process is in touch again this long after a fault.


def new_path(version):
    return f"/new-{version}/"


def new_key(version):
    return f"key-{version}"


def configuration(version):
    """Returns the configuration of a version: the routes and keys of the last versions."""
    kept = range(max(1, version - KEPT_VERSIONS + 1), version + 1)
    routes = [{"name": path, "host": "a.example", "path_prefix": path, "route_kind": "safe",
               "timeout_ms": 2000, "slo_ms": 300, "priority": 0, "service": POOL,
               "max_attempts": 1, "anonymous": False}
              for path in ["/look/", "/book/", *(new_path(number) for number in kept)]]
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": POOL, "health_path": "/healthz", "max_conns": 500}],
        "tenants": [{"name": "north", "api_keys": [KEY, *(new_key(number) for number in kept)],
                     "rate_per_s": 0, "burst": 0}]})


def probes(version):
    """Returns the probes of a version: a name, a path, a key and the test of a status that tells
    whether the version is in force."""
    dropped = version - KEPT_VERSIONS
    found = [("route added", new_path(version), KEY, lambda status: status not in (0, 404)),
             ("key added", "/look/", new_key(version), lambda status: status not in (0, 401, 403))]
    if dropped >= 1:
        found += [("route dropped", new_path(dropped), KEY, lambda status: status == 404),
                  ("key revoked", "/look/", new_key(dropped), lambda status: status in (401, 403))]
    return found


class Case(ClockCase):
    """A fleet of which the time until configurations are in force is measured."""

    def __init__(self, program, name, subnet, seed, environment):
        options = CASES[name]
        super().__init__(program, name, subnet, seed, environment, instances=INSTANCES)
        self.servers = Servers(subnet, "v1", SERVERS, self.fleet.members, FaultModel(), seed, WORK_S)
        self._options = options
        self._times = {}  # Kind of change to the seconds that it took at an instance.
        self._struck_at = {}  # Process name to the time of the last fault.

    async def play(self):
        await self.start_with(self.servers)
        self.version = KEPT_VERSIONS
        await self.send_version()
        faults = [asyncio.create_task(fault(self)) for fault in self._options.get("faults", ())]
        measured = []
        for number in range(self._options["rounds"]):
            begun = time.monotonic()
            measured += await self.play_round()
            if number + 1 < self._options["rounds"]:
                await asyncio.sleep(max(0.0, begun + ROUND_S - time.monotonic()))
        await asyncio.gather(*measured)
        for fault in faults:
            fault.cancel()
        await asyncio.gather(*faults, return_exceptions=True)
        await self.callers.stop()
        self.check(not self.callers.wrong, "answers of other requests")
        self.report()

    async def play_round(self):
        """Plays the steps and changes of a round. Returns the tasks that measure the changes."""
        self.strike(STEP_S, AHEAD_S)
        await asyncio.sleep(AHEAD_S + BACK_AFTER_S)
        self.strike(-STEP_S, BACK_S)
        await asyncio.sleep(CHANGES_AFTER_S)
        measured = []
        for _ in range(CHANGES):
            due = time.monotonic() + CHANGE_EVERY_S
            self.version += 1
            measured.append(asyncio.create_task(self.measure(self.version)))
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        return measured

    def strike(self, seconds, lasting_s):
        """Steps the time of day of some processes, and back after a while."""
        struck = self.rng.sample(self._options["struck"](self), STRUCK)
        self.step(struck, seconds)
        asyncio.get_running_loop().call_later(lasting_s, lambda: self.step(struck, -seconds))

    async def send_version(self):
        """Sends the current version. Returns when it was acknowledged."""
        version = self.version
        status, _ = await self.operator.ask("PUT", "/-/config", configuration(version))
        self.check(status == 200, f"version {version} got {status}")
        return time.monotonic()

    async def measure(self, version):
        acknowledged = await self.send_version()
        await asyncio.gather(*(self.probe(instance, version, acknowledged, probe)
                               for instance in self.fleet.instances for probe in probes(version)))

    async def probe(self, instance, version, acknowledged, probe):
        """Sends requests until one is handled by a version."""
        kind, path, key, in_force = probe
        connections = Connections(instance.address, CALLERS_PORT)
        sent = acknowledged
        while sent < acknowledged + GIVE_UP_S:
            sent = time.monotonic()
            status, _ = await connections.call(
                "GET", f"{path}x", fields=(f"X-Attempt-Id: p{version}-{kind[:5]}-{instance.name}",
                                           f"Authorization: Bearer {key}", "X-Deadline-Ms: 2000"),
                timeout=3.0)
            if in_force(status):
                break
            await asyncio.sleep(PROBE_S)
        connections.close()
        took = sent - acknowledged
        if sent < self._struck_at.get(instance.name, 0.0) + CALM_S:
            return  # Out of touch.
        self._times.setdefault(kind, []).append(took)
        self.check(took <= LIMIT_S, f"{kind} of version {version} took {took:.2f} s "
                                    f"at {instance.name}")

    def strike_process(self, process):
        self._struck_at[process.name] = time.monotonic()

    async def pause_followers(self):
        """Pauses one member after the other that doesn't lead, in series."""
        while True:
            await asyncio.sleep(self.rng.uniform(*FAULT_EVERY_S))
            leader = self.fleet.leader()
            member = self.rng.choice([other for other in self.fleet.members if other != leader])
            await self.pause(member)

    async def restart_instances(self):
        """Kills one instance after the other."""
        while True:
            await asyncio.sleep(self.rng.uniform(*FAULT_EVERY_S))
            instance = self.rng.choice(self.fleet.instances)
            instance.kill()
            self.strike_process(instance)
            await asyncio.sleep(0.3)
            instance.start()

    def report(self):
        for kind, times in sorted(self._times.items()):
            times.sort()
            print(f"case={self.name} kind={kind.replace(' ', '_')} count={len(times)} "
                  f"median_ms={times[len(times) // 2] * 1000:.0f} "
                  f"p99_ms={times[int(len(times) * 0.99)] * 1000:.0f} "
                  f"longest_ms={times[-1] * 1000:.0f}", flush=True)


CASES = {
    "instances-struck": {"rounds": ROUNDS, "struck": lambda case: case.fleet.instances},
    "members-struck": {"rounds": ROUNDS, "struck": lambda case: case.fleet.members},
    "all-struck": {"rounds": ROUNDS, "struck": Case.everybody},
    "instances-struck-short": {"rounds": SHORT_ROUNDS,
                               "struck": lambda case: case.fleet.instances},
    "followers-paused": {"rounds": ROUNDS, "struck": Case.everybody,
                         "faults": (Case.pause_followers,)},
    "overlapping": {"rounds": ROUNDS, "struck": Case.everybody,
                    "faults": (Case.pause_followers, Case.restart_instances)},
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__,
              library_argument("environment", "steps the time of day"))
