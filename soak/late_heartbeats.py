#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Late heartbeats of ended servers, with real processes: servers end and start again at their
addresses as new ones; then a heartbeat of the ended one arrives, as one that a cut held up.

Each case delivers one form of late heartbeat, some followed by restarts. Soon afterwards each running
server has to get requests again.

    soak/late_heartbeats.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import collections
import json
import time

from cases import POOL, FleetCase, run_cases
from ending_servers import EndingServers
from fleet import CONTROL_PORT
from stand_ins import FaultModel, call

# Some ten requests run at once, so that even the slowest server gets some within WINDOW_S.
PER_S = 200
WORK_S = 0.05
SERVERS = 4
STRUCK = 2
DOWN_S = 0.4
REGISTERED_S = 0.8  # From the start of a server until it has registered.
# A running server is known again after two of its heartbeats, which come every second.
KNOWN_AGAIN_S = 4.0
RECOVER_S = 6.0  # The same after a restart of processes.
WINDOW_S = 2.5
ROUNDS = 4  # Of the case with overlapping faults.


class CountedServers(EndingServers):
    """Servers that count the requests that reach each address."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.got = collections.defaultdict(list)  # Times by address.

    def judge(self, address, _ident, now):
        self.got[address].append(now)
        return [], False


class Case(FleetCase):
    """A fleet before servers of which late heartbeats arrive."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        self.servers = CountedServers(subnet, "v1", SERVERS, self.fleet.members, FaultModel(), seed,
                                      WORK_S)

    async def replace(self, address):
        """Ends the server at an address. Returns its id once its successor has registered."""
        state = self.servers.states[address]
        await self.servers.end(state, DOWN_S)
        await asyncio.sleep(DOWN_S + REGISTERED_S)
        return state["id"]

    async def arrive(self, ident, address, method="PUT", **changes):
        """Delivers a heartbeat, or a removal, of an ended server."""
        body = {"service": POOL, "address": f"{address}:8080", "zone": "east", "version": "v1",
                "slots": 6, "state": "ready", "sequence": 1000, **changes}
        for member in self.rng.sample(self.fleet.members, len(self.fleet.members)):
            status, _ = await call(member.address, CONTROL_PORT, method, f"/-/instances/{ident}",
                                   json.dumps(body) if method == "PUT" else "", timeout=1.0)
            if status == 200:
                return
        self.check(False, f"no member took the late heartbeat of {ident}")

    async def strike(self, form):
        """Replaces some servers and delivers a late heartbeat of each."""
        struck = self.rng.sample(self.servers.addresses, STRUCK)
        ended = await asyncio.gather(*(self.replace(address) for address in struck))
        for ident, address in zip(ended, struck):
            await form(self, ident, address)

    async def other_slots(self, ident, address):
        await self.arrive(ident, address, slots=5)

    async def end_of_cold_time(self, ident, address):
        await self.arrive(ident, address, cold_left_ms=500)
        await self.arrive(ident, address, sequence=1001)

    async def draining(self, ident, address):
        await self.arrive(ident, address, state="draining")

    async def removal(self, ident, address):
        await self.arrive(ident, address, method="DELETE")

    async def first_of_its_id(self, ident, address):
        await self.arrive(f"{ident}-{self.rng.choice('az')}", address, cold_left_ms=300)

    async def first_of_its_id_draining(self, ident, address):
        await self.arrive(f"z-{ident}", address, state="draining")

    async def restart_members(self):
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(0.5)
        for member in self.fleet.members:
            member.start()

    async def restart_instances(self):
        for instance in self.fleet.instances:
            instance.kill()
        await asyncio.sleep(0.3)
        for instance in self.fleet.instances:
            instance.start()

    async def all_restarted(self):
        await self.strike(Case.first_of_its_id)
        await asyncio.gather(self.restart_members(), self.restart_instances())

    async def instances_restarted(self):
        await self.strike(Case.end_of_cold_time)
        await self.restart_instances()

    async def leader_killed(self):
        await self.strike(Case.first_of_its_id)
        await self.kill_leader()

    async def overlapping(self):
        """Rounds of all forms, with kills and pauses."""
        for _ in range(ROUNDS):
            form = self.rng.choice(list(FORMS.values()))
            faults = self.rng.choice([(), (self.kill_leader,), (self.pause_member,),
                                      (self.restart_instance,)])
            await asyncio.gather(self.strike(form), *(fault() for fault in faults))

    async def check_served(self):
        await asyncio.sleep(KNOWN_AGAIN_S if self.name in FORMS else RECOVER_S)
        begin = time.monotonic()
        await asyncio.sleep(WINDOW_S)
        idle = [address for address in self.servers.addresses
                if not any(when >= begin for when in self.servers.got[address])]
        self.check(not idle, f"{len(idle)} of {SERVERS} running servers get no requests: {idle}")
        self.check(not self.callers.wrong, f"wrong answers: {self.callers.wrong[:3]}")

    async def play(self):
        await self.start_with(self.servers)
        if self.name in FORMS:
            await self.strike(FORMS[self.name])
        else:
            await CASES[self.name](self)
        await self.check_served()
        await self.callers.stop()

    async def stop(self):
        await self.stop_with(self.servers)


FORMS = {
    "other-slots": Case.other_slots,
    "end-of-cold-time": Case.end_of_cold_time,
    "draining": Case.draining,
    "removal": Case.removal,
    "first-of-its-id": Case.first_of_its_id,
    "first-of-its-id-draining": Case.first_of_its_id_draining,
}
CASES = {
    **FORMS,
    "instances-restarted": Case.instances_restarted,
    "all-restarted": Case.all_restarted,
    "leader-killed": Case.leader_killed,
    "overlapping": Case.overlapping,
}

if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
