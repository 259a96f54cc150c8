#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Streams over servers of two software versions, with real processes: what two versions write
doesn't fit together, so a stream may go on only at the version that began it.

Servers end, instances are killed, leaders and all members are lost, one by one and together. The
checks use what clients received. The schedule of faults is deterministic for a seed.

    soak/stream_versions.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import math
import signal
import time

from cases import POOL, FleetCase, run_cases
from fleet import stream_route
from stand_ins import FaultModel
from streams import TAKE_UP_S, StreamClients, StreamServers

STREAMS_PER_S = 25
SERVERS = 14
PLAY_S = 10.0
SERVER_ENDS_S = 0.3  # Time between two ends of servers.
DOWN_S = (0.6, 1.5)  # How long a server is down.
INSTANCE_ENDS_S = (0.8, 1.6)  # Time between two kills of instances.
MEMBERS_DOWN_S = 3.0
ALL_KILLED = 3  # Times that all instances are killed at once.
ALL_DOWN_S = (1.0, 1.5)
LATE_TAKE_UP_S = (0.6, 1.6)  # So that some reach an instance that is back.
LEAVE_EVERY_S = 0.4
DRAIN_S = 1.2
CONTACT_S = 3.0  # Until instances are in touch with members that are back.
GO_ON_SHARE = 0.5  # Of the share of new streams that begin.
OUT_OF_STEP_S = (3.0, 4.0)  # How long a process stands still.
OUT_OF_STEP_ROUNDS = 5
SHORT_ROUNDS = 2
TAKEN_UP_THERE_S = 0.7  # How long broken streams are taken up at the process that stood still.
BETWEEN_ROUNDS_S = 2.5
AT_ONCE_S = (0.0, 0.05)
LATE_VERSIONS = ("v1",) * 8 + ("v2",) * 6
COUNTED = 12  # Fewer take-ups say nothing.
VERSIONS = ("v1", "v2")
LONE_VERSION = ("v1",) * 6 + ("v2",)  # Two servers of fourteen.


class Case(FleetCase):
    """A fleet before servers of several software versions."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, per_s=5)
        options = CASES[name]
        self.servers = StreamServers(subnet, options.get("versions", VERSIONS), SERVERS,
                                     self.fleet.members, FaultModel(), seed,
                                     options.get("until_close", False))
        self.servers.change_version = options.get("change_version", False)
        self.servers.late_version = options.get("late_version")
        self._rounds = options.get("rounds", 0)
        # With one attempt each broken stream is taken up by its client.
        self._max_attempts = 1 if self._rounds else 2
        self.faults = options["faults"]
        # False if the leader is lost together with all instances: then nobody knows what began a
        # stream, and a refusal is right.
        self._records_outlive_faults = options.get("records_outlive_faults", True)
        self._in_touch_from = 0.0
        self.clients = StreamClients(self.fleet.instances, self.callers.key, STREAMS_PER_S, seed,
                                     self.servers, lambda: time.monotonic() >= self._in_touch_from,
                                     options.get("take_up_s", TAKE_UP_S))

    async def end_servers(self):
        while True:
            await asyncio.sleep(SERVER_ENDS_S)
            state = self.servers.states[self.rng.choice(self.servers.addresses)]
            await self.servers.end(state, self.rng.uniform(*DOWN_S))

    async def kill_instances(self):
        while True:
            await asyncio.sleep(self.rng.uniform(*INSTANCE_ENDS_S))
            await self.restart_instance()

    async def kill_all_instances(self):
        """Kills all instances at once, three times."""
        for _ in range(ALL_KILLED):
            await asyncio.sleep(self.rng.uniform(1.0, 2.0))
            for instance in self.fleet.instances:
                instance.kill()
            await asyncio.sleep(self.rng.uniform(*ALL_DOWN_S))
            for instance in self.fleet.instances:
                instance.start()

    def old_servers(self):
        """Returns the addresses of the servers of the first version."""
        return [address for address in self.servers.addresses
                if self.servers.versions[address] == VERSIONS[0]]

    async def old_version_leaves(self):
        """The servers of the first version but one leave for good, one after the other."""
        for address in self.old_servers()[:-1]:
            await asyncio.sleep(LEAVE_EVERY_S)
            await self.servers.leave(address, DRAIN_S)

    async def old_version_gone(self):
        """All servers of the first version leave for good, overlapping, between the kills."""
        leaving = []
        for address in self.old_servers():
            leaving.append(asyncio.create_task(self.servers.leave(address, DRAIN_S)))
            await asyncio.sleep(LEAVE_EVERY_S)
        await asyncio.gather(*leaving)

    async def old_version_replaced(self):
        """Each server of the first version ends at once and comes back as the second version, as a
        new process at the same address."""
        for address in self.old_servers():
            await asyncio.sleep(LEAVE_EVERY_S)
            self.servers.versions_after_restart[address] = VERSIONS[1]
            await self.servers.end(self.servers.states[address], self.rng.uniform(*DOWN_S))

    async def kill_everything(self):
        """Kills all members and instances at once, three times."""
        for _ in range(ALL_KILLED):
            await asyncio.sleep(self.rng.uniform(1.0, 2.0))
            processes = self.fleet.members + self.fleet.instances
            for process in processes:
                process.kill()
            await asyncio.sleep(self.rng.uniform(*ALL_DOWN_S))
            for process in processes:
                process.start()

    async def kill_leaders(self):
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 2.5))
            await self.kill_leader()

    async def stop_members(self):
        await asyncio.sleep(1.0)
        self._in_touch_from = math.inf
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(MEMBERS_DOWN_S)
        for member in self.fleet.members:
            member.start()
        self._in_touch_from = time.monotonic() + CONTACT_S
        await asyncio.sleep(PLAY_S)

    async def pause_processes(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            await self.pause(self.rng.choice(self.fleet.members + self.fleet.instances))

    async def out_of_step(self, choose):
        """In rounds, some processes stand still while servers of a new version join and streams
        begin on them elsewhere. As the processes go on, half of these servers crash, and the broken
        streams are taken up there at once. `choose`: returns the processes that stand still."""
        late = self.servers.late_addresses()
        for _ in range(self._rounds):
            struck = choose(self)
            here = [instance for instance in self.fleet.instances if instance in struck]
            here = here or [self.rng.choice(self.fleet.instances)]
            self.clients.away = set(here)
            for process in struck:
                process.send_signal(signal.SIGSTOP)
            for address in late:
                await self.servers.start_one(address)
            await asyncio.sleep(self.rng.uniform(*OUT_OF_STEP_S))
            for process in struck:
                process.send_signal(signal.SIGCONT)
            self.clients.take_up_at = here[0]
            for address in self.rng.sample(late, len(late) // 2):
                self.servers.end_for_good(address)
            await asyncio.sleep(TAKEN_UP_THERE_S)
            self.clients.take_up_at, self.clients.away = None, set()
            await asyncio.sleep(BETWEEN_ROUNDS_S)
            await asyncio.gather(*(self.servers.leave(address, DRAIN_S) for address in late
                                   if not self.servers.states[address].get("ended")))
        self._rounds_done.set()

    async def instance_out_of_step(self):
        await self.out_of_step(lambda case: [case.rng.choice(case.fleet.instances)])

    async def leader_out_of_step(self):
        await self.out_of_step(lambda case: [case.fleet.leader()])

    async def both_out_of_step(self):
        await self.out_of_step(
            lambda case: [case.fleet.leader(), case.rng.choice(case.fleet.instances)])

    async def members_out_of_step(self):
        await self.out_of_step(lambda case: [*case.rng.sample(case.fleet.members, 2),
                                             case.rng.choice(case.fleet.instances)])

    async def play(self):
        self._rounds_done = asyncio.Event()
        await self.start_with(self.servers,
                              more_routes=(stream_route(POOL, self._max_attempts),))
        self.clients.start()
        await asyncio.sleep(1.0)
        tasks = [asyncio.create_task(fault(self)) for fault in self.faults]
        await (self._rounds_done.wait() if self._rounds else asyncio.sleep(PLAY_S))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.clients.stop()
        await self.callers.stop()
        self.judge()

    def judge(self):
        streams = [stream for stream in self.clients.streams if stream.events]
        mixed = [stream for stream in streams if len(stream.versions()) > 1]
        within = sum(1 for stream in mixed if stream.joined_within)
        wrong = [stream.ident for stream in streams if stream.out_of_order()]
        short = [stream.ident for stream in streams if stream.cut_short()]
        self.check(not mixed, f"{len(mixed)} of {len(streams)} streams hold events of two versions, "
                              f"{within} of them within one response")
        self.check(not wrong, f"events missing or twice: {wrong}")
        self.check(not short, f"streams that look complete and aren't: {short}")
        begun, gone_on = self.clients.begun, self.clients.gone_on
        begin_share = begun[1] / max(1, begun[0])
        go_on_share = gone_on[1] / max(1, gone_on[0])
        if gone_on[0] >= COUNTED and self._records_outlive_faults:
            self.check(go_on_share >= GO_ON_SHARE * begin_share,
                       f"{gone_on[1]} of {gone_on[0]} take-ups went on, "
                       f"{begun[1]} of {begun[0]} new streams began")
        complete = sum(1 for stream in streams if stream.complete)
        print(f"case={self.name} streams={len(streams)} mixed={len(mixed)} within={within} "
              f"complete={complete} begun={begun} gone_on={gone_on} "
              f"refused={self.clients.statuses}", flush=True)

    async def stop(self):
        await self.stop_with(self.servers)


def out_of_step(fault, rounds=OUT_OF_STEP_ROUNDS):
    """Returns the options of a case in which servers of the second version join while processes
    stand still."""
    return {"faults": (fault,), "rounds": rounds, "versions": LATE_VERSIONS, "late_version": "v2",
            "take_up_s": AT_ONCE_S}


CASES = {
    "no-fault": {"faults": ()},
    "servers-end": {"faults": (Case.end_servers,)},
    "servers-change-version": {"faults": (Case.end_servers,), "change_version": True},
    "instances-killed": {"faults": (Case.kill_instances,)},
    "servers-end-instances-killed": {"faults": (Case.end_servers, Case.kill_instances)},
    "all-instances-killed": {"faults": (Case.kill_all_instances,), "take_up_s": LATE_TAKE_UP_S},
    "old-version-leaves": {"faults": (Case.old_version_leaves, Case.kill_all_instances),
                           "take_up_s": LATE_TAKE_UP_S},
    "old-version-leaves-leaders-killed": {
        "faults": (Case.old_version_leaves, Case.kill_all_instances, Case.kill_leaders),
        "take_up_s": LATE_TAKE_UP_S, "records_outlive_faults": False},
    "old-version-gone": {"faults": (Case.old_version_gone, Case.kill_all_instances),
                         "take_up_s": LATE_TAKE_UP_S},
    "old-version-gone-everything-killed": {
        "faults": (Case.old_version_gone, Case.kill_everything),
        "take_up_s": LATE_TAKE_UP_S, "records_outlive_faults": False},
    "old-version-replaced": {"faults": (Case.old_version_replaced, Case.kill_all_instances),
                             "take_up_s": LATE_TAKE_UP_S},
    "old-version-replaced-everything-killed": {
        "faults": (Case.old_version_replaced, Case.kill_everything),
        "take_up_s": LATE_TAKE_UP_S, "records_outlive_faults": False},
    "leaders-killed": {"faults": (Case.end_servers, Case.kill_instances, Case.kill_leaders)},
    "members-down": {"faults": (Case.end_servers, Case.stop_members)},
    "processes-paused": {"faults": (Case.end_servers, Case.pause_processes)},
    "few-servers-of-a-version": {"faults": (Case.kill_instances,), "versions": LONE_VERSION},
    "instance-out-of-step": out_of_step(Case.instance_out_of_step),
    "instance-out-of-step-short": out_of_step(Case.instance_out_of_step, SHORT_ROUNDS),
    "leader-out-of-step": out_of_step(Case.leader_out_of_step),
    "both-out-of-step": out_of_step(Case.both_out_of_step),
    "members-out-of-step": out_of_step(Case.members_out_of_step),
    "until-close": {"faults": (Case.end_servers,), "until_close": True},
    "all-together": {"faults": (Case.end_servers, Case.kill_instances, Case.kill_leaders,
                                Case.pause_processes), "change_version": True},
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
