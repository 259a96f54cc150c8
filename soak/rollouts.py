#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Roll-outs through real processes: two versions of stand-in servers, callers, an operator.

Each case is one roll-out with one kind of version and one fault of ours; checks are made from what
servers, callers and the operator saw. One seed gives one schedule of requests.

    soak/rollouts.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import argparse
import asyncio
import sys
import time

from fleet import Fleet, document, hold_subnets
from stand_ins import Badness, Callers, Operator, Servers

POOL = "app"
KEY = "key-of-north"
SECONDS = 8
PER_S = 120
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
ROLL_BACK_S = 5.0  # After the 50th bad answer nothing more goes to the version.

GOOD = Badness()
CASES = {
    "good": (GOOD, None),
    "fails-at-once": (Badness(fails=1, share=0.5), None),
    "slow-at-once": (Badness(slow=6), None),
    "fails-later": (Badness(fails=1, share=0.4, from_s=4), None),
    "fails-on-one-route": (Badness(fails=1, share=0.6, route="book"), None),
    "good-leader-killed": (GOOD, "kill-leader"),
    "fails-leader-killed": (Badness(fails=1, share=0.5), "kill-leader"),
    "good-all-members-killed": (GOOD, "kill-members"),
    "fails-all-members-killed": (Badness(fails=1, share=0.5), "kill-members"),
}


class Case:
    """One roll-out from start to end."""

    def __init__(self, program, name, subnet, seed):
        self.name = name
        self.badness, self.fault = CASES[name]
        self.fleet = Fleet(program, subnet)
        members = self.fleet.members
        self.old = Servers(subnet, "v1", 4, members, GOOD, seed)
        self.new = Servers(subnet, "v2", 4, members, self.badness, seed)
        self.callers = Callers(self.fleet.instances, KEY, PER_S, seed)
        self.operator = Operator(members, seed)
        self.failures = []

    def check(self, holds, what):
        if not holds:
            self.failures.append(what)

    async def start(self):
        self.fleet.start()
        status, _ = await self.operator.ask("PUT", "/-/config", document(1, POOL, KEY), limit=15)
        self.check(status == 200, f"the document got {status}")
        await self.old.start(POOL)
        await asyncio.sleep(2.0)
        self.callers.start()
        await asyncio.sleep(1.5)

    async def orders(self):
        """The order itself, and orders that must be told apart from it."""
        self.check(await self.operator.order("nowhere", "v2", SECONDS) == 404, "unknown pool")
        self.check(await self.operator.order(POOL, "v2", 0) == 400, "no time")
        began = time.monotonic()
        self.check(await self.operator.order(POOL, "v2", SECONDS) == 200, "the order")
        self.check(time.monotonic() - began < 2, "the order took too long")
        return time.monotonic()

    async def strike(self):
        """The fault of ours, while the roll-out is under way."""
        if self.fault == "kill-leader":
            await asyncio.sleep(2.0)
            leader = self.fleet.leader()
            leader.kill()
            await asyncio.sleep(1.0)
            leader.start()
        elif self.fault == "kill-members":
            for member in self.fleet.members:
                member.kill()
            await asyncio.sleep(0.5)
            for member in self.fleet.members:
                member.start()

    async def play(self):
        await self.start()
        ordered = await self.orders()
        await self.new.start(POOL)
        await self.strike()
        self.check(await self.operator.order(POOL, "v3", SECONDS) == 409, "another version")
        self.check(await self.operator.order(POOL, "v2", SECONDS) in (200, 409), "repeated")
        state, ended = "in_progress", 0.0
        while state == "in_progress" and time.monotonic() < ordered + SECONDS + 3:
            await asyncio.sleep(0.1)
            state, ended = await self.operator.state(POOL), time.monotonic()
        if state == "completed":
            await self.old.stop()
        await asyncio.sleep(2.0)
        self.check(await self.operator.state(POOL) == state, "the end changed")
        await self.callers.stop()
        self.judge(state, ordered, ended)

    def judge(self, state, ordered, ended):
        good = self.badness is GOOD
        late = 1.5 if self.fault == "kill-members" else 0.0  # The time that they were gone.
        self.check(state == ("completed" if good else "rolled_back"), f"it ended as {state}")
        self.check(ended <= ordered + SECONDS + late + 0.3, f"{ended - ordered:.1f} s to the end")
        runs = self.old.runs | self.new.runs
        twice = [i for i, when in runs.items() if len(when) > 2]
        self.check(not twice, f"run more often than the route allows: {twice[:3]}")
        self.check(not self.callers.wrong, "answers of other requests")
        to_new = sorted(when for whens in self.new.runs.values() for when in whens)
        to_old = [when for whens in self.old.runs.values() for when in whens]
        deadline = ordered + SECONDS
        got = sum(1 for when in to_new if when <= deadline)
        reached = got + sum(1 for when in to_old if ordered <= when <= deadline)
        if not good:
            most = EXPOSURE_SHARE * reached + EXPOSURE_SLACK
            self.check(got <= most, f"{got} of {reached} went to a bad version")
            self.check(not [w for w in to_new if w > ended + 0.5], "work after the roll-back")
        if len(self.new.bad) >= 50:
            self.check(to_new[-1] <= sorted(self.new.bad)[49] + ROLL_BACK_S, "bad for too long")
        served = self.callers.outcomes.get(200, 0)
        total = sum(self.callers.outcomes.values())
        if good and self.fault is None:
            self.check(served >= 0.99 * total, f"{served} of {total} served")
        print(f"case={self.name} state={state} took_s={ended - ordered:.1f} to_target={got} "
              f"of={reached} bad={len(self.new.bad)} served={served} total={total} "
              f"outcomes={self.callers.outcomes}", flush=True)


async def run_case(program, name, subnet, seed, keep_logs):
    case = Case(program, name, subnet, seed)
    try:
        await case.play()
    finally:
        if case.failures and keep_logs:
            for process in case.fleet.members + case.fleet.instances:
                with open(f"{keep_logs}/{name}-{seed}-{process.name}.log", "w",
                          encoding="utf-8") as kept:
                    kept.write(process.log())
        await case.old.stop()
        await case.new.stop()
        case.fleet.stop()
    for failure in case.failures:
        print(f"FAILED case={name} seed={seed}: {failure}", flush=True)
    return not case.failures


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="path of poppywayd")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", nargs="*", default=list(CASES), choices=list(CASES))
    parser.add_argument("--keep-logs", help="folder for the logs of cases that fail")
    options = parser.parse_args()
    passed = 0
    first, guard = hold_subnets(len(CASES))
    for number, name in enumerate(options.case):
        passed += asyncio.run(
            run_case(options.program, name, first + number, options.seed, options.keep_logs))
    guard.close()
    failed = len(options.case) - passed
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
