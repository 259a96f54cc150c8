#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Roll-outs through real processes: two versions of stand-in servers, callers, an operator.

Each case is one roll-out with one kind of version and one fault of ours; checks are made from what
servers, callers and the operator saw. One seed gives one schedule of requests. Faults strike at
steps of the roll-out that are seen, not at fixed times: when a verdict comes depends on the load of
the machine, and an order for another version may be refused only while the first is under way.

    soak/rollouts.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import time

from cases import POOL, FleetCase, run_cases, seen
from stand_ins import Badness, Servers

SECONDS = 8
PER_S = 120
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
ROLL_BACK_S = 5.0  # After the 50th bad answer nothing more goes to the version.

TRIAL_RUNS = 5  # Work at the target that shows its trial; too little to decide on, mostly.
WORK_S = 0.02  # A request's time at a server.
LONG_WORK_S = 0.1  # Keeps old servers at work for some time after the decision to move.
MOVED_RUNS = 2  # At the target, after the decision to move: it was committed and is acted upon.
LEADER_GONE_S = 1.0  # The others elect a new leader in this time.
DECIDED = "event=rollout_decided"  # A leader's log has it at the move, and again at the end.
# An order is answered as before for 6 s; one that is sent again by then, with an answer in time,
# never begins a second roll-out, whether the first has ended or not.
REPEAT_S, REPEAT_LIMIT_S = 3.0, 2.0

GOOD = Badness()
FAILS = Badness(fails=1, share=0.5)
TURNS_BAD = Badness(fails=1, share=0.5, when_told=True)
# Of each case the kind of version, and the step of Case that plays it.
CASES = {
    "good": (GOOD, "undisturbed"),
    "fails-at-once": (FAILS, "undisturbed"),
    "slow-at-once": (Badness(slow=6), "undisturbed"),
    "fails-later": (Badness(fails=1, share=0.4, from_s=4), "undisturbed"),
    "fails-on-one-route": (Badness(fails=1, share=0.6, route="book"), "undisturbed"),
    "good-leader-killed": (GOOD, "leader_killed_in_trial"),
    "fails-leader-killed": (FAILS, "leader_killed_in_trial"),
    "turns-bad-leader-killed": (TURNS_BAD, "leader_killed_in_trial"),
    "good-leader-killed-at-order": (GOOD, "leader_killed_at_order"),
    "fails-leader-killed-at-order": (FAILS, "leader_killed_at_order"),
    "fails-leader-killed-at-verdict": (FAILS, "leader_killed_at_verdict"),
    "good-leader-killed-moving": (GOOD, "leader_killed_moving"),
    "good-all-members-killed": (GOOD, "members_killed"),
    "fails-all-members-killed": (FAILS, "members_killed"),
}


class Case(FleetCase):
    """One roll-out from start to end."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        self.badness, self.step = CASES[name]
        members = self.fleet.members
        work_s = LONG_WORK_S if self.step == "leader_killed_moving" else WORK_S
        self.old = Servers(subnet, "v1", 4, members, GOOD, seed, work_s)
        self.new = Servers(subnet, "v2", 4, members, self.badness, seed, work_s)
        self.ordered = 0.0

    async def start(self):
        await self.start_with(self.old, warm_up_s=1.5)

    async def orders(self):
        """The order itself, and orders that must be told apart from it."""
        self.check(await self.operator.order("nowhere", "v2", SECONDS) == 404, "unknown pool")
        self.check(await self.operator.order(POOL, "v2", 0) == 400, "no time")
        began = time.monotonic()
        self.check(await self.operator.order(POOL, "v2", SECONDS) == 200, "the order")
        self.check(time.monotonic() - began < 2, "the order took too long")
        self.ordered = time.monotonic()

    async def refuses_others(self):
        """Orders while the roll-out is under way. Only called while no verdict may come: the target
        has no servers yet, or none that is bad, and it is long before the time to move."""
        state = await self.operator.state(POOL)
        self.check(state == "in_progress", f"not under way: {state}")
        self.check(await self.operator.order(POOL, "v3", SECONDS) == 409, "another version")
        self.check(await self.operator.order(POOL, "v2", SECONDS) in (200, 409), "repeated")
        state = await self.operator.state(POOL)
        self.check(state == "in_progress", f"no longer under way: {state}")

    async def repeats(self):
        """The same order again, whether a verdict came or not."""
        if time.monotonic() > self.ordered + REPEAT_S:
            return
        status = await self.operator.order(POOL, "v2", SECONDS, REPEAT_LIMIT_S)
        self.check(status in (200, 409), "repeated")

    async def refuses_others_if_undecided(self):
        """A version that is bad by now may be rolled back at any moment; only repeat its order."""
        if self.badness in (GOOD, TURNS_BAD):
            await self.refuses_others()
        else:
            await self.repeats()

    async def until_ended(self, pause):
        """The state at the end, and when it was seen."""
        state, ended = "in_progress", time.monotonic()
        while state == "in_progress" and time.monotonic() < self.ordered + SECONDS + 3:
            await asyncio.sleep(pause)
            state, ended = await self.operator.state(POOL), time.monotonic()
        return state, ended

    def kill_leader(self):
        """Kills the leader. The task that is returned starts it again, once others could lead."""
        leader = self.fleet.leader()
        leader.kill()

        async def start_later():
            await asyncio.sleep(LEADER_GONE_S)
            leader.start()

        return asyncio.create_task(start_later())

    async def trial(self):
        """Up to the first work at the target."""
        await self.refuses_others()
        await self.new.start(POOL)
        self.check(await seen(lambda: len(self.new.runs) >= TRIAL_RUNS), "no trial was seen")

    async def undisturbed(self):
        await self.trial()
        await self.refuses_others_if_undecided()
        self.new.turn_bad()
        return await self.until_ended(0.1)

    async def leader_killed_at_order(self):
        """Nobody but the log knows of the order yet."""
        back = self.kill_leader()
        await self.refuses_others()
        await self.new.start(POOL)
        await back
        await self.refuses_others_if_undecided()
        return await self.until_ended(0.1)

    async def leader_killed_in_trial(self):
        """What the leader learnt of the target is lost."""
        await self.trial()
        await self.kill_leader()
        await self.refuses_others_if_undecided()
        self.new.turn_bad()
        return await self.until_ended(0.1)

    async def leader_killed_at_verdict(self):
        """The verdict stays, and what was rolled back gets no more work from a new leader."""
        await self.refuses_others()
        await self.new.start(POOL)
        state, ended = await self.until_ended(0.01)
        back = self.kill_leader()
        self.check(await self.operator.state(POOL) == state, "a new leader has another end")
        await self.repeats()
        self.check(await self.operator.state(POOL) == state, "a repeated order changed the end")
        await back
        return state, ended

    async def leader_killed_moving(self):
        """The decision to move is taken, and old servers are still at work."""
        await self.refuses_others()
        await self.new.start(POOL)
        decided = await seen(lambda: self.fleet.leader_says(DECIDED) > 0, SECONDS)
        self.check(decided, "no decision was seen")
        before = len(self.new.runs)
        moved = await seen(lambda: len(self.new.runs) >= before + MOVED_RUNS)
        self.check(moved, "no work was seen to move")
        leader = self.fleet.leader()
        back = self.kill_leader()
        decisions = leader.log().count(DECIDED)
        self.check(decisions == 1, f"{decisions} decisions before the kill")
        state, ended = await self.until_ended(0.02)
        await back
        return state, ended

    async def members_killed(self):
        """All of them, right after the acknowledgement."""
        if self.badness is GOOD:
            await self.new.start(POOL)
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(0.5)
        for member in self.fleet.members:
            member.start()
        await self.refuses_others()
        if self.badness is not GOOD:
            await self.new.start(POOL)
        return await self.until_ended(0.1)

    async def play(self):
        await self.start()
        await self.orders()
        state, ended = await getattr(self, self.step)()
        if state == "completed":
            await self.old.stop()
        await asyncio.sleep(2.0)
        self.check(await self.operator.state(POOL) == state, "the end changed")
        await self.callers.stop()
        self.judge(state, self.ordered, ended)

    def judge(self, state, ordered, ended):
        good = self.badness is GOOD
        late = 1.5 if self.step == "members_killed" else 0.0  # The time that they were gone.
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
        if good and self.step == "undisturbed":
            self.check(served >= 0.99 * total, f"{served} of {total} served")
        print(f"case={self.name} state={state} took_s={ended - ordered:.1f} to_target={got} "
              f"of={reached} bad={len(self.new.bad)} served={served} total={total} "
              f"outcomes={self.callers.outcomes}", flush=True)

    async def stop(self):
        await self.stop_with(self.old, self.new)


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
