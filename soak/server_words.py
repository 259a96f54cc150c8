#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Notices of servers in their responses, with real processes: fake servers reject requests and ask
the instance to back off, or announce that they are leaving.

Each case injects one kind of fault, the last one several. The checks use what servers and clients
observed. The schedule of requests is deterministic for a seed.

    soak/server_words.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import collections

from cases import FleetCase, run_cases
from stand_ins import FaultModel, Servers

PER_S = 150
SERVERS = 8
NOTIFYING = 2  # Number of servers that send each kind of notice.
BACK_OFF_S = 2.0
NOTICE_S = 5.0  # Time during which they send it.
BACKS_OFF = "backs off"
LEAVES = "leaves"
# Share of the requests that a server rejects. One that rejected all would be ejected for its
# failures.
REJECTED_SHARE = 0.5
CROSSING_S = 0.5  # Requests within this time may have been sent before the notice arrived.
CROSSING_MOST = 2  # Requests after that time that are tolerated within one back-off.
LEAVE_S = 2.0  # How long a leaving server still serves requests.
FAULTS = 8  # Number of faults of the case with overlapping faults.
REST_S = 1.0  # Time between the last fault and the end of a case.


class NotifyingServers(Servers):
    """Servers, the busiest of which send notices from a given time on. Slow servers may get no
    request for seconds."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.notifying = {BACKS_OFF: set(), LEAVES: set()}  # Addresses by kind of notice.
        self.got = collections.Counter()  # Requests by address.
        self.back_off_notices = {}  # (server, instance) to the time of the last back-off notice.
        # ((server, instance), time of the notice) to requests during the back-off.
        self.reached = {}
        self.leaving_notices = {}  # (server, instance) to the time of the first leaving notice.
        self.late = []  # Seconds since that notice of each request that came later than LEAVE_S.

    def send_notices(self, *kinds):
        """From now on the busiest servers send the first kind of notice, the next ones the
        second."""
        busiest = [address for address, _ in self.got.most_common()]
        for k, kind in enumerate(kinds):
            self.notifying[kind] = set(busiest[k * NOTIFYING:(k + 1) * NOTIFYING])

    def stop_notices(self):
        for addresses in self.notifying.values():
            addresses.clear()

    def forget(self, instance):
        """Forgets the notices to an instance that was killed; after a restart it knows none of
        them."""
        for known in (self.back_off_notices, self.leaving_notices):
            for pair in [pair for pair in known if pair[1] == str(instance)]:
                del known[pair]

    def judge(self, address, ident, now):
        """Records a request that reached a server. Returns the notice headers of the response, and
        whether the request is rejected."""
        self.got[address] += 1
        pair = (address, ident.split("-")[1])
        asked = self.back_off_notices.get(pair)
        if asked is not None and CROSSING_S <= now - asked < BACK_OFF_S:
            self.reached.setdefault((pair, asked), []).append(now - asked)
        told = self.leaving_notices.get(pair)
        if told is not None and now - told > LEAVE_S:
            self.late.append(round(now - told, 2))
        fields = []
        if address in self.notifying[LEAVES]:
            self.leaving_notices.setdefault(pair, now)
            fields.append("Server-Leaving: 1")
        rejected = address in self.notifying[BACKS_OFF] and self._rng.random() < REJECTED_SHARE
        if rejected:
            if asked is None or now - asked >= BACK_OFF_S:
                self.back_off_notices[pair] = now
            fields += [f"Retry-After: {BACK_OFF_S}", "X-Not-Executed: 1"]
        return fields, rejected

    def broken(self):
        """Returns the back-offs during which more than CROSSING_MOST requests came."""
        return {pair: [round(late, 2) for late in lates]
                for (pair, _), lates in self.reached.items() if len(lates) > CROSSING_MOST}


class Case(FleetCase):
    """A fleet whose servers send notices."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        self.servers = NotifyingServers(subnet, "v1", SERVERS, self.fleet.members, FaultModel(),
                                        seed)

    async def nothing_else(self):
        await asyncio.sleep(NOTICE_S)

    async def leader_killed(self):
        """Kills the leader twice, so that the broker that knows the notices is lost, and then the
        next."""
        for _ in range(2):
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
            leader = self.fleet.leader()
            leader.kill()
            await asyncio.sleep(NOTICE_S / 2 - 1.0)
            leader.start()

    async def all_members_killed(self):
        """Kills all members, so that instances choose servers without a broker."""
        await asyncio.sleep(self.rng.uniform(0.3, 1.2))
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(NOTICE_S / 2)
        for member in self.fleet.members:
            member.start()
        await asyncio.sleep(NOTICE_S / 2)

    def on_instance_killed(self, number):
        self.servers.forget(number)

    async def overlapping(self):
        """Injects random kills, restarts and pauses, some of them at the same time."""
        faults = []
        for _ in range(FAULTS):
            fault = self.rng.choice((self.kill_leader, self.pause_member, self.restart_instance))
            faults.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        await asyncio.gather(*faults)

    async def play(self):
        await self.start_with(self.servers)
        fault, kinds = CASES[self.name]
        self.servers.send_notices(*kinds)
        await fault(self)
        self.servers.stop_notices()
        await asyncio.sleep(REST_S)
        await self.callers.stop()
        self.judge(kinds)

    def judge(self, kinds):
        broken = self.servers.broken()
        self.check(not broken, f"requests in a time that a server asked for: {broken}")
        late = self.servers.late
        self.check(not late, f"{len(late)} requests at servers that had said they leave: {late[:5]}")
        notified = {BACKS_OFF: self.servers.back_off_notices, LEAVES: self.servers.leaving_notices}
        for kind in kinds:
            self.check(len(notified[kind]) > 1, f"no server said that it {kind}")
        self.check(not self.callers.wrong, "answers of other requests")
        served = self.callers.outcomes.get(200, 0)
        total = sum(self.callers.outcomes.values())
        if self.name.endswith("no-fault"):
            self.check(served >= 0.9 * total, f"{served} of {total} served")
        print(f"case={self.name} spoke={[len(notified[kind]) for kind in kinds]} "
              f"broken={len(broken)} late={len(late)} served={served} total={total} "
              f"outcomes={self.callers.outcomes}", flush=True)

    async def stop(self):
        await self.stop_with(self.servers)


CASES = {
    "back-off-no-fault": (Case.nothing_else, (BACKS_OFF,)),
    "back-off-leader-killed": (Case.leader_killed, (BACKS_OFF,)),
    "back-off-all-members-killed": (Case.all_members_killed, (BACKS_OFF,)),
    "leaving-no-fault": (Case.nothing_else, (LEAVES,)),
    "leaving-leader-killed": (Case.leader_killed, (LEAVES,)),
    "leaving-all-members-killed": (Case.all_members_killed, (LEAVES,)),
    "overlapping-faults": (Case.overlapping, (LEAVES, BACKS_OFF)),
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
