#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Servers that state how many requests a second they take from all instances together, with real
processes.

The checks use what the servers observed. The schedule of requests is deterministic for a seed.

    soak/server_limits.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import collections
import time

from cases import FleetCase, run_cases
from stand_ins import FaultModel, Servers

PER_S = 150
SERVERS = 8
LIMITED = 2  # Number of servers that state a limit.
LIMITS_PER_S = (2.0, 6.0)  # Range of the limits.
CONTACT_S = 3.0  # From then on the limit holds.
TOLD_S = 0.5  # An instance that got such a response longer ago keeps to the limit.
WINDOW_S = 4.0
STATED_S = 10.0  # Time during which the servers state it.
FREE_S = 6.0  # Time after it, in which they take any number again and all others drain.
FREE_WINDOW_S = 2.0  # The end of that time, when the others have left.
FREE_LEAST = 2.0  # A server gets at least so many times its former limit again then.
FAULTS = 8  # Number of faults of the case with overlapping faults.
SERVED_SHARE = 0.9  # Share of the requests that must be served without a fault.


class LimitedServers(Servers):
    """Servers, the busiest of which state limits from a given time on."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.limits = {}  # Address to the limit that the server states.
        self.stated = {}  # The same after the limits have ended.
        self.named = {}  # Address to the time of the first response that stated it.
        self.got = collections.defaultdict(list)  # Address to (time, instance) of each request.
        self.told = {}  # (address, instance) to the time of the first such response.
        self.excused = []  # (begin, end, instance): faults of instances.

    def begin(self):
        busiest = sorted(self.addresses, key=lambda address: -len(self.got[address]))
        for address in busiest[:LIMITED]:
            self.limits[address] = round(self._rng.uniform(*LIMITS_PER_S), 1)

    def end(self):
        """Ends the limits. The other servers drain, so that those that had limits are needed."""
        self.limits, self.stated = {}, dict(self.limits)
        self.ended = time.monotonic()

    def stage_of(self, address):
        return "draining" if self.stated and address not in self.stated else "ready"

    def judge(self, address, ident, now):
        instance = ident.split("-")[1]
        self.got[address].append((now, instance))
        limit = self.limits.get(address)
        if limit is None:
            return [], False
        self.named.setdefault(address, now)
        self.told.setdefault((address, instance), now)
        return [f"Server-Limit: {limit}"], False

    def counted(self, address):
        """Returns the sorted times of requests that count: of instances that had been told."""
        times = []
        for when, instance in self.got[address]:
            told = self.told.get((address, instance))
            excused = any(begin <= when <= end and instance == other
                          for begin, end, other in self.excused)
            if told is not None and told + TOLD_S <= when < self.ended and not excused:
                times.append(when)
        return times

    def broken(self):
        """Returns the servers that got too many requests: limit, most in a window, allowed."""
        found = {}
        for address, limit in self.stated.items():
            if address not in self.named:
                continue
            times = self.counted(address)
            most = max((sum(1 for other in times if when <= other < when + WINDOW_S)
                        for when in times if when >= self.named[address] + CONTACT_S), default=0)
            allowed = 1.5 * limit * WINDOW_S + 5
            if most > allowed:
                found[address] = (limit, most, allowed)
        return found

    def times_the_limit(self):
        """Returns for each server that stated a limit how many times that it gets at the end."""
        since = self.ended + FREE_S - FREE_WINDOW_S
        rates = {address: sum(1 for when, _ in self.got[address] if when >= since) / FREE_WINDOW_S
                 for address in self.stated}
        return {address: round(rates[address] / limit, 1)
                for address, limit in self.stated.items()}


class Case(FleetCase):
    """A fleet whose servers state limits."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        self.servers = LimitedServers(subnet, "v1", SERVERS, self.fleet.members, FaultModel(), seed)

    async def nothing_else(self):
        await asyncio.sleep(STATED_S)

    async def leader_killed(self):
        """Kills the leader, whose broker knows the limits, three times."""
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(1.5, 3.0))
            await self.kill_leader()
        await asyncio.sleep(STATED_S / 4)

    async def all_members_killed(self):
        """Kills all members, so that instances choose servers without a broker."""
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(STATED_S / 2)
        for member in self.fleet.members:
            member.start()
        await asyncio.sleep(STATED_S / 2)

    def on_instance_killed(self, number):
        now = time.monotonic()
        self.servers.excused.append((now, now + CONTACT_S, str(number)))

    async def overlapping(self):
        """Injects random kills, restarts and pauses, some of them at the same time."""
        faults = []
        for _ in range(FAULTS):
            fault = self.rng.choice((self.kill_leader, self.pause_member, self.restart_instance))
            faults.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.rng.uniform(0.5, 1.8))
        await asyncio.gather(*faults)

    async def play(self):
        await self.start_with(self.servers)
        self.servers.begin()
        await CASES[self.name](self)
        self.servers.end()
        await asyncio.sleep(FREE_S)
        await self.callers.stop()
        self.judge()

    def judge(self):
        broken = self.servers.broken()
        self.check(not broken, f"more requests than servers had stated: {broken}")
        self.check(len(self.servers.named) == LIMITED, "too few servers stated a limit")
        self.check(not self.callers.wrong, "answers of other requests")
        served = self.callers.outcomes.get(200, 0)
        total = sum(self.callers.outcomes.values())
        free = self.servers.times_the_limit()
        if self.name == "no-fault":
            self.check(served >= SERVED_SHARE * total, f"{served} of {total} served")
            self.check(all(times >= FREE_LEAST for times in free.values()),
                       f"the limits outlast what servers stated: {free}")
        most = {address.rsplit('.', 1)[1]: (limit, len(self.servers.counted(address)))
                for address, limit in self.servers.stated.items()}
        print(f"case={self.name} limited={most} free={sorted(free.values())} served={served} "
              f"total={total} outcomes={self.callers.outcomes}", flush=True)

    async def stop(self):
        await self.stop_with(self.servers)


CASES = {
    "no-fault": Case.nothing_else,
    "leader-killed": Case.leader_killed,
    "all-members-killed": Case.all_members_killed,
    "overlapping-faults": Case.overlapping,
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
