#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Brittle servers, which state so and end if they must reject more requests in a second than they
state, with real processes. The schedule of requests and faults is deterministic for a seed.

    soak/brittle_servers.py --program build/poppywayd --instance-environment NAME=VALUE
                            [--seed N] [--case NAME ...]

The variable loads the library poppyway_path_cut into each instance; tests/CMakeLists.txt shows it.
"""

import asyncio
import collections
import time

from cases import run_cases
from cut_instances import Case as CutCase, add_arguments
from cut_paths import CutServers, Elsewhere, reset_connection
from stand_ins import FaultModel

SERVERS = 8
SLOTS = 6
WORK_S = 0.2  # All servers together finish 240 requests a second.
OVERLOAD_PER_S = 310
THIRD_PER_S = 80
WAITING = 4  # Requests that a server lets wait.
FEWER_AFTER_S = 3.0  # From then on it lets none wait.
MAX_REJECTIONS = 6
DOWN_S = 2.0
BRITTLE_S = 10.0
MOST_FALLS = 2 + SERVERS // 10


class BrittleServers(CutServers):
    """Servers with slots and a short queue that end after too many rejections."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.falls = []
        self.rejected = 0
        self._brittle_since = None
        self._rejections = collections.defaultdict(list)
        self._down = set()
        self._writers = collections.defaultdict(set)

    def begin_brittle(self):
        self._brittle_since = time.monotonic()

    def end_brittle(self):
        self._brittle_since = None

    def judge(self, address, ident, now):
        brittle = self._brittle_since is not None
        fewer = brittle and now >= self._brittle_since + FEWER_AFTER_S
        room = SLOTS + (0 if fewer else WAITING)
        fields = [f"Server-Brittle: {MAX_REJECTIONS}"] if brittle else []
        if self.states[address]["running"] < room:
            return fields, False
        self.rejected += 1
        recent = self._rejections[address]
        recent.append(now)
        if brittle and sum(1 for when in recent if now - when < 1) > MAX_REJECTIONS:
            self._fall(address, now)
        return [*fields, "X-Not-Executed: 1"], True

    def _fall(self, address, now):
        self.falls.append(now)
        self._rejections[address].clear()
        self._down.add(address)
        for writer in list(self._writers[address]):
            reset_connection(writer)
        asyncio.get_running_loop().call_later(DOWN_S, self._down.discard, address)

    async def _serve(self, reader, writer, state):
        address = state["address"]
        if address in self._down:
            reset_connection(writer)
            return
        self._writers[address].add(writer)
        try:
            await super()._serve(reader, writer, state)
        finally:
            self._writers[address].discard(writer)


class Case(CutCase):
    """A fleet before brittle servers."""

    def __init__(self, program, name, *arguments):
        self.PER_S = THIRD_PER_S if name.startswith("third") else OVERLOAD_PER_S
        super().__init__(program, name, *arguments)

    def make_servers(self, subnet, seed):
        return BrittleServers(self.fleet.instances, subnet, "v1", SERVERS, self.fleet.members,
                              FaultModel(), seed, work_s=WORK_S)

    async def overload(self):
        await asyncio.sleep(BRITTLE_S)

    async def overload_leader_killed(self):
        await asyncio.sleep(FEWER_AFTER_S + 1)
        await self.kill_leader()
        await asyncio.sleep(BRITTLE_S - FEWER_AFTER_S - 1)

    async def overload_all_members_killed(self):
        await asyncio.sleep(FEWER_AFTER_S + 1)
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(3.0)
        for member in self.fleet.members:
            member.start()
        await asyncio.sleep(3.0)

    async def third_with_cuts(self):
        """Cuts two instances off at a third of the load, twice."""
        await asyncio.sleep(FEWER_AFTER_S)
        for _ in range(2):
            await self.cut_for([0, 1], seconds=4.0)
            await asyncio.sleep(1.0)

    async def play(self):
        self.elsewhere = Elsewhere(self._subnet)
        await self.start_with(self.servers, warm_up_s=2.0)
        self.servers.begin_brittle()
        await CASES[self.name](self)
        self.servers.end_brittle()
        await self.callers.stop()
        falls = len(self.servers.falls)
        self.check(falls <= MOST_FALLS, f"{falls} falls, {MOST_FALLS} allowed")
        self.check(not self.callers.wrong, "answers of other requests")
        self.check_runs()
        print(f"case={self.name} falls={falls} rejected={self.servers.rejected} "
              f"outcomes={self.callers.outcomes}", flush=True)


CASES = {
    "overload": Case.overload,
    "overload-leader-killed": Case.overload_leader_killed,
    "overload-all-members-killed": Case.overload_all_members_killed,
    "third-with-cuts": Case.third_with_cuts,
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__, add_arguments)
