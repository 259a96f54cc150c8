#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Evacuations with real processes: fake servers in two data centres, clients and an operator.

Each case evacuates one data centre and injects one fault. The checks use what servers, clients and
the operator observed. The schedule of requests is deterministic for a seed.

    soak/evacuations.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import os
import time

from cases import FleetCase, run_cases
from stand_ins import FaultModel, Servers

PER_S = 120
EVACUATE_S = 5.0  # The configured bound; the cases check shorter times.
ACK_S = 5.0
EAST = "/-/evacuations/east"


class Case(FleetCase):
    """A fleet and the measurements of one evacuation."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        members = self.fleet.members
        self.east = Servers(subnet, "v1", 4, members, FaultModel(), seed, block=2)
        self.west = Servers(subnet, "v1", 4, members, FaultModel(), seed, zone="west", block=3)
        self.figures = {}

    async def start(self):
        await self.start_with(self.east, self.west)
        now = time.monotonic()
        self.check(self.east.arrivals(now - 0.5, now), "no work before the order")

    async def order(self, ends=False):
        """Orders the evacuation, or ends it. Returns the times of the order and its
        acknowledgement."""
        began = time.monotonic()
        status = await self.operator.evacuate("east", ends)
        acknowledged = time.monotonic()
        what = "the end" if ends else "the order"
        self.check(status == 200, f"{what} got {status}")
        slowest = max(self.figures.get("slowest_ack_s", 0.0), acknowledged - began)
        self.figures["slowest_ack_s"] = round(slowest, 3)
        self.check(acknowledged - began <= ACK_S, f"{what} took {acknowledged - began:.1f} s")
        return began, acknowledged

    def check_empty(self, acknowledged, ended, within):
        """Checks that no request reached the east from `within` seconds after the acknowledgement
        until the end."""
        assert within <= EVACUATE_S and ended > acknowledged + within
        arrivals = self.east.arrivals(acknowledged, ended)
        last = arrivals[-1] - acknowledged if arrivals else 0.0
        self.figures["last_arrival_s"] = round(last, 3)
        self.check(last <= within, f"work reached the east {last:.2f} s after the order")
        self.check(self.west.arrivals(acknowledged + within, ended), "no work in the west")

    async def check_returned(self):
        await asyncio.sleep(1.0)
        now = time.monotonic()
        self.check(self.east.arrivals(now - 0.5, now), "no work in the east after the end")

    async def ordered_and_ended(self):
        for ends in (False, True):
            self.check(await self.operator.evacuate("nowhere", ends) == 404, "unknown, not 404")
        self.check(await self.operator.evacuate("east", True) == 200, "an end without an order")
        _, acknowledged = await self.order()
        self.check(await self.operator.evacuate("east") == 200, "repeated")
        await asyncio.sleep(2.0)
        ended, _ = await self.order(ends=True)
        self.check(await self.operator.evacuate("east", True) == 200, "the end repeated")
        self.check_empty(acknowledged, ended, 0.5)
        await self.check_returned()

    async def leader_killed(self):
        leader = self.fleet.leader()
        order = asyncio.create_task(self.order())
        await asyncio.sleep(0.003)
        leader.kill()
        _, acknowledged = await order
        await asyncio.sleep(1.0)
        leader.start()
        await asyncio.sleep(2.5)
        # The end is ordered while there is no leader.
        leader = self.fleet.leader()
        leader.kill()
        ended, _ = await self.order(ends=True)
        leader.start()
        self.check_empty(acknowledged, ended, 2.0)
        await self.check_returned()

    async def answer_lost(self):
        await self.operator.lose_answer("POST", EAST)
        _, acknowledged = await self.order()
        await asyncio.sleep(1.5)
        ended = time.monotonic()
        await self.operator.lose_answer("DELETE", EAST)
        await self.order(ends=True)
        self.check_empty(acknowledged, ended, 0.5)
        await self.check_returned()

    async def all_members_killed(self):
        _, acknowledged = await self.order()
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(0.5)
        for member in self.fleet.members:
            member.start()
        await asyncio.sleep(6.0)
        ended, _ = await self.order(ends=True)
        self.check_empty(acknowledged, ended, 3.0)
        await self.check_returned()

    async def ended_while_propagating(self):
        for _ in range(5):
            await self.order()
            await self.order(ends=True)
        await self.check_returned()
        _, acknowledged = await self.order()
        await asyncio.sleep(1.5)
        ended, _ = await self.order(ends=True)
        self.check_empty(acknowledged, ended, 0.5)
        await self.check_returned()

    async def command(self, *arguments):
        """Runs the command-line client against an instance. Returns its exit code and its
        output."""
        instance = self.fleet.instances[0]
        process = await asyncio.create_subprocess_exec(
            os.path.join(os.path.dirname(self.fleet.program), "poppyway"),
            "--instance", instance.peer_endpoint, *arguments,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        output, _ = await process.communicate()
        return process.returncode, output.decode()

    async def by_command_line(self):
        """Sends the orders through an instance that is not a member."""
        code, output = await self.command("evacuate", "nowhere")
        self.check(code != 0 and "not_found" in output, f"unknown: {code}, {output}")
        code, output = await self.command("evacuate", "east")
        acknowledged = time.monotonic()
        self.check(code == 0, f"the order: {code}, {output}")
        await asyncio.sleep(1.5)
        code, output = await self.command("status")
        self.check(code == 0 and "east" in output, f"status: {code}, {output}")
        ended = time.monotonic()
        code, output = await self.command("evacuate", "east", "--end")
        self.check(code == 0, f"the end: {code}, {output}")
        self.check_empty(acknowledged, ended, 0.5)
        await self.check_returned()

    async def play(self):
        await self.start()
        await CASES[self.name](self)
        await self.callers.stop()
        self.judge()

    def judge(self):
        runs = self.east.runs | self.west.runs
        twice = [i for i, when in runs.items() if len(when) > 2]
        self.check(not twice, f"run more often than the route allows: {twice[:3]}")
        self.check(not self.callers.wrong, "answers of other requests")
        served = self.callers.outcomes.get(200, 0)
        total = sum(self.callers.outcomes.values())
        if self.name not in ("leader-killed", "all-members-killed"):
            self.check(served >= 0.99 * total, f"{served} of {total} served")
        figures = " ".join(f"{key}={value}" for key, value in self.figures.items())
        print(f"case={self.name} {figures} served={served} total={total} "
              f"outcomes={self.callers.outcomes}", flush=True)

    async def stop(self):
        await self.stop_with(self.east, self.west)


CASES = {
    "ordered-and-ended": Case.ordered_and_ended,
    "leader-killed": Case.leader_killed,
    "answer-lost": Case.answer_lost,
    "all-members-killed": Case.all_members_killed,
    "taken-back-while-told": Case.ended_while_propagating,
    "by-command-line": Case.by_command_line,
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
