# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""A heartbeat that a cut delayed arrives after its sender has crashed and its successor at the same
address has registered. Then all processes are killed and start again."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from harness import (BOUNDS, CONTROL_PORT, FRONT_PORT, HEARTBEAT_S, SERVER_PORT, ZONES, CannotRun,
                     Operator, call, document, read_message, route, run, wait_until_ready,
                     with_trouble)
import json

SERVICE = "examen-app"
SERVERS = 4
SLOTS = 6
COLD_S = 1.0  # A server is cold for this long after its start.
CUT_S = 5.0
LATE_S = 2.0  # Bytes that the cut held up arrive this long after it has healed.
KEY = "k4tz81m0qd7x"
PER_S = 30.0  # Requests a second.


class Link:
    """The link between one server and the members: a proxy, which a cut makes hold all bytes."""

    def __init__(self, fleet, number, record):
        self._fleet, self._number, self._record = fleet, number, record
        self.address = f"127.{fleet.subnet}.3.{number + 1}"
        self.cut = False
        self._healed = asyncio.Event()
        self._healed.set()
        self._listeners = []
        self._tasks = set()

    async def start(self):
        for i, member in enumerate(self._fleet.members):
            handler = lambda r, w, m=member: self._relay(r, w, m)
            self._listeners.append(
                await asyncio.start_server(handler, self.address, 9000 + i))

    def begin_cut(self):
        self.cut = True
        self._healed.clear()

    def heal(self):
        self.cut = False
        self._healed.set()

    async def _relay(self, reader, writer, member):
        try:
            up_reader, up_writer = await asyncio.open_connection(member.address, CONTROL_PORT)
        except (OSError, asyncio.CancelledError):
            writer.close()
            return
        back = asyncio.create_task(self._copy(up_reader, writer))
        self._tasks.add(back)
        await self._copy(reader, up_writer)
        self._tasks.discard(back)

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.cut:
                    await self._healed.wait()
                    await asyncio.sleep(LATE_S)  # Sent again, after growing pauses.
                    self._record.write(f"link {self._number}: {len(data)} delayed bytes arrive: "
                                       f"{data[:60]!r}")
                writer.write(data)
                await writer.drain()
            await asyncio.sleep(0.2)
        except (OSError, asyncio.CancelledError):
            pass  # An end closed its connection, or the case is over.
        writer.close()


class Server:
    """One incarnation of a backend server."""

    def __init__(self, place, link, record, runs):
        self.id = f"i-{random.getrandbits(40):010x}"
        self._place, self._link, self._record, self._runs = place, link, record, runs
        self._begun = time.monotonic()
        self._sequence = 0
        self._writers = set()
        self._control = None  # The kept connection to a daemon.
        self.acknowledged = []  # Times of acknowledged heartbeats.

    async def start(self):
        self._listener = await asyncio.start_server(self._serve, self._place, SERVER_PORT)
        self._task = asyncio.create_task(self._send_heartbeats())
        self._record.write(f"server {self.id} starts at {self._place}")
        return self

    def crash(self):
        self._record.write(f"server {self.id} crashes")
        self._task.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        if self._control:
            self._control[1].close()  # The kernel goes on with what was written.

    async def _send_heartbeats(self):
        while True:
            begun = time.monotonic()
            self._sequence += 1
            cold_ms = max(0, int(1000 * (self._begun + COLD_S - begun)))
            body = json.dumps({
                "service": SERVICE, "address": f"{self._place}:{SERVER_PORT}", "zone": ZONES[0],
                "version": "v1", "slots": SLOTS, "state": "ready", "cold_left_ms": cold_ms,
                "sequence": self._sequence})
            await self._send(body, cold_ms)
            await asyncio.sleep(max(0.0, begun + HEARTBEAT_S - time.monotonic()))

    async def _send(self, body, cold_ms):
        order = list(range(5))
        random.shuffle(order)
        for member in order:
            status = await self._try(member, body)
            self._record.write(f"server {self.id}: heartbeat {self._sequence} "
                               f"(cold_left_ms {cold_ms}) to core: {status or 'no answer'}")
            if status == 200:
                self.acknowledged.append(time.monotonic())
                return

    async def _try(self, member, body):
        """Sends a heartbeat on the kept connection, or on a new one."""
        try:
            async with asyncio.timeout(1.0):
                if self._control is None and self._link.cut:
                    await asyncio.sleep(HEARTBEAT_S)  # The opening packet is lost.
                if self._control is None:
                    self._control = await asyncio.open_connection(self._link.address,
                                                                  9000 + member)
                reader, writer = self._control
                writer.write((f"PUT /-/instances/{self.id} HTTP/1.1\r\nHost: control\r\n"
                              f"Content-Type: application/json\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
                message = await read_message(reader)
            if message is not None:
                return int(message[0].split()[1])
        except (OSError, TimeoutError):
            pass
        if self._control:
            self._control[1].close()
        self._control = None
        return 0

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self._answer(writer, message[1])
        except (ConnectionError, asyncio.CancelledError):
            pass  # The gateway left, or this server has crashed.
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, writer, fields):
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance") != self.id:
            self._record.write(f"server {self.id}: declines {attempt} for "
                               f"{fields.get('x-expect-instance')} (421)")
            writer.write((f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {attempt}\r\n"
                          f"X-Instance-Id: {self.id}\r\nX-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n").encode())
            return
        self._runs.append((time.monotonic(), attempt))
        self._record.write(f"server {self.id}: runs {attempt}")
        await asyncio.sleep(0.015)
        body = f"{attempt} was run"
        writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
                      f"X-Response-Seal: s.{self.id}\r\nX-Server-Load: 1,0,{SLOTS}\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        await writer.drain()


class Clients:
    """Send repeatable requests to random gateways, each again once after a refusal."""

    def __init__(self, fleet, record):
        self._fleet, self._record = fleet, record
        self._random = random.Random(7)
        self._number = 0
        self.results = []  # (time of the first attempt, served)
        self._open = set()

    def start(self):
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _run(self):
        while True:
            task = asyncio.create_task(self._request())
            self._open.add(task)
            task.add_done_callback(self._open.discard)
            await asyncio.sleep(self._random.expovariate(PER_S))

    async def _request(self):
        sent = time.monotonic()
        deadline = sent + 1.0
        served = False
        for _ in range(2):
            left = deadline - time.monotonic()
            if left <= 0.02:
                break
            self._number += 1
            attempt = f"a{self._number:06d}"
            gateway = self._random.choice(self._fleet.gateways)
            self._record.write(f"client: {attempt} is sent to {gateway.name}")
            answer = await call(
                gateway.address, FRONT_PORT, "GET", "/uitslag/1", "",
                ["Host: exam.example", f"X-Attempt-Id: {attempt}",
                 f"X-Deadline-Ms: {int(1000 * left)}", f"Authorization: Bearer {KEY}"], left)
            served = answer.status == 200 and "x-response-seal" in answer.fields
            self._record.write(f"client: {attempt} to {gateway.name}: "
                               f"{answer.status or 'no answer'} {answer.body[:60]!r}")
            if served:
                break
            wait = float(answer.fields.get("retry-after", 0))
            await asyncio.sleep(min(wait, max(0.0, (deadline - time.monotonic()) / 3)))
        self.results.append((sent, served))

    def share(self, begin, end):
        """Returns how many requests were sent in that time, and the share of them served."""
        found = [served for sent, served in self.results if begin <= sent < end]
        return len(found), sum(found) / max(1, len(found))


async def main(record, fleet):
    trouble = with_trouble()
    operator = Operator(fleet, record)
    tenants = [{"name": "school", "api_keys": [KEY], "priority": 0}]
    routes = [route("uitslag", "safe", SERVICE)]
    fleet.start(bootstrap=True)
    await operator.put(document(3, routes, [SERVICE], tenants))
    runs, servers, links = [], [], []
    for i in range(SERVERS):
        links.append(Link(fleet, i, record))
        await links[i].start()
        place = f"127.{fleet.subnet}.2.{i + 1}"
        servers.append(await Server(place, links[i], record, runs).start())
    await wait_until_ready(fleet)
    await asyncio.sleep(2 * HEARTBEAT_S)
    clients = Clients(fleet, record)
    clients.start()
    begun = time.monotonic()
    await asyncio.sleep(3.0)
    for i in range(SERVERS):
        place = f"127.{fleet.subnet}.2.{i + 1}"
        # The server is replaced: a new incarnation, cold at first, registers.
        servers[i].crash()
        await asyncio.sleep(0.3)
        servers[i] = await Server(place, links[i], record, runs).start()
        while not servers[i].acknowledged:
            await asyncio.sleep(0.02)
        if trouble:
            record.write(f"link {i}: cut from all members")
            links[i].begin_cut()
        await asyncio.sleep(HEARTBEAT_S + 0.3)  # Its next heartbeat is on its way.
        servers[i].crash()
        await asyncio.sleep(0.5)
        servers[i] = await Server(place, links[i], record, runs).start()
        await asyncio.sleep(CUT_S - HEARTBEAT_S - 0.8)
        if trouble:
            record.write(f"link {i}: healed")
            links[i].heal()
        await asyncio.sleep(LATE_S + 1.0)
    before = clients.share(begun, time.monotonic())
    # The final fault: all processes are killed right after a configuration was acknowledged.
    await operator.put(document(8, routes, [SERVICE], tenants))
    record.write("all processes are killed")
    fleet.kill()
    await asyncio.sleep(0.7)
    fleet.start()
    back = time.monotonic()
    record.write("all processes are back")
    await asyncio.sleep(BOUNDS["recover_s"] + 8.0)
    await clients.stop()
    if any(not machine.running() for machine in fleet.machines()):
        raise CannotRun("a process of the system ended by itself")
    acked = [sum(1 for when in server.acknowledged if when > back) for server in servers]
    after = clients.share(back + BOUNDS["recover_s"], time.monotonic() - 1.5)
    record.say(f"before the final fault: {before[0]} requests, {100 * before[1]:.1f} % served")
    record.say(f"later than recover_s after it: {after[0]} requests, {100 * after[1]:.1f} % served")
    record.say(f"heartbeats of the {SERVERS} running servers acknowledged since then: {acked}")
    if before[1] < 0.25 or min(acked) == 0:
        raise CannotRun("the rule doesn't apply")
    return after[1] >= 0.25


run(main, FOLDER)
