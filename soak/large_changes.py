#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""What changes of a large configuration cost, in bytes between real processes and in time until
they are in force at every instance, with faults meanwhile.

    soak/large_changes.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import json
import random
import re
import signal
import time

from cases import KEY, POOL, FleetCase, run_cases, seen
from fleet import CONTROL_PORT, INTERNAL_PORTS, document
from stand_ins import Badness, Servers, call

PER_S = 50
ROUTES = 1400  # That a large change adds.
LARGE = 3  # Large changes in a row.
LARGE_GAP_S = 0.6
SMALL = 12  # Small changes in a row.
SMALL_GAP_S = 0.2
IN_FORCE_S = 3.0  # From the acknowledgement of a change until it holds at every instance.
SERVES_S = 2.0  # An instance that is told to stop serves for longer.
STOPPED_S = 8.0  # Until it has ended.
FAULT_S = 6.0  # For the faults of a case to be over and what they struck to have caught up.
REST_S = 2.0
IDLE_S = 3.0  # For which the bytes of a fleet at rest are counted.
# What a change may cost for each process beside its own size: versions, answers, acknowledgements.
SMALL_COST_BYTES = 4096
KILLS = 8  # Of one leader after the other, while operators ask.
ASKED_S = 0.8  # From a kill on: another leads by then.
READERS, WRITERS = 5, 3  # At each member, each one call after the other.
METRICS_PORT = int(INTERNAL_PORTS.split(",")[0]) + 10


class Configuration:
    """An operator's document that grows by routes and changes in a time-out."""

    def __init__(self, seed):
        self._rng = random.Random(f"{seed}-routes")
        self._document = json.loads(document(1, POOL, KEY))
        self.version = 1

    def add_routes(self, count):
        """The bytes that the text has grown by."""
        before = len(json.dumps(self._document))
        for _ in range(count):
            name = f"{self._rng.getrandbits(48):x}"
            self._document["routes"].append(dict(
                self._document["routes"][0], name=f"r-{name}", path_prefix=f"/{name}/"))
        return len(json.dumps(self._document)) - before

    def change_time_out(self):
        route = self._rng.choice(self._document["routes"])
        route["timeout_ms"] = self._rng.randrange(2000, 9000)

    def next_text(self):
        self.version += self._rng.randrange(1, 5)
        self._document["version"] = self.version
        return json.dumps(self._document)


class Case(FleetCase):
    """One fleet under changes of its configuration."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        self.servers = Servers(subnet, "v1", 4, self.fleet.members, Badness(), seed)
        self.configuration = Configuration(seed)
        self.late = []

    async def put(self):
        """Sends the configuration as it is now; the time of its acknowledgement."""
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
        """Until the newest version is in force at every instance."""
        words = f"event=configuration_in_force version={self.configuration.version} "
        end = time.monotonic() + limit_s
        behind = self.fleet.instances
        while behind and time.monotonic() < end:
            await asyncio.sleep(0.05)
            behind = [instance for instance in behind if words not in instance.log()]
        self.check(not behind, f"version {self.configuration.version} isn't in force within "
                   f"{limit_s} s at {len(behind)} of {len(self.fleet.instances)} instances")

    async def grow(self):
        """Large changes, until the last is in force everywhere; the bytes they added."""
        grown = 0
        for _ in range(LARGE):
            grown += self.configuration.add_routes(ROUTES)
            await self.put()
            await asyncio.sleep(LARGE_GAP_S)
        await self.wait_in_force(IN_FORCE_S)
        return grown

    async def change_often(self, limit_s):
        for _ in range(SMALL):
            self.configuration.change_time_out()
            await self.put()
            await asyncio.sleep(SMALL_GAP_S)
        await self.wait_in_force(limit_s)

    async def cost(self, changes):
        """Bytes that were sent for `changes`, beyond those that a fleet at rest sends."""
        begun = time.monotonic()
        before = await self.bytes_sent()
        await asyncio.sleep(IDLE_S)
        at_rest = (await self.bytes_sent() - before) / (time.monotonic() - begun)
        begun = time.monotonic()
        before = await self.bytes_sent()
        result = await changes
        sent = await self.bytes_sent() - before
        return result, sent - at_rest * (time.monotonic() - begun)

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
        struck = self.rng.sample(self.fleet.instances, max(1, len(self.fleet.instances) * 2 // 3))
        for instance in struck:
            instance.kill()
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        for instance in struck:
            instance.start()

    async def stop_instances(self):
        """Planned stops, while callers use their open connections until the process is gone."""
        struck = self.rng.sample(self.fleet.instances, max(1, len(self.fleet.instances) * 2 // 3))
        begun = time.monotonic()
        for instance in struck:
            instance.send_signal(signal.SIGTERM)
        ended = await seen(lambda: not any(instance.running() for instance in struck), STOPPED_S)
        self.check(ended, f"a stopped instance still runs after {STOPPED_S} s")
        cut = [sent - begun for sent, _ in self.callers.cut if sent <= begun + SERVES_S]
        self.check(not cut, f"requests without an answer, sent {cut[:3]} s after the stop")
        for instance in struck:
            instance.start()

    async def kill_members(self):
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        for member in self.fleet.members:
            member.start()

    async def stop_in_passing(self):
        """A planned stop of one instance that other faults may strike meanwhile."""
        struck = self.rng.choice(self.fleet.instances)
        struck.send_signal(signal.SIGTERM)
        await seen(lambda: not struck.running(), STOPPED_S)
        struck.start()

    async def overlapping(self):
        for fault in self.rng.sample(
                (self.restart_instances, self.kill_leader, self.kill_members,
                 self.stop_in_passing, self.kill_leader), 3):
            await fault()
            await asyncio.sleep(self.rng.uniform(0.0, 0.8))

    async def changes_under(self, fault):
        await self.grow()
        struck = asyncio.create_task(fault())
        await self.change_often(FAULT_S)
        await struck
        await self.wait_in_force(FAULT_S)
        status, body = await self.operator.ask("GET", "/-/config", limit=FAULT_S)
        held = json.loads(body)["version"] if status == 200 else None
        self.check(held == self.configuration.version,
                   f"read back {held} after {self.configuration.version} was acknowledged")

    async def asked_while_leaders_change(self):
        """No operator is shown an older version than one that was acknowledged, and none that sends
        a newer one is refused."""
        for _ in range(KILLS):
            leader = self.fleet.leader()
            self.configuration.change_time_out()
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
    "asked-while-leaders-change": Case.asked_while_leaders_change,
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
