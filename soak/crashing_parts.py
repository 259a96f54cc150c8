#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""A part of prompts that crashes each server which begins to write a response on it, with real
processes. No two of these requests are alike; sound requests share their caller and all other parts.

A crashed server starts again after some seconds as a new process at the same address. The checks
use what servers and clients observed. The schedule of requests is deterministic for a seed.

    soak/crashing_parts.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import random
import time

from cases import FleetCase, run_cases, wait_until
from ending_servers import EndingServers
from fleet import CALLERS_PORT
from stand_ins import FaultModel, call, read_message

SERVERS = 14
SOUND_PER_S = 60
FATAL_PER_S = 4
BURST = 24  # Fatal requests that are sent at once.
CRASHES = 5  # After these and CONTACT_S, at most LATE_MOST fatal requests may reach servers.
CONTACT_S = 3.0
LATE_MOST = 3
RESTART_S = (2.0, 4.0)  # How long a crashed server is down.
CRASH_AFTER_S = 0.05  # From the first byte of a response to the end of the server.
CALM_S = 2.0  # Time before the first fatal request.
PLAY_S = 14.0
MEMBERS_DOWN_S = 9.0
SERVED_SHARE = 0.8  # Of the share of sound requests served before.
FIRST_PART = "a0"  # Of all prompts.
TOPICS = 40  # Second parts; the first of them are the most frequent.
FATAL_PARTS = ("f1", "f2")


class PartServers(EndingServers):
    """Servers that end right after they began to write a response on a fatal part."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.reached = []  # Times at which fatal requests reached servers.
        self.crashed = []  # Times at which servers ended under them.

    async def _serve(self, reader, writer, state):
        while (message := await read_message(reader)) is not None:
            ident = message[1].get("x-attempt-id", "")
            parts = {part.split(":")[0]
                     for part in message[1].get("x-prefix-hash", "").split(",")}
            fatal = bool(parts.intersection(FATAL_PARTS))
            if fatal:
                self.reached.append(time.monotonic())
            await asyncio.sleep(self._work_s * state["speed"] * self._rng.uniform(0.8, 1.3))
            body = f"{self.version} {ident}"
            head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {ident}\r\nX-Response-Seal: s\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n")
            try:
                writer.write((head + (body[:2] if fatal else body)).encode())
                await writer.drain()
            except ConnectionError:
                return
            if fatal:
                await asyncio.sleep(CRASH_AFTER_S)
                if await self.end(state, self._rng.uniform(*RESTART_S)):
                    self.crashed.append(time.monotonic())
                return


class Prompts:
    """Makes the prompts of sound and fatal requests."""

    def __init__(self, seed):
        self._rng = random.Random(f"{seed}-prompts")
        self._number = 0

    def make(self, fatal_parts=()):
        """Returns the path and the header of one request. Some fatal ones have a topic besides."""
        self._number += 1
        topic = f"b{int(TOPICS * self._rng.random() ** 2):x}"
        middle = [topic] if not fatal_parts or self._rng.random() < 0.5 else []
        fatal = [self._rng.choice(fatal_parts)] if fatal_parts else []
        parts = [FIRST_PART, *middle, *fatal, f"c{self._number:x}"]
        return f"/look/{self._number}", "X-Prefix-Hash: " + ",".join(f"{p}:60" for p in parts)


class PromptClients:
    """Clients that send each request once, at a steady rate, through any instance that runs."""

    def __init__(self, instances, key, per_s, seed, prompts, fatal_parts=()):
        self._instances, self._key, self._per_s = instances, key, per_s
        self._prompts, self._fatal_parts = prompts, fatal_parts
        self._rng = random.Random(f"{seed}-{len(fatal_parts)}")
        self._open = set()
        self._task = None
        self.answers = []  # (time of sending, status)

    def start(self):
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        if self._task:
            self._task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    def send(self):
        task = asyncio.create_task(self._one())
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _run(self):
        while True:
            self.send()
            await asyncio.sleep(self._rng.expovariate(self._per_s))

    async def _one(self):
        running = [instance for instance in self._instances if instance.running()]
        path, parts = self._prompts.make(self._fatal_parts)
        sent = time.monotonic()
        status, _ = await call(
            self._rng.choice(running).address, CALLERS_PORT, "GET", path,
            fields=(f"X-Attempt-Id: p{path.replace('/', '')}", parts,
                    f"Authorization: Bearer {self._key}", "X-Deadline-Ms: 2000"), timeout=2.5)
        self.answers.append((sent, status))

    def share(self, begin, end):
        """Returns how many of the requests sent between two times were served, and of how many."""
        counted = [status for sent, status in self.answers if begin <= sent <= end]
        return sum(1 for status in counted if status == 200), len(counted)


class Case(FleetCase):
    """A fleet before servers that crash on parts of prompts."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, per_s=1)
        options = CASES[name]
        self.fault, self.parts, self.burst = options["fault"], options["parts"], options["burst"]
        self.in_touch_from = 0.0
        self.servers = PartServers(subnet, "v1", SERVERS, self.fleet.members, FaultModel(), seed)
        prompts = Prompts(seed)
        self.sound = PromptClients(self.fleet.instances, self.callers.key, SOUND_PER_S, seed,
                                   prompts)
        self.fatal = PromptClients(self.fleet.instances, self.callers.key, FATAL_PER_S, seed,
                                   prompts, self.parts)

    async def nothing_else(self):
        pass

    async def leader_killed(self):
        for crashes in (1, 3):
            await wait_until(lambda n=crashes: len(self.servers.crashed) >= n)
            await self.kill_leader()

    async def members_down(self):
        await wait_until(lambda: len(self.servers.crashed) >= 1)
        for member in self.fleet.members:
            member.kill()
        await asyncio.sleep(MEMBERS_DOWN_S)
        for member in self.fleet.members:
            member.start()
        self.in_touch_from = time.monotonic() + CONTACT_S  # Keys aren't accepted for so long.

    async def everything_restarts(self):
        await wait_until(lambda: len(self.servers.crashed) >= 3)
        await asyncio.sleep(CONTACT_S)
        for process in self.fleet.members + self.fleet.instances:
            process.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        for process in self.fleet.members + self.fleet.instances:
            process.start()

    async def instances_restart(self):
        for _ in range(6):
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            await self.restart_instance()

    async def servers_end(self):
        """Ends servers for reasons of their own: one by one, and half of them at once."""
        for turn in range(24):
            count = SERVERS // 2 if turn % 8 == 7 else 1
            for address in self.rng.sample(self.servers.addresses, count):
                await self.servers.end(self.servers.states[address], self.rng.uniform(0.5, 1.5))
            await asyncio.sleep(0.4)

    async def play(self):
        await self.start_with(self.servers)
        self.sound.start()
        await asyncio.sleep(CALM_S)
        self.begun = time.monotonic()
        if self.parts and self.burst:
            for _ in range(self.burst):
                self.fatal.send()
        if self.parts:
            self.fatal.start()
        task = asyncio.create_task(self.fault(self))
        await asyncio.sleep(PLAY_S)
        await task
        await self.fatal.stop()
        await self.sound.stop()
        await self.callers.stop()
        self.judge()

    def judge(self):
        crashed = sorted(self.servers.crashed)
        known = crashed[CRASHES - 1] if len(crashed) >= CRASHES else None
        late = sum(1 for when in self.servers.reached if known and when > known + CONTACT_S)
        self.check(late <= LATE_MOST, f"{late} fatal requests reached servers later than "
                                      f"{CONTACT_S} s after the fifth crash, {len(crashed)} crashes")
        last = (known or crashed[-1]) if crashed else self.begun - CONTACT_S
        before = self.sound.share(self.begun - CALM_S, self.begun)
        after = self.sound.share(max(last + 2 * CONTACT_S, self.in_touch_from), time.monotonic())
        share_before = before[0] / max(1, before[1])
        share_after = after[0] / max(1, after[1])
        if not self.name.startswith("everything"):
            self.check(share_after >= SERVED_SHARE * share_before,
                       f"sound requests served: {before} before, {after} from "
                       f"{2 * CONTACT_S} s after the fifth crash on")
        statuses = {}
        for _, status in self.sound.answers:
            statuses[status] = statuses.get(status, 0) + 1
        print(f"case={self.name} crashes={len(crashed)} late={late} before={before} after={after} "
              f"sound={statuses}", flush=True)

    async def stop(self):
        await self.stop_with(self.servers)


def _case(fault, parts=FATAL_PARTS[:1], burst=0):
    return {"fault": fault, "parts": parts, "burst": burst}


CASES = {
    "one-part": _case(Case.nothing_else),
    "two-parts": _case(Case.nothing_else, FATAL_PARTS),
    "burst": _case(Case.nothing_else, burst=BURST),
    "leader-killed": _case(Case.leader_killed),
    "members-down": _case(Case.members_down),
    "everything-restarts": _case(Case.everything_restarts),
    "instances-restart": _case(Case.instances_restart),
    "servers-end-besides": _case(Case.servers_end),
    "no-such-part": _case(Case.servers_end, ()),
}


if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
