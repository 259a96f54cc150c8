#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Members that are replaced for good, with real processes: two at once, with a successor that comes
first, late or is itself replaced, the leader among them, and with kills and pauses of the others.

After each round the deployment has to tolerate two losses again: two members lose their folders right
after a configuration was acknowledged, which must be read back.

    soak/member_replacements.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import json

from cases import KEY, POOL, FleetCase, run_cases
from fleet import document
from stand_ins import call

METRICS_PORT = 7610
PER_S = 20
MEMBERS = 5
TOLERATED = 2
# A successor counts as a full replacement once it has run for so long.
CATCH_UP_S = 4.0
# With a leader that was lost or paused meanwhile, or the members killed, some more is needed.
DISTURBED_S = 6.0
READ_LIMIT_S = 12.0
MOST_DELAY_S = 3.0  # The most between the two steps of a replacement.
ROUNDS = 5  # Of the case with overlapping faults.


class Case(FleetCase):
    """A fleet whose members are replaced."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S, members=MEMBERS, instances=2)
        self.version = 1

    async def replace(self, member, delay):
        """Takes a member away; its successor comes `delay` seconds later, or sooner if negative."""
        if delay < 0:
            self.fleet.add_member()
            await asyncio.sleep(-delay)
            self.fleet.remove_member(member)
        else:
            self.fleet.remove_member(member)
            await asyncio.sleep(delay)
            self.fleet.add_member()

    def others(self, count):
        """Returns members that don't lead."""
        leader = self.fleet.leader()
        return self.rng.sample([one for one in self.fleet.members if one is not leader], count)

    async def replace_two(self, first, second):
        """Replaces two members that don't lead, with these delays of the successors."""
        members = self.others(2)
        await asyncio.gather(self.replace(members[0], first), self.replace(members[1], second))

    async def two_at_once(self):
        await self.replace_two(1.0, 1.2)

    async def successors_first(self):
        await self.replace_two(-1.0, -1.5)

    async def successors_late(self):
        await self.replace_two(6.0, 3.5)

    async def leader_among_them(self):
        leader = self.fleet.leader()
        await asyncio.gather(self.replace(leader, 0.5), self.replace(self.others(1)[0], 1.0))

    async def successor_replaced(self):
        """One place is replaced twice and nothing else."""
        await self.replace(self.others(1)[0], 0.5)
        await asyncio.sleep(1.0)
        await self.replace(self.fleet.members[-1], 0.5)

    async def all_killed_before_removal(self):
        await self.replace_two(0.3, 0.3)
        for process in self.fleet.members:
            process.kill()
        await asyncio.sleep(0.5)
        for process in self.fleet.members:
            process.start()

    async def overlapping(self):
        """Rounds of random replacements with kills and pauses of other members."""
        for number in range(ROUNDS):
            delays = [self.rng.uniform(-MOST_DELAY_S, MOST_DELAY_S) for _ in range(2)]
            faults = self.rng.choice([(), (self.kill_leader,), (self.pause_member,)])
            await asyncio.gather(self.replace_two(*delays), *(fault() for fault in faults))
            if number < ROUNDS - 1:
                await self.check_replaced()

    async def membership(self):
        """Returns voters, silent voters and tolerated losses by the leader's metrics."""
        leader = self.fleet.leader()
        if leader is None:
            return None
        _, body = await call(leader.address, METRICS_PORT, "GET", "/metrics")
        values = dict(line.rsplit(" ", 1) for line in body.decode().splitlines()
                      if line and not line.startswith("#"))
        names = ("voters", "silent_voters", "tolerated_losses")
        return [int(float(values.get(f"poppyway_log_{name}", -1))) for name in names]

    async def check_replaced(self):
        """Checks that two losses are tolerated again, and that they are."""
        await asyncio.sleep(CATCH_UP_S if self.name in CALM else DISTURBED_S)
        found = await self.membership()
        expected = [MEMBERS, 0, TOLERATED]
        self.check(found == expected, f"voters, silent ones, tolerated losses: {found}")
        self.version += 1
        status, _ = await self.operator.ask("PUT", "/-/config", document(self.version, POOL, KEY))
        self.check(status == 200, f"version {self.version} got {status}")
        lost = self.rng.sample(self.fleet.members, TOLERATED)
        for member in lost:
            member.kill()
            member.lose_data()
        await asyncio.sleep(0.5)
        for member in lost:
            member.start()
        status, body = await self.operator.ask("GET", "/-/config", limit=READ_LIMIT_S)
        held = json.loads(body)["version"] if status == 200 else None
        self.check(held == self.version, f"version {held} is held, {self.version} was acknowledged")
        await asyncio.sleep(CATCH_UP_S)

    async def play(self):
        await self.start_with()
        await CASES[self.name](self)
        await self.check_replaced()

    async def stop(self):
        await self.callers.stop()
        await self.stop_with()


CASES = {
    "two-at-once": Case.two_at_once,
    "successors-first": Case.successors_first,
    "successors-late": Case.successors_late,
    "leader-among-them": Case.leader_among_them,
    "successor-replaced": Case.successor_replaced,
    "all-killed-before-removal": Case.all_killed_before_removal,
    "overlapping": Case.overlapping,
}
CALM = {"two-at-once", "successors-first", "successors-late", "successor-replaced"}

if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
