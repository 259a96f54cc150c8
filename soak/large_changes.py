#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Costs of changes of a large configuration with real processes: the bytes that are sent and the
time until a change is in force at every instance, also while faults are injected.

    soak/large_changes.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import json
import random
import re
import signal
import time

from cases import KEY, POOL, FleetCase, run_cases, wait_until
from fleet import CONTROL_PORT, INTERNAL_PORTS, document
from stand_ins import FaultModel, Servers, call

PER_S = 50
ROUTES = 1400  # Routes that a large change adds.
LARGE = 3  # Number of consecutive large changes.
LARGE_GAP_S = 0.6
SMALL = 12  # Number of consecutive small changes.
SMALL_GAP_S = 0.2
IN_FORCE_S = 3.0  # Limit from the acknowledgement of a change until it is in force everywhere.
SERVES_S = 2.0  # An instance serves for longer than this after SIGTERM.
STOPPED_S = 8.0  # Limit from SIGTERM to the exit.
FAULT_S = 6.0  # Limit for the faults of a case to end and the affected processes to catch up.
REST_S = 2.0
IDLE_S = 3.0  # Time over which the bytes of an idle fleet are counted.
# Limit of the bytes per process that a change costs beyond its own size: versions, responses and
# acknowledgements.
SMALL_COST_BYTES = 4096
KILLS = 8  # Number of leaders killed one after the other while operators send requests.
ASKED_S = 0.8  # Time of the requests after a kill; a new leader is elected within it.
READERS, WRITERS = 5, 3  # Per member; each sends one request after the other.
METRICS_PORT = int(INTERNAL_PORTS.split(",")[0]) + 10


class Configuration:
    """An operator's document to which routes are added and whose timeouts change."""

    def __init__(self, seed):
        self._rng = random.Random(f"{seed}-routes")
        self._document = json.loads(document(1, POOL, KEY))
        self.version = 1

    def add_routes(self, count):
        """Adds `count` routes. Returns by how many bytes the text has grown."""
        before = len(json.dumps(self._document))
        for _ in range(count):
            name = f"{self._rng.getrandbits(48):x}"
            self._document["routes"].append(dict(
                self._document["routes"][0], name=f"r-{name}", path_prefix=f"/{name}/"))
        return len(json.dumps(self._document)) - before

    def change_timeout(self):
        route = self._rng.choice(self._document["routes"])
        route["timeout_ms"] = self._rng.randrange(2000, 9000)

    def next_text(self):
        self.version += self._rng.randrange(1, 5)
        self._document["version"] = self.version
        return json.dumps(self._document)


class Case(FleetCase):
    """A fleet whose configuration changes."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        self.servers = Servers(subnet, "v1", 4, self.fleet.members, FaultModel(), seed)
        self.configuration = Configuration(seed)
        self.late = []

    async def put(self):
        """Sends the current configuration as a new version. Returns the time of the
        acknowledgement."""
        text = self.configuration.next_text()
        status, _ = await self.operator.ask("PUT", "/-/config", text, limit=FAULT_S)
        self.check(status == 200, f"version {self.configuration.version} got {status}")
        return time.monotonic()

    async def metric(self, process, name):
        _, text = await call(process.address, METRICS_PORT, "GET", "/metrics")
        found = re.search(rf"^{name} ([0-9.e+]+)$", text.decode(), re.MULTILINE)
        return float(found[1]) if found else 0.0

    async def bytes_sent(self):
        processes = self.fleet.members + self.fleet.instances
        return sum([await self.metric(process, "poppyway_peer_sent_bytes")
                    for process in processes])

    async def wait_in_force(self, limit_s):
        """Waits until the newest version is in force at every instance; fails a check on a
        timeout."""
        event = f"event=configuration_in_force version={self.configuration.version} "
        end = time.monotonic() + limit_s
        behind = self.fleet.instances
        while behind and time.monotonic() < end:
            await asyncio.sleep(0.05)
            behind = [instance for instance in behind if event not in instance.log()]
        self.check(not behind, f"version {self.configuration.version} isn't in force within "
                   f"{limit_s} s at {len(behind)} of {len(self.fleet.instances)} instances")

    async def grow(self):
        """Makes the large changes and waits until the last one is in force everywhere. Returns the
        bytes that they added."""
        grown = 0
        for _ in range(LARGE):
            grown += self.configuration.add_routes(ROUTES)
            await self.put()
            await asyncio.sleep(LARGE_GAP_S)
        await self.wait_in_force(IN_FORCE_S)
        return grown

    async def change_often(self, limit_s):
        for _ in range(SMALL):
            self.configuration.change_timeout()
            await self.put()
            await asyncio.sleep(SMALL_GAP_S)
        await self.wait_in_force(limit_s)

    async def cost(self, changes):
        """Returns the bytes that were sent for `changes`, less those that an idle fleet sends."""
        begun = time.monotonic()
        before = await self.bytes_sent()
        await asyncio.sleep(IDLE_S)
        idle_rate = (await self.bytes_sent() - before) / (time.monotonic() - begun)
        begun = time.monotonic()
        before = await self.bytes_sent()
        result = await changes
        sent = await self.bytes_sent() - before
        return result, sent - idle_rate * (time.monotonic() - begun)

    async def cost_follows_the_change(self):
        processes = len(self.fleet.members) + len(self.fleet.instances)
        grown, sent = await self.cost(self.grow())
        self.check(sent <= grown * processes,
                   f"{sent:.0f} bytes sent for {grown} bytes of new routes to {processes} processes")
        _, small = await self.cost(self.change_often(IN_FORCE_S))
        self.check(small <= SMALL * SMALL_COST_BYTES * processes,
                   f"{small:.0f} bytes sent for {SMALL} small changes to {processes} processes")
        print(f"grown={grown} sent={sent:.0f} small_sent={small:.0f}", flush=True)

    async def restart_instances(self):
        affected = self.rng.sample(self.fleet.instances, max(1, len(self.fleet.instances) * 2 // 3))
        for instance in affected:
            instance.kill()
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        for instance in affected:
            instance.start()

    async def stop_instances(self):
        """Stops instances as planned, while clients use their open connections until the process
        exits."""
        affected = self.rng.sample(self.fleet.instances, max(1, len(self.fleet.instances) * 2 // 3))
        begun = time.monotonic()
        for instance in affected:
            instance.send_signal(signal.SIGTERM)
        ended = await wait_until(
            lambda: not any(instance.running() for instance in affected), STOPPED_S)
        self.check(ended, f"a stopped instance still runs after {STOPPED_S} s")
        cut = [sent - begun for sent, _ in self.callers.cut if sent <= begun + SERVES_S]
        self.check(not cut, f"requests without an answer, sent {cut[:3]} s after the stop")
        for instance in affected:
            instance.start()

    async def kill_members(self):
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        for member in self.fleet.members:
            member.start()

    async def stop_in_passing(self):
        """Stops one instance as planned, while other faults may affect it."""
        affected = self.rng.choice(self.fleet.instances)
        affected.send_signal(signal.SIGTERM)
        await wait_until(lambda: not affected.running(), STOPPED_S)
        affected.start()

    async def overlapping(self):
        for fault in self.rng.sample(
                (self.restart_instances, self.kill_leader, self.kill_members,
                 self.stop_in_passing, self.kill_leader), 3):
            await fault()
            await asyncio.sleep(self.rng.uniform(0.0, 0.8))

    async def changes_under(self, fault):
        await self.grow()
        affected = asyncio.create_task(fault())
        await self.change_often(FAULT_S)
        await affected
        await self.wait_in_force(FAULT_S)
        status, body = await self.operator.ask("GET", "/-/config", limit=FAULT_S)
        held = json.loads(body)["version"] if status == 200 else None
        self.check(held == self.configuration.version,
                   f"read back {held} after {self.configuration.version} was acknowledged")

    async def requests_while_leaders_change(self):
        """Checks that no operator reads an older version than the one that was acknowledged, and
        that no newer version is rejected."""
        for _ in range(KILLS):
            leader = self.fleet.leader()
            self.configuration.change_timeout()
            await self.put()
            leader.kill()
            acknowledged, end = self.configuration.version, time.monotonic() + ASKED_S
            members = [member for member in self.fleet.members if member is not leader]
            await asyncio.gather(
                *[self.read_until(end, member, acknowledged) for member in members * READERS],
                *[self.write_until(end, member) for member in members * WRITERS])
            leader.start()
            await asyncio.sleep(ASKED_S)

    async def read_until(self, end, member, acknowledged):
        while time.monotonic() < end:
            status, body = await call(member.address, CONTROL_PORT, "GET", "/-/config")
            if status == 200:
                held = json.loads(body)["version"]
                self.check(held >= acknowledged, f"{held} was read after {acknowledged}")

    async def write_until(self, end, member):
        while time.monotonic() < end:
            text = self.configuration.next_text()
            status, _ = await call(member.address, CONTROL_PORT, "PUT", "/-/config", text)
            self.check(status in (0, 200, 503), f"a newer version got {status}")

    async def play(self):
        await self.start_with(self.servers)
        await CASES[self.name](self)
        await asyncio.sleep(REST_S)
        await self.callers.stop()
        self.check(not self.callers.wrong, "answers of other requests")
        print(f"case={self.name} version={self.configuration.version} "
              f"outcomes={self.callers.outcomes}", flush=True)

    async def stop(self):
        await self.stop_with(self.servers)


CASES = {
    "cost": Case.cost_follows_the_change,
    "instances-restart": lambda case: case.changes_under(case.restart_instances),
    "instances-stop": lambda case: case.changes_under(case.stop_instances),
    "leader-killed": lambda case: case.changes_under(case.kill_leader),
    "all-members-killed": lambda case: case.changes_under(case.kill_members),
    "overlapping-faults": lambda case: case.changes_under(case.overlapping),
    "asked-while-leaders-change": Case.requests_while_leaders_change,
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
