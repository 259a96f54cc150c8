#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Rollouts with real processes: two versions of fake servers, clients and an operator.

Each case is one rollout of a good or a faulty version with at most one injected fault. The checks
use what servers, clients and the operator observed. The schedule of requests is deterministic for a
seed. Faults are injected at observed steps of the rollout, not at fixed times: the time of the
verdict depends on the load of the machine, and an order for another version may be rejected only
while the first rollout is in progress.

    soak/rollouts.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import time

from cases import POOL, FleetCase, run_cases, wait_until
from stand_ins import FaultModel, Servers

SECONDS = 8
PER_S = 120
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
ROLL_BACK_S = 5.0  # Limit from the 50th bad response to the last request to the version.

TRIAL_RUNS = 5  # Requests to the target that show its trial; usually too few for a verdict.
WORK_S = 0.02  # Processing time of a request.
LONG_WORK_S = 0.1  # Keeps old servers busy for some time after the decision to move.
# Requests to the target after the decision to move that show that it was committed and takes
# effect.
MOVED_RUNS = 2
LEADER_GONE_S = 1.0  # The other members elect a new leader within this time.
DECIDED = "event=rollout_decided"  # Logged by the leader at the decision to move and at the end.
# A repeated order gets the same response for 6 s. An order that is sent and answered within that
# time never starts a second rollout, whether the first has ended or not.
REPEAT_S, REPEAT_LIMIT_S = 3.0, 2.0

GOOD = FaultModel()
FAILS = FaultModel(fails=1, share=0.5)
BAD_ON_DEMAND = FaultModel(fails=1, share=0.5, on_demand=True)
# For each case, the fault model of the version and the method of Case that runs it.
CASES = {
    "good": (GOOD, "undisturbed"),
    "fails-at-once": (FAILS, "undisturbed"),
    "slow-at-once": (FaultModel(slow=6), "undisturbed"),
    "fails-later": (FaultModel(fails=1, share=0.4, from_s=4), "undisturbed"),
    "fails-on-one-route": (FaultModel(fails=1, share=0.6, route="book"), "undisturbed"),
    "good-leader-killed": (GOOD, "leader_killed_in_trial"),
    "fails-leader-killed": (FAILS, "leader_killed_in_trial"),
    "turns-bad-leader-killed": (BAD_ON_DEMAND, "leader_killed_in_trial"),
    "good-leader-killed-at-order": (GOOD, "leader_killed_at_order"),
    "fails-leader-killed-at-order": (FAILS, "leader_killed_at_order"),
    "fails-leader-killed-at-verdict": (FAILS, "leader_killed_at_verdict"),
    "good-leader-killed-moving": (GOOD, "leader_killed_moving"),
    "good-all-members-killed": (GOOD, "members_killed"),
    "fails-all-members-killed": (FAILS, "members_killed"),
}


class Case(FleetCase):
    """One rollout from start to end."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        self.fault_model, self.step = CASES[name]
        members = self.fleet.members
        work_s = LONG_WORK_S if self.step == "leader_killed_moving" else WORK_S
        self.old = Servers(subnet, "v1", 4, members, GOOD, seed, work_s)
        self.new = Servers(subnet, "v2", 4, members, self.fault_model, seed, work_s)
        self.ordered = 0.0

    async def start(self):
        await self.start_with(self.old, warm_up_s=1.5)

    async def send_orders(self):
        """Sends the order, and invalid orders that must be rejected."""
        self.check(await self.operator.order("nowhere", "v2", SECONDS) == 404, "unknown pool")
        self.check(await self.operator.order(POOL, "v2", 0) == 400, "no time")
        began = time.monotonic()
        self.check(await self.operator.order(POOL, "v2", SECONDS) == 200, "the order")
        self.check(time.monotonic() - began < 2, "the order took too long")
        self.ordered = time.monotonic()

    async def check_other_orders(self):
        """Checks the responses to orders during the rollout. Call it only while no verdict is
        possible: the target has no servers yet, or no bad ones, and the time to move is far off."""
        state = await self.operator.state(POOL)
        self.check(state == "in_progress", f"not under way: {state}")
        self.check(await self.operator.order(POOL, "v3", SECONDS) == 409, "another version")
        self.check(await self.operator.order(POOL, "v2", SECONDS) in (200, 409), "repeated")
        state = await self.operator.state(POOL)
        self.check(state == "in_progress", f"no longer under way: {state}")

    async def repeat_order(self):
        """Repeats the order, whether there is a verdict or not. Has no effect later than REPEAT_S after
        the order."""
        if time.monotonic() > self.ordered + REPEAT_S:
            return
        status = await self.operator.order(POOL, "v2", SECONDS, REPEAT_LIMIT_S)
        self.check(status in (200, 409), "repeated")

    async def check_orders_if_undecided(self):
        """Checks other orders if no verdict is possible. A version that is bad already may be
        rolled back at any moment, so only its order is repeated."""
        if self.fault_model in (GOOD, BAD_ON_DEMAND):
            await self.check_other_orders()
        else:
            await self.repeat_order()

    async def until_ended(self, pause):
        """Polls the state until the rollout ends. Returns the last state and when it was
        observed."""
        state, ended = "in_progress", time.monotonic()
        while state == "in_progress" and time.monotonic() < self.ordered + SECONDS + 3:
            await asyncio.sleep(pause)
            state, ended = await self.operator.state(POOL), time.monotonic()
        return state, ended

    def kill_leader(self):
        """Kills the leader. Returns a task that restarts it once the others have elected a
        leader."""
        leader = self.fleet.leader()
        leader.kill()

        async def start_later():
            await asyncio.sleep(LEADER_GONE_S)
            leader.start()

        return asyncio.create_task(start_later())

    async def trial(self):
        """Runs the rollout up to the first requests to the target."""
        await self.check_other_orders()
        await self.new.start(POOL)
        self.check(await wait_until(lambda: len(self.new.runs) >= TRIAL_RUNS), "no trial was seen")

    async def undisturbed(self):
        await self.trial()
        await self.check_orders_if_undecided()
        self.new.turn_bad()
        return await self.until_ended(0.1)

    async def leader_killed_at_order(self):
        """Kills the leader while the order is only in the log."""
        restarted = self.kill_leader()
        await self.check_other_orders()
        await self.new.start(POOL)
        await restarted
        await self.check_orders_if_undecided()
        return await self.until_ended(0.1)

    async def leader_killed_in_trial(self):
        """Kills the leader during the trial, so that its statistics of the target are lost."""
        await self.trial()
        await self.kill_leader()
        await self.check_orders_if_undecided()
        self.new.turn_bad()
        return await self.until_ended(0.1)

    async def leader_killed_at_verdict(self):
        """Kills the leader after the verdict. A new leader must keep the verdict, and a version
        that was rolled back must get no more requests."""
        await self.check_other_orders()
        await self.new.start(POOL)
        state, ended = await self.until_ended(0.01)
        restarted = self.kill_leader()
        self.check(await self.operator.state(POOL) == state, "a new leader has another end")
        await self.repeat_order()
        self.check(await self.operator.state(POOL) == state, "a repeated order changed the end")
        await restarted
        return state, ended

    async def leader_killed_moving(self):
        """Kills the leader after the decision to move, while old servers still run requests."""
        await self.check_other_orders()
        await self.new.start(POOL)
        decided = await wait_until(lambda: self.fleet.count_in_leader_log(DECIDED) > 0, SECONDS)
        self.check(decided, "no decision was seen")
        before = len(self.new.runs)
        moved = await wait_until(lambda: len(self.new.runs) >= before + MOVED_RUNS)
        self.check(moved, "no work was seen to move")
        leader = self.fleet.leader()
        restarted = self.kill_leader()
        decisions = leader.log().count(DECIDED)
        self.check(decisions == 1, f"{decisions} decisions before the kill")
        state, ended = await self.until_ended(0.02)
        await restarted
        return state, ended

    async def members_killed(self):
        """Kills all members right after the acknowledgement."""
        if self.fault_model is GOOD:
            await self.new.start(POOL)
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(0.5)
        for member in self.fleet.members:
            member.start()
        await self.check_other_orders()
        if self.fault_model is not GOOD:
            await self.new.start(POOL)
        return await self.until_ended(0.1)

    async def play(self):
        await self.start()
        await self.send_orders()
        state, ended = await getattr(self, self.step)()
        if state == "completed":
            await self.old.stop()
        await asyncio.sleep(2.0)
        self.check(await self.operator.state(POOL) == state, "the end changed")
        await self.callers.stop()
        self.judge(state, self.ordered, ended)

    def judge(self, state, ordered, ended):
        good = self.fault_model is GOOD
        late = 1.5 if self.step == "members_killed" else 0.0  # Downtime of the members.
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
