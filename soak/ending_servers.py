# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Fake backend servers that end at once, as a crashed process does, and start again as new
processes at the same address."""

import asyncio

from stand_ins import Servers


class EndingServers(Servers):
    """Servers that can be ended one by one. Each start is a process with an id of its own."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._open = {address: set() for address in self.addresses}  # Open connections.
        self._processes = 0

    async def start(self, pool):
        self._pool = pool
        for address in self.addresses:
            await self.start_one(address)

    async def start_one(self, address):
        self._processes += 1
        ident = f"{self._names}-{self._processes}"
        state = {"running": 0, "speed": self._rng.uniform(0.8, 1.25), "address": address,
                 "id": ident}
        handler = lambda r, w, s=state: self._serve_until_end(r, w, s)
        state["listener"] = await asyncio.start_server(handler, address, 8080)
        self._listeners.append(state["listener"])
        state["heartbeats"] = asyncio.create_task(
            self._send_heartbeats(ident, address, self._pool))
        self._tasks.append(state["heartbeats"])
        self.states[address] = state

    async def end(self, state, down_s):
        """Ends the server at once and starts it again after `down_s` seconds. Returns False if it
        has ended already."""
        if state.get("ended"):
            return False
        state["ended"] = True
        state["heartbeats"].cancel()
        state["listener"].close()
        for writer in list(self._open[state["address"]]):
            self.break_off(writer)
        self._tasks.append(asyncio.create_task(self._restart(state["address"], down_s)))
        return True

    async def _restart(self, address, down_s):
        await asyncio.sleep(down_s)
        self.before_restart(address)
        await self.start_one(address)

    def break_off(self, writer):
        """Ends a connection of a server that ends."""
        writer.transport.abort()

    def before_restart(self, address):
        """Called between the end of a server and its next start."""

    def running(self):
        """Returns the addresses of the servers that run now."""
        return [address for address, state in self.states.items() if not state.get("ended")]

    async def _serve_until_end(self, reader, writer, state):
        writers = self._open[state["address"]]
        writers.add(writer)
        try:
            await self._serve(reader, writer, state)
        finally:
            writers.discard(writer)
            writer.close()
