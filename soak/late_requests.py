#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Requests that come late in a planned stop, with real processes: on connections that clients
opened before it and keep using until the process is gone.

Whatever an instance takes and passes on must be able to end before the platform kills the process:
with long, short and missing deadlines, bodies that arrive slowly, servers that take long, and a route
whose time limit is longer than the grace. The checks use what clients and servers saw.

    soak/late_requests.py --program build/poppywayd [--seed N] [--case NAME ...]
"""

import asyncio
import time

from cases import KEY, POOL, FleetCase, run_cases, wait_until
from fleet import CALLERS_PORT
from stand_ins import FaultModel, Servers, read_message

PER_S = 30
SERVERS = 12
GRACE_S = 8.0  # As in the settings: the platform kills a process that still runs then.
EVERY_S = 0.06  # Between two late requests.
SLOW_BODY_S = (0.2, 2.5)  # From a request's head to the rest of its body.
BODY = "b" * 2000
# The time limits of this route are longer than the grace.
LONG_ROUTE = {"name": "long", "host": "a.example", "path_prefix": "/long/", "route_kind": "unsafe",
              "timeout_ms": 20000, "slo_ms": 3000, "priority": 0, "service": POOL,
              "max_attempts": 1, "anonymous": False}
DEADLINES_MS = (None, 600, 2000, 5000, 15000)


class Case(FleetCase):
    """A fleet whose instances stop one after the other."""

    def __init__(self, program, name, subnet, seed):
        super().__init__(program, name, subnet, seed, PER_S)
        work_s, self.slow_bodies = CASES[name]
        self.servers = Servers(subnet, "v1", SERVERS, self.fleet.members, FaultModel(), seed, work_s)
        self.statuses = {}  # Request id to status; 0: no whole answer.
        self.sent = {}  # Request id to the time after the stop signal.

    async def send(self, ident, reader, writer):
        """Sends one request on an open connection, its body at once or late."""
        deadline = self.rng.choice(DEADLINES_MS)
        path = self.rng.choice(("/long/x", "/book/x"))
        lines = [f"POST {path} HTTP/1.1", "Host: a.example", f"Content-Length: {len(BODY)}",
                 f"X-Attempt-Id: {ident}", f"Authorization: Bearer {KEY}"]
        if deadline:
            lines.append(f"X-Deadline-Ms: {deadline}")
        pause = self.rng.uniform(*SLOW_BODY_S) if self.slow_bodies else 0.0
        status = 0
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n" + BODY[:1000]).encode())
            await asyncio.sleep(pause)
            writer.write(BODY[1000:].encode())
            async with asyncio.timeout(GRACE_S + 2):
                message = await read_message(reader)
            if message is not None:
                status = int(message[0].split()[1])
        except (OSError, TimeoutError, ValueError):
            pass  # The process has ended.
        self.statuses[ident] = status
        writer.close()

    async def stop_instance(self, number):
        """Stops an instance and sends requests on connections from before, until it is gone."""
        instance = self.fleet.instances[number]
        count = round(GRACE_S / EVERY_S)
        connections = [await asyncio.open_connection(instance.address, CALLERS_PORT)
                       for _ in range(count)]
        self.callers.only_kept(number)
        begun = time.monotonic()
        instance.terminate()
        requests = []
        for i, (reader, writer) in enumerate(connections):
            await asyncio.sleep(max(0.0, begun + i * EVERY_S - time.monotonic()))
            if not instance.running():
                writer.close()
                continue
            ident = f"late-{number}-{i}"
            self.sent[ident] = time.monotonic() - begun
            requests.append(asyncio.create_task(self.send(ident, reader, writer)))
        await wait_until(lambda: not instance.running(),
                         max(0.0, begun + GRACE_S - time.monotonic()))
        instance.kill()
        await asyncio.gather(*requests)
        instance.start()
        await asyncio.sleep(1.5)
        self.callers.use_again(number)

    async def play(self):
        await self.start_with(self.servers, more_routes=(LONG_ROUTE,))
        for number in range(len(self.fleet.instances)):
            await self.stop_instance(number)
        await self.callers.stop()
        ran = [ident for ident in self.statuses if ident in self.servers.runs]
        lost = [(ident, round(self.sent[ident], 2)) for ident in ran if self.statuses[ident] == 0]
        false = [ident for ident in ran if self.statuses[ident] in (429, 503)]
        self.check(not lost, f"{len(lost)} of {len(ran)} requests that a server ran got no answer, "
                             f"sent (s after the signal): {lost[:8]}")
        self.check(not false, f"requests said not to have run that ran: {false[:5]}")
        twice = [ident for ident in ran if len(self.servers.runs[ident]) > 1]
        self.check(not twice, f"requests that ran twice: {twice[:5]}")
        outcomes = {}
        for status in self.statuses.values():
            outcomes[status] = outcomes.get(status, 0) + 1
        print(f"case={self.name} late={outcomes} ran={len(ran)} others={self.callers.outcomes}",
              flush=True)

    async def stop(self):
        await self.stop_with(self.servers)


CASES = {  # Processing time of the servers, and whether bodies arrive slowly.
    "short-work": (0.1, False),
    "long-work": (1.5, False),
    "slow-bodies": (0.5, True),
    "longer-than-the-grace": (9.0, False),
}

if __name__ == "__main__":
    run_cases(Case, CASES, __doc__)
