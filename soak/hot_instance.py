#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Most new connections go to one instance for some seconds, then to another, with real processes:
its callers must be served as before, and the others lose nothing.

The checks use what clients observed. The schedule is deterministic for a seed.

    soak/hot_instance.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import random
import time

from cases import FleetCase, run_cases
from fleet import CALLERS_PORT
from stand_ins import FaultModel, Servers, read_message, write_request

SERVERS = 14
INSTANCES = 6
PER_S = 240
HERD_PER_S = 400  # Clients open connections more often meanwhile.
HERD = 120  # Connections that are opened at once when the herd moves on.
HOT_SHARE = 0.85  # Of new connections.
HOT_S = 4.0  # Time until the herd moves on.
MOVES = 2
CALM_S = 3.0
CONTACT_S = 3.0
SERVED_SHARE = 0.75  # Of the share served before.
MEMBERS_DOWN_S = 3.5  # Keys are accepted for longer without members.
KEPT_S = 1.0  # How long a client keeps its connection open after the response.


class HerdClients:
    """Clients that open a connection for each request and keep it open for a while."""

    def __init__(self, instances, key, seed):
        self._instances, self._key = instances, key
        self._rng = random.Random(f"{seed}-herd")
        self._open = set()
        self._task = None
        self.hot = None  # Number of the instance that gets most new connections.
        self.answers = []  # (time of sending, number of the instance, status)

    def start(self):
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    def move_to(self, instance):
        self.hot = instance
        if instance is not None:
            for _ in range(HERD):
                self._send(instance)

    async def _run(self):
        while True:
            hot = self.hot
            crowd = hot is not None and self._rng.random() < HOT_SHARE
            self._send(hot if crowd else self._rng.randrange(len(self._instances)))
            await asyncio.sleep(self._rng.expovariate(PER_S if hot is None else HERD_PER_S))

    def _send(self, instance):
        task = asyncio.create_task(self._one(instance))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _one(self, instance):
        sent, status, writer = time.monotonic(), 0, None
        ident = f"h{len(self.answers)}-{self._rng.randrange(1 << 30)}"
        try:
            async with asyncio.timeout(2.5):
                reader, writer = await asyncio.open_connection(
                    self._instances[instance].address, CALLERS_PORT)
                write_request(writer, "GET", f"/look/{ident}", "",
                              (f"X-Attempt-Id: {ident}", f"Authorization: Bearer {self._key}",
                               "X-Deadline-Ms: 2000"))
                message = await read_message(reader)
            status = int(message[0].split()[1]) if message else 0
        except (OSError, TimeoutError):
            pass  # Counted as not served.
        self.answers.append((sent, instance, status))
        await asyncio.sleep(KEPT_S)
        if writer:
            writer.close()

    def share(self, begin, end, instances):
        """Returns how many requests of a time to some instances were served, and of how many."""
        counted = [status for sent, instance, status in self.answers
                   if begin <= sent < end and instance in instances]
        return sum(1 for status in counted if status == 200), len(counted)


class Case(FleetCase):
    """A fleet of which one instance gets most new connections."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, per_s=1, instances=INSTANCES)
        self.servers = Servers(subnet, "v1", SERVERS, self.fleet.members, FaultModel(), seed)
        self.herd = HerdClients(self.fleet.instances, self.callers.key, seed)
        self.fault = CASES[name]

    async def nothing_else(self):
        pass

    async def leader_killed(self):
        await asyncio.sleep(HOT_S / 2)
        await self.kill_leader()

    async def members_down(self):
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(MEMBERS_DOWN_S)
        for member in self.fleet.members:
            member.start()

    async def others_restart(self):
        for _ in range(3):
            await asyncio.sleep(1.5)
            number = self.rng.choice([n for n in range(INSTANCES) if n != self.herd.hot])
            process = self.fleet.instances[number]
            process.kill()
            process.start()

    async def play(self):
        await self.start_with(self.servers)
        self.herd.start()
        begun = time.monotonic()
        await asyncio.sleep(CALM_S)
        calm_until = time.monotonic()
        task = asyncio.create_task(self.fault(self))
        spans = []
        for number in self.rng.sample(range(INSTANCES), MOVES):
            self.herd.move_to(number)
            spans.append((time.monotonic(), number))
            await asyncio.sleep(HOT_S)
        end = time.monotonic()
        self.herd.move_to(None)
        await task
        await self.herd.stop()
        await self.callers.stop()
        self.judge((begun, calm_until), spans, end)

    def judge(self, calm, spans, end):
        everywhere = range(INSTANCES)
        before = self.herd.share(*calm, everywhere)
        hot = self.herd.share(spans[0][0] + CONTACT_S, end, everywhere)
        at_hot = [self.herd.share(begin, begin + HOT_S, (number,)) for begin, number in spans]
        share_before = before[0] / max(1, before[1])
        self.check(hot[0] / max(1, hot[1]) >= SERVED_SHARE * share_before,
                   f"served at the first attempt: {before} before, {hot} from {CONTACT_S} s on")
        print(f"case={self.name} before={before} from_contact_on={hot} at_the_hot_ones={at_hot}",
              flush=True)

    async def stop(self):
        await self.stop_with(self.servers)


CASES = {
    "no-fault": Case.nothing_else,
    "leader-killed": Case.leader_killed,
    "members-down": Case.members_down,
    "others-restart": Case.others_restart,
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
