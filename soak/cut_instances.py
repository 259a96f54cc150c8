#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Instances that lose all backend servers while callers, members and the other instances still
reach them, with real processes.

The checks use what callers and servers observed. The schedule of requests and cuts is deterministic
for a seed.

    soak/cut_instances.py --program build/poppywayd --instance-environment NAME=VALUE
                          [--seed N] [--case NAME ...]

The variable loads the library poppyway_path_cut into each instance; tests/CMakeLists.txt shows it.
"""

import asyncio
import os
import tempfile
import time

from cases import KEY, POOL, FleetCase, library_argument, run_cases
from cut_paths import SERVER_PORT, CutServers, Elsewhere
from fleet import document
from stand_ins import FaultModel

PER_S = 250
SERVERS = 14
INSTANCES = 6
FROM_S = 3.0  # The checks count requests sent so long after a cut began.
CUT_S = 8.0
MOVES_AFTER_S = 4.5
MEMBERS_DOWN_S = 2.0
CUT_SHARE = 0.9  # Share of the first tries at cut instances that must be served.
OTHERS_SHARE = 0.97  # The same for the other instances, which lose nothing.
AVOIDED_PER_CUT = 2  # Sound servers that all instances may avoid on the word of a cut one.


class Case(FleetCase):
    """A fleet some of whose instances lose all servers."""

    PER_S = PER_S

    def __init__(self, program, name, subnet, seed, variable):
        self._folder = tempfile.TemporaryDirectory(prefix="poppyway-cuts-")
        super().__init__(program, name, subnet, seed, self.PER_S, instances=INSTANCES,
                         environment_of=lambda number: {
                             **dict([variable.split("=", 1)]),
                             "POPPYWAY_CUT_PORT": str(SERVER_PORT),
                             "POPPYWAY_CUT_FILE": self._cut_file(number)})
        self.servers = self.make_servers(subnet, seed)
        self._subnet = subnet
        self.cuts = []  # (begin, end, number of the instance).
        self._begun = {}  # Number of a cut instance to the beginning of its cut.

    def make_servers(self, subnet, seed):
        return CutServers(self.fleet.instances, subnet, "v1", SERVERS, self.fleet.members,
                          FaultModel(), seed)

    def _cut_file(self, number):
        return os.path.join(self._folder.name, f"cut-{number}")

    def cut(self, numbers, new="hang", kept="silent"):
        """Cuts instances off. `new`: what becomes of new connections. `kept`: kept connections fall
        silent, are reset, or live on."""
        for number in numbers:
            self._begun[number] = time.monotonic()
            with open(self._cut_file(number), "w", encoding="ascii") as cut:
                cut.write(self.elsewhere.places[new])
            if kept == "silent":
                self.servers.hold_back(number)
            elif kept == "reset":
                self.servers.reset(number)

    def heal(self, numbers):
        for number in numbers:
            self.cuts.append((self._begun.pop(number), time.monotonic(), number))
            os.remove(self._cut_file(number))
            self.servers.let_through(number)

    async def cut_for(self, numbers, seconds=CUT_S, **how):
        self.cut(numbers, **how)
        await asyncio.sleep(seconds)
        self.heal(numbers)

    async def two_silent(self):
        await self.cut_for([0, 1])

    async def two_reset(self):
        await self.cut_for([0, 1], kept="reset")

    async def two_refused(self):
        """New connections are refused, kept ones live on for half of the cut."""
        self.cut([0, 1], new="refuse", kept="live")
        await asyncio.sleep(CUT_S / 2)
        self.servers.hold_back(0)
        self.servers.reset(1)
        await asyncio.sleep(CUT_S / 2)
        self.heal([0, 1])

    async def reset_at_once(self):
        """New connections come up and are reset at once."""
        await self.cut_for([0, 1], new="reset", kept="reset")

    async def most(self):
        await self.cut_for([0, 1, 2, 3, 4])

    async def leader_killed(self):
        """Cuts two instances off while the leader is killed."""
        self.cut([0, 1])
        await asyncio.sleep(CUT_S / 4)
        await self.kill_leader()
        await asyncio.sleep(CUT_S * 3 / 4)
        self.heal([0, 1])

    async def all_members_killed(self):
        """Kills all members for a while that instances may go on without them."""
        self.cut([0, 1])
        await asyncio.sleep(CUT_S / 4)
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(MEMBERS_DOWN_S)
        for member in self.fleet.members:
            member.start()
        await asyncio.sleep(CUT_S * 3 / 4 - MEMBERS_DOWN_S)
        self.heal([0, 1])

    async def from_the_start(self):
        """Two instances reach no server from their start on; `play` has begun the cut."""
        await asyncio.sleep(CUT_S)
        self.heal([0, 1])

    async def configuration_changes(self):
        """Sends new documents while two instances are cut off."""
        self.cut([0, 1])
        for version in range(2, 6):
            await asyncio.sleep(CUT_S / 4)
            status, _ = await self.operator.ask("PUT", "/-/config", document(version, POOL, KEY))
            self.check(status == 200, f"document {version} got {status}")
        self.heal([0, 1])

    async def moving(self):
        """Cuts the next two instances off as soon as the former two are back."""
        for first in (0, 2, 4):
            await self.cut_for([first, first + 1], seconds=MOVES_AFTER_S)

    async def overlapping(self):
        """Cuts instances off one after the other for random times, while members are killed and
        paused."""
        async def cut_one(number):
            await self.cut_for([number], seconds=self.rng.uniform(4, 8),
                               new=self.rng.choice(("hang", "refuse")),
                               kept=self.rng.choice(("silent", "reset", "live")))
        faults = []
        for number in self.rng.sample(range(INSTANCES), 4):
            faults.append(asyncio.create_task(cut_one(number)))
            faults.append(asyncio.create_task(
                self.rng.choice((self.kill_leader, self.pause_member))()))
            await asyncio.sleep(self.rng.uniform(0.5, 2))
        await asyncio.gather(*faults)

    async def helper_stopped(self):
        """Stops an instance as planned while two others are cut off, and starts it again."""
        self.cut([0, 1])
        for number in (2, 3):
            await asyncio.sleep(CUT_S / 4)
            await self.stop_as_planned(number)
        await asyncio.sleep(CUT_S / 4)
        self.heal([0, 1])

    async def stop_as_planned(self, number):
        self.callers.leave(number)
        await asyncio.sleep(0.1)
        self.fleet.instances[number].terminate()
        await asyncio.sleep(0.5)

    async def play(self):
        self.elsewhere = Elsewhere(self._subnet)
        if self.name == "from-the-start":
            self.cut([0, 1])
        await self.start_with(self.servers, warm_up_s=2.0)
        await CASES[self.name](self)
        await asyncio.sleep(2.0)
        await self.callers.stop()
        self.judge()

    def was_cut(self, sent, number, since_s):
        return any(begin + since_s <= sent < end and number == other
                   for begin, end, other in self.cuts)

    def judge(self):
        counts = {"cut": [0, 0], "others": [0, 0]}  # Served, all.
        for sent, ident in self.callers.sent:
            number = int(ident.rsplit("-", 1)[1])
            if self.was_cut(sent, number, FROM_S):
                count = counts["cut"]
            elif self.was_cut(sent, number, 0) or not self.during_a_cut(sent):
                continue
            else:
                count = counts["others"]
            count[1] += 1
            count[0] += self.callers.statuses.get(ident) == 200
        avoided = self.avoided()
        shares = {name: served / max(1, total) for name, (served, total) in counts.items()}
        self.check(shares["cut"] >= CUT_SHARE, f"served at cut instances: {counts['cut']}")
        self.check(shares["others"] >= OTHERS_SHARE, f"served at the others: {counts['others']}")
        self.check(avoided <= AVOIDED_PER_CUT * len(self.cuts), f"{avoided} sound servers avoided")
        self.check(self.crashes() == 0, f"{self.crashes()} crashes of servers reported, none is")
        self.check(not self.callers.wrong, "answers of other requests")
        self.check_runs()
        print(f"case={self.name} cut={counts['cut']} others={counts['others']} avoided={avoided} "
              f"outcomes={self.callers.outcomes}", flush=True)

    def during_a_cut(self, sent):
        return any(begin <= sent < end for begin, end, _ in self.cuts)

    def check_runs(self):
        """Checks that no non-repeatable request ran twice, and that a refusal which says that a
        request hasn't run is true."""
        twice = [ident for ident in self.callers.books if len(self.servers.runs.get(ident, ())) > 1]
        untrue = [ident for ident, status in self.callers.statuses.items()
                  if status in (429, 503) and ident in self.callers.books
                  and ident in self.servers.runs]
        self.check(not twice, f"ran twice: {twice[:5]}")
        self.check(not untrue, f"refused as not run, but ran: {untrue[:5]}")

    def avoided(self):
        return sum(member.log().count("event=server_avoided") for member in self.fleet.members)

    def crashes(self):
        return sum(instance.log().count("event=server_crashed")
                   for instance in self.fleet.instances)

    async def stop(self):
        await self.stop_with(self.servers)
        self.elsewhere.close()
        self._folder.cleanup()


CASES = {
    "two-silent": Case.two_silent,
    "two-reset": Case.two_reset,
    "two-refused": Case.two_refused,
    "reset-at-once": Case.reset_at_once,
    "most-silent": Case.most,
    "leader-killed": Case.leader_killed,
    "all-members-killed": Case.all_members_killed,
    "from-the-start": Case.from_the_start,
    "configuration-changes": Case.configuration_changes,
    "moving": Case.moving,
    "helper-stopped": Case.helper_stopped,
    "overlapping": Case.overlapping,
}


add_arguments = library_argument("instance-environment", "cuts an instance off from servers")


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__, add_arguments)
