#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""What servers say of themselves in their answers, heeded by real processes: stand-in servers that
turn requests away and ask the instance for a time without requests, or say that they leave.

Each case has one kind of fault of ours, the last one several; checks are made from what servers and callers saw. One seed gives
one schedule of requests.

    soak/server_words.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import collections
import signal

from cases import FleetCase, run_cases
from stand_ins import Badness, Servers

PER_S = 150
SERVERS = 8
SPEAKING = 2  # Servers that ask for a time without requests, or leave.
BACK_OFF_S = 2.0
SPELL_S = 5.0  # For which they do so.
BACKS_OFF = "backs off"
LEAVES = "leaves"
TURNED_AWAY = 0.5  # Of the requests. A server that turned all away would be avoided for failing.
CROSSING_S = 0.5  # Requests that were on their way when a server answered.
CROSSING_MOST = 2
LEAVE_S = 2.0  # A server that leaves serves on for so long.
FAULTS = 8  # Of the case whose faults overlap.
REST_S = 1.0  # From the last fault to the end of a case.


class Speaking(Servers):
    """Servers of which the busiest speak, once told. Slow ones may get no request for seconds."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.speaking = {BACKS_OFF: set(), LEAVES: set()}  # Places by what they say.
        self.got = collections.Counter()  # Requests by place.
        self.asked = {}  # (server, instance) to when it asked last.
        self.reached = {}  # (server, instance) to when requests came within a time it asked for.
        self.told_leaving = {}  # (server, instance) to when its first answer that says so went out.
        self.late = []  # Requests after that: by how much.

    def speak(self, *words):
        """The busiest say the first word from now on, the next ones the second."""
        busiest = [place for place, _ in self.got.most_common()]
        for k, word in enumerate(words):
            self.speaking[word] = set(busiest[k * SPEAKING:(k + 1) * SPEAKING])

    def fall_silent(self):
        for places in self.speaking.values():
            places.clear()

    def forget(self, instance):
        """The instance has died: its next life knows nothing of what was said."""
        for known in (self.asked, self.told_leaving):
            for pair in [pair for pair in known if pair[1] == str(instance)]:
                del known[pair]

    def judge(self, place, ident, now):
        """Notes a request that reached a server; the fields that its answer gets, and whether it
        is turned away."""
        self.got[place] += 1
        pair = (place, ident.split("-")[1])
        asked = self.asked.get(pair)
        if asked is not None and CROSSING_S <= now - asked < BACK_OFF_S:
            self.reached.setdefault((pair, asked), []).append(now - asked)
        told = self.told_leaving.get(pair)
        if told is not None and now - told > LEAVE_S:
            self.late.append(round(now - told, 2))
        fields = []
        if place in self.speaking[LEAVES]:
            self.told_leaving.setdefault(pair, now)
            fields.append("Server-Leaving: 1")
        turned_away = place in self.speaking[BACKS_OFF] and self._rng.random() < TURNED_AWAY
        if turned_away:
            if asked is None or now - asked >= BACK_OFF_S:
                self.asked[pair] = now
            fields += [f"Retry-After: {BACK_OFF_S}", "X-Not-Executed: 1"]
        return fields, turned_away

    def broken(self):
        """Times that were asked for and not kept."""
        return {pair: [round(late, 2) for late in lates]
                for (pair, _), lates in self.reached.items() if len(lates) > CROSSING_MOST}


class Case(FleetCase):
    """One fleet, and what its servers saw."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        self.servers = Speaking(subnet, "v1", SERVERS, self.fleet.members, Badness(), seed)

    async def nothing_else(self):
        await asyncio.sleep(SPELL_S)

    async def leader_killed(self):
        """Twice: the broker that knew what servers had said is gone, and so is the next one."""
        for _ in range(2):
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
            leader = self.fleet.leader()
            leader.kill()
            await asyncio.sleep(SPELL_S / 2 - 1.0)
            leader.start()

    async def all_members_killed(self):
        """Instances decide alone meanwhile."""
        await asyncio.sleep(self.rng.uniform(0.3, 1.2))
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(SPELL_S / 2)
        for member in self.fleet.members:
            member.start()
        await asyncio.sleep(SPELL_S / 2)

    async def pause_member(self):
        member = self.rng.choice(self.fleet.members)
        member.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        member.send_signal(signal.SIGCONT)

    async def restart_instance(self):
        number = self.rng.randrange(len(self.fleet.instances))
        instance = self.fleet.instances[number]
        instance.kill()
        await asyncio.sleep(0.3)  # What it sent has been answered by then.
        self.servers.forget(number)
        instance.start()

    async def overlapping(self):
        """Kills, restarts and pauses, some of them at the same time."""
        faults = []
        for _ in range(FAULTS):
            fault = self.rng.choice((self.kill_leader, self.pause_member, self.restart_instance))
            faults.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        await asyncio.gather(*faults)

    async def play(self):
        await self.start_with(self.servers)
        fault, words = CASES[self.name]
        self.servers.speak(*words)
        await fault(self)
        self.servers.fall_silent()
        await asyncio.sleep(REST_S)
        await self.callers.stop()
        self.judge(words)

    def judge(self, words):
        broken = self.servers.broken()
        self.check(not broken, f"requests in a time that a server asked for: {broken}")
        late = self.servers.late
        self.check(not late, f"{len(late)} requests at servers that had said they leave: {late[:5]}")
        spoke = {BACKS_OFF: self.servers.asked, LEAVES: self.servers.told_leaving}
        for word in words:
            self.check(len(spoke[word]) > 1, f"no server said that it {word}")
        self.check(not self.callers.wrong, "answers of other requests")
        served = self.callers.outcomes.get(200, 0)
        total = sum(self.callers.outcomes.values())
        if self.name.endswith("no-fault"):
            self.check(served >= 0.9 * total, f"{served} of {total} served")
        print(f"case={self.name} spoke={[len(spoke[word]) for word in words]} "
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
