# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Fake servers of several software versions that write streams, and clients that take broken
streams up again at another instance."""

import asyncio
import random
import socket
import struct
import time

from ending_servers import EndingServers
from fleet import CALLERS_PORT, CONTROL_PORT
from stand_ins import call, read_message, write_request

EVENTS = 12  # Events of a stream.
EVENT_S = 0.06  # Time between two events.
TAKE_UPS = 3  # Most times that a client takes a stream up again.
DEADLINE_S = 6.0
SILENCE_S = 2.5  # A client leaves a stream after this time without an event.
TAKE_UP_S = (0.05, 0.4)  # Time until a client takes a broken stream up again.


class StreamServers(EndingServers):
    """Servers of several versions. `versions`: those of the servers in order, repeated."""

    def __init__(self, subnet, versions, count, members, fault_model, seed, until_close=False):
        super().__init__(subnet, "mixed", count, members, fault_model, seed, block=2)
        self.versions = {address: versions[i % len(versions)]
                         for i, address in enumerate(self.addresses)}
        self._all_versions = versions
        self._until_close = until_close  # Streams end with their connection.
        self.change_version = False  # A server that ends comes back as another version.
        self.versions_after_restart = {}  # Address to the version as which the next one starts.
        self.late_version = None  # The version whose servers don't start with the others.

    async def start(self, pool):
        self._pool = pool
        for address in self.addresses:
            if self.versions[address] != self.late_version:
                await self.start_one(address)

    def late_addresses(self):
        """Returns the addresses of the servers that start later."""
        return [address for address in self.addresses
                if self.versions[address] == self.late_version]

    def end_for_good(self, address):
        """Ends a server at once, as a crashed process."""
        state = self.states[address]
        state["ended"] = True
        state["heartbeats"].cancel()
        state["listener"].close()
        for writer in list(self._open[address]):
            self.break_off(writer)

    def version_of(self, address):
        return self.versions[address]

    def before_restart(self, address):
        if self.change_version:
            others = [v for v in self._all_versions if v != self.versions[address]]
            self.versions[address] = self._rng.choice(others)
        self.versions[address] = self.versions_after_restart.pop(address, self.versions[address])

    def stage_of(self, address):
        return "draining" if self.states[address].get("draining") else "ready"

    async def leave(self, address, drain_s):
        """Ends a server as a platform does: it says that it drains, serves on for a while, removes
        itself and is gone for good."""
        state = self.states[address]
        state["draining"] = True
        await asyncio.sleep(drain_s)
        state["ended"] = True
        state["heartbeats"].cancel()
        state["listener"].close()
        for member in self._members:
            status, _ = await call(member.address, CONTROL_PORT, "DELETE",
                                   f"/-/instances/{state['id']}", timeout=1.0)
            if status == 200:
                break
        for writer in list(self._open[address]):
            self.break_off(writer)

    def break_off(self, writer):
        """A response without a stated length would look complete if its connection were closed in
        order between two events: it ends within an event, or with a reset."""
        if self._until_close and self._rng.random() < 0.5:
            writer.write(b"id: 1\nda")
            writer.close()
            return
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def running_of(self, version):
        """Returns how many servers of a version run now."""
        return sum(1 for address in self.running() if self.versions[address] == version)

    async def _serve(self, reader, writer, state):
        version = self.versions[state["address"]]
        while (message := await read_message(reader)) is not None:
            fields = message[1]
            ident = fields.get("x-attempt-id", "")
            expected = fields.get("x-expect-instance", state["id"])
            if expected != state["id"]:
                writer.write((f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {ident}\r\n"
                              f"X-Instance-Id: {state['id']}\r\n"
                              "Content-Length: 0\r\n\r\n").encode())
                continue
            self.runs.setdefault(ident, []).append(time.monotonic())
            if not await self._write_stream(writer, version, ident,
                                            int(fields.get("last-event-id", 0)) + 1):
                break

    async def _write_stream(self, writer, version, ident, first):
        """Writes all events from `first` on. Returns False if the connection is over."""
        framing = "" if self._until_close else "Transfer-Encoding: chunked\r\n"
        try:
            writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {ident}\r\n"
                          f"X-Response-Seal: {version}\r\nContent-Type: text/event-stream\r\n"
                          f"{framing}\r\n").encode())
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(EVENT_S * self._rng.uniform(0.7, 1.3))
                event = f"id: {number}\ndata: {version}\n\n"
                if not self._until_close:
                    event = f"{len(event):x}\r\n{event}\r\n"
                writer.write(event.encode())
                await writer.drain()
            if not self._until_close:
                writer.write(b"0\r\n\r\n")
            return not self._until_close
        except ConnectionError:
            return False


class Stream:
    """What one client has of one stream."""

    def __init__(self, ident):
        self.ident = ident
        self.events = []  # (event id, version)
        self.complete = False
        self.first_attempt = None  # The attempt that brought the first event.
        self.joined_within = False  # Two versions in the response to one attempt.

    def versions(self):
        return {version for _, version in self.events}

    def out_of_order(self):
        return [number for number, _ in self.events] != list(range(1, len(self.events) + 1))

    def cut_short(self):
        """Returns True if the stream looks complete and isn't."""
        return self.complete and len(self.events) < EVENTS


class StreamClients:
    """Clients that start streams at a steady rate and take broken ones up at other instances."""

    def __init__(self, instances, key, per_s, seed, servers, in_touch, take_up_s=TAKE_UP_S):
        """`in_touch`: returns False while the members are lost, and shortly after. `take_up_s`: the
        shortest and longest time until a client takes a broken stream up again."""
        self._take_up_s = take_up_s
        self._in_touch = in_touch
        self._instances, self._key, self._per_s = instances, key, per_s
        self._servers = servers
        self._rng = random.Random(f"{seed}-streams")
        self._open = set()
        self._task = None
        self.streams = []
        self.begun = [0, 0]  # First attempts at instances that run: all, those with an event.
        self.gone_on = [0, 0]  # The same of attempts that take a stream up.
        self.statuses = {}  # Status of a take-up without an event to the number of them.
        self.away = set()  # Instances that get nothing new.
        self.take_up_at = None  # The only instance at which streams are taken up; None: any.

    def start(self):
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _run(self):
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(self._one(Stream(f"s{number}")))
            self._open.add(task)
            task.add_done_callback(self._open.discard)
            await asyncio.sleep(self._rng.expovariate(self._per_s))

    async def _one(self, stream):
        self.streams.append(stream)
        instance = self._rng.choice([i for i in self._instances if i not in self.away])
        end = time.monotonic() + DEADLINE_S
        for attempt in range(TAKE_UPS + 1):
            taken_up = bool(stream.events)
            version = stream.events[0][1] if taken_up else None
            counted = (instance.running() and self._in_touch() and
                       (not taken_up or self._servers.running_of(version) >= 2))
            before = len(stream.events)
            status = await self._attempt(stream, f"{stream.ident}-{attempt}", instance, end)
            if counted and (taken_up or attempt == 0) and instance.running():
                share = self.gone_on if taken_up else self.begun
                share[0] += 1
                share[1] += len(stream.events) > before
                if taken_up and len(stream.events) == before:
                    self.statuses[status] = self.statuses.get(status, 0) + 1
            if stream.complete or time.monotonic() > end:
                return
            await asyncio.sleep(self._rng.uniform(*self._take_up_s))
            instance = self.take_up_at or self._rng.choice(
                [i for i in self._instances if i is not instance and i not in self.away])

    async def _attempt(self, stream, ident, instance, end):
        """Makes one attempt. Returns its status; 0: no response head."""
        left_ms = max(1, int((end - time.monotonic()) * 1000))
        fields = [f"X-Attempt-Id: {ident}", f"Authorization: Bearer {self._key}",
                  f"X-Deadline-Ms: {left_ms}"]
        if stream.events:
            fields += [f"Last-Event-Id: {stream.events[-1][0]}",
                       f"Resumes: {stream.first_attempt}"]
        writer, status = None, 0
        before = len(stream.events)
        try:
            reader, writer = await asyncio.open_connection(instance.address, CALLERS_PORT)
            # Requests that are alike are held back together when servers crash while they run them.
            write_request(writer, "POST", f"/tell/{stream.ident}", "", fields)
            async with asyncio.timeout(SILENCE_S):
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split()[1])
            if status == 200:
                await self._read_events(stream, ident, reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass  # The stream is broken off: the client takes it up again.
        finally:
            if writer:
                writer.close()
        stream.joined_within |= len({version for _, version in stream.events[before:]}) > 1
        return status

    async def _read_events(self, stream, ident, reader):
        pending = ""
        while True:
            async with asyncio.timeout(SILENCE_S):
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                pending += (await reader.readexactly(size + 2)).decode()[:-2]
            if size == 0:
                stream.complete = pending == ""
                return
            while "\n\n" in pending:
                event, pending = pending.split("\n\n", 1)
                number, version = (line.split(": ")[1] for line in event.split("\n"))
                if not stream.events:
                    stream.first_attempt = ident
                stream.events.append((int(number), version))
