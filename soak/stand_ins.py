# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Fakes of what surrounds a hosted deployment: backend servers, clients and an operator."""

import asyncio
import json
import random
import time

from fleet import CALLERS_PORT, CONTROL_PORT


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, headers and body, or None if the connection
    ends."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        return None  # The peer or this process ended the connection.
    return head[0], fields, body


def write_request(writer, method, path, body, fields):
    lines = [f"{method} {path} HTTP/1.1", "Host: a.example", f"Content-Length: {len(body)}", *fields]
    writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())


async def call(address, port, method, path, body="", fields=(), timeout=2.0):
    """Sends one request on a new connection. Returns status and body; the status is 0 without a
    complete response within `timeout` seconds."""
    connections = Connections(address, port)
    try:
        return await connections.call(method, path, body, fields, timeout)
    finally:
        connections.close()


class Connections:
    """Pool of keep-alive connections to one address; a connection is reused until the peer closes
    it."""

    def __init__(self, address, port):
        self._address, self._port = address, port
        self._idle = []

    async def call(self, method, path, body="", fields=(), timeout=2.0):
        """Sends one request. Returns status and body; the status is 0 without a complete response
        within `timeout` seconds."""
        reader, writer = None, None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = self._take() or await asyncio.open_connection(
                    self._address, self._port)
                write_request(writer, method, path, body, fields)
                message = await read_message(reader)
            if message is None:
                return 0, b""
            status, answer = int(message[0].split()[1]), message[2]
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, b""
        else:
            if message[1].get("connection") != "close":
                self._idle.append((reader, writer))
                writer = None
            return status, answer
        finally:
            if writer:
                writer.close()

    def idle(self):
        """Returns the connections that no request uses, as pairs of reader and writer."""
        return [(reader, writer) for reader, writer in self._idle
                if not reader.at_eof() and not writer.is_closing()]

    def close(self):
        for _, writer in self._idle:
            writer.close()
        self._idle = []

    def _take(self):
        """Takes an idle open connection from the pool. Returns None if there is none."""
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return None


class FaultModel:
    """How a version is faulty.

    `share`: share of the requests that are affected. `fails`: share of those that get status 500.
    `slow`: factor of their processing time. `from_s`: seconds after the start of the servers before
    which no request is affected. `route`: the only affected route. `above`: number of concurrent
    requests of a server above which requests are affected. `on_demand`: the version is good until
    turn_bad() is called.
    """

    def __init__(self, fails=0.0, slow=1.0, share=1.0, from_s=0.0, route=None, above=0,
                 on_demand=False):
        self.fails, self.slow, self.share = fails, slow, share
        self.from_s, self.route, self.above = from_s, route, above
        self.on_demand = on_demand

    def affects(self, since, path, running, rng):
        return (since >= self.from_s and (self.route is None or path.startswith(f"/{self.route}/"))
                and running > self.above and rng.random() < self.share)


class Servers:
    """Backend servers of one version; each sends heartbeats of its own."""

    def __init__(self, subnet, version, count, members, fault_model, seed, work_s=0.02, zone="east",
                 block=None):
        """`work_s`: processing time of a request. `block`: third number of the addresses; the
        default depends on the version."""
        self.version = version
        self.zone = zone
        self.runs = {}  # Request id to the times at which it ran.
        self.bad = []  # Times of the bad responses.
        self.begun = time.monotonic()
        if block is None:
            block = 2 if version == "v1" else 3
        self._names = f"i-{version}" if zone == "east" else f"i-{zone}-{version}"
        self.addresses = [f"127.{subnet}.{block}.{i + 1}" for i in range(count)]
        self._members = members
        self._fault_model = fault_model
        self._work_s = work_s
        self._faults_enabled = not fault_model.on_demand
        self._rng = random.Random(f"{seed}-{version}")
        self._stage = "ready"
        self._tasks = []
        self._listeners = []
        self.states = {}  # Address to the state of the server.

    async def start(self, pool):
        self.begun = time.monotonic()
        for i, address in enumerate(self.addresses):
            state = {"running": 0, "speed": self._rng.uniform(0.8, 1.25), "address": address}
            self.states[address] = state
            handler = lambda r, w, s=state: self._serve(r, w, s)
            self._listeners.append(await asyncio.start_server(handler, address, 8080))
            name = f"{self._names}-{i}"
            self._tasks.append(asyncio.create_task(self._send_heartbeats(name, address, pool)))

    async def stop(self):
        """Stops the servers at once, as a platform does, without closing connections in order."""
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners:
            listener.close()

    def judge(self, _address, _ident, _now):
        """Returns additional headers of a response, and whether the request is rejected."""
        return [], False

    def stage_of(self, _address):
        """Returns the stage that a server reports in its heartbeats."""
        return self._stage

    def version_of(self, _address):
        """Returns the software version that a server reports in its heartbeats."""
        return self.version

    def judge_path(self, _path, _state):
        """Returns True for a request that gets no response."""
        return False

    def work_of(self, _path, state):
        """Returns the processing time of a request in seconds."""
        return self._work_s * state["speed"] * self._rng.uniform(0.8, 1.3)

    def turn_bad(self):
        self._faults_enabled = True

    def arrivals(self, begin, end):
        """Returns the sorted times between `begin` and `end` at which requests reached these
        servers."""
        return sorted(when for whens in self.runs.values() for when in whens
                      if begin <= when <= end)

    async def _send_heartbeats(self, name, address, pool):
        sequence = 0
        while True:
            sequence += 1
            body = json.dumps({"service": pool, "address": f"{address}:8080", "zone": self.zone,
                               "version": self.version_of(address), "slots": 6,
                               "state": self.stage_of(address),
                               "sequence": sequence})
            for member in self._rng.sample(self._members, len(self._members)):
                status, _ = await call(member.address, CONTROL_PORT, "PUT",
                                       f"/-/instances/{name}", body, timeout=1.0)
                if status == 200:
                    break
            await asyncio.sleep(1.0)

    async def _serve(self, reader, writer, state):
        while (message := await read_message(reader)) is not None:
            path = message[0].split()[1]
            ident = message[1].get("x-attempt-id", "")
            now = time.monotonic()
            own, expected = state.get("id"), message[1].get("x-expect-instance")
            if own and expected and own != expected:
                writer.write((f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {ident}\r\n"
                              f"X-Instance-Id: {own}\r\nX-Not-Executed: 1\r\n"
                              "Content-Length: 0\r\n\r\n").encode())
                continue
            fields, rejected = self.judge(state["address"], ident, now)
            more = "".join(f"{field}\r\n" for field in fields)
            if rejected:
                writer.write((f"HTTP/1.1 503 Full\r\nX-Attempt-Id: {ident}\r\n{more}"
                              "Content-Length: 0\r\n\r\n").encode())
                continue
            state["running"] += 1
            self.runs.setdefault(ident, []).append(now)
            if self.judge_path(path, state):
                continue
            bad = self._faults_enabled and self._fault_model.affects(
                now - self.begun, path, state["running"], self._rng)
            slow = self._fault_model.slow if bad else 1.0
            failed = bad and self._rng.random() < self._fault_model.fails
            if failed or (bad and self._fault_model.slow > 1):
                self.bad.append(now)
            await asyncio.sleep(slow * self.work_of(path, state))
            state["running"] -= 1
            status = "500 Internal Server Error" if failed else "200 OK"
            body = f"{self.version} {ident}"
            try:
                writer.write((f"HTTP/1.1 {status}\r\nX-Attempt-Id: {ident}\r\n"
                              f"X-Response-Seal: {self.version}\r\n{more}"
                              f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
                await writer.drain()
            except ConnectionError:
                break
        writer.close()


class Callers:
    """Clients that send a steady load to all instances on keep-alive connections and count the
    outcomes."""

    def __init__(self, instances, key, per_s, seed):
        self.sent = []  # (time, id); the id ends with the number of the instance.
        self.outcomes = {}  # Status to count.
        self.statuses = {}  # Id to status.
        self.wrong = []  # Ids of requests that got the response to another request.
        self.books = set()  # Ids of non-repeatable requests.
        self._left = set()  # Numbers of instances that get no more requests.
        self._only_kept = set()  # Numbers of instances that get no new connections.
        self.cut = []  # (time, number of the instance) of requests without a complete response.
        self.key, self._per_s = key, per_s
        self._connections = [Connections(instance.address, CALLERS_PORT) for instance in instances]
        self._rng = random.Random(f"{seed}-callers")
        self._task = None
        self._open = set()

    def start(self):
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)
        for connections in self._connections:
            connections.close()

    def leave(self, instance):
        """Sends no more requests to an instance, as a balancer that has taken it out."""
        self._left.add(instance)

    def only_kept(self, instance):
        """Sends requests to an instance on connections that are open already, as long as it keeps
        them: a balancer that takes an instance out doesn't end them."""
        self._only_kept.add(instance)

    def is_out(self, instance):
        """Returns True while an instance gets no new connections."""
        return instance in self._only_kept

    def use_again(self, instance):
        self._only_kept.discard(instance)

    def _may_use(self, instance):
        if instance in self._left:
            return False
        return instance not in self._only_kept or bool(self._connections[instance].idle())

    async def _run(self):
        number = 0
        while True:
            number += 1
            instance = self._rng.choice([other for other in range(len(self._connections))
                                         if self._may_use(other)])
            task = asyncio.create_task(self._one(f"r{number}-{instance}", instance))
            self._open.add(task)
            task.add_done_callback(self._open.discard)
            await asyncio.sleep(self._rng.expovariate(self._per_s))

    async def _one(self, ident, instance):
        route = "look" if self._rng.random() < 0.5 else "book"
        sent = time.monotonic()
        self.sent.append((sent, ident))
        if route == "book":
            self.books.add(ident)
        status, body = await self._connections[instance].call(
            "GET" if route == "look" else "POST", f"/{route}/x",
            fields=(f"X-Attempt-Id: {ident}", f"Authorization: Bearer {self.key}",
                    "X-Deadline-Ms: 2000"), timeout=3.0)
        self.outcomes[status] = self.outcomes.get(status, 0) + 1
        self.statuses[ident] = status
        if status == 0:
            self.cut.append((sent, instance))
        if status == 200 and not body.endswith(f" {ident}".encode()):
            self.wrong.append(ident)


class Operator:
    """An operator, who resends each order to random members until a definite response."""

    def __init__(self, members, seed):
        self._members = members
        self._rng = random.Random(f"{seed}-operator")

    async def ask(self, method, path, body="", limit=5.0):
        """Returns status and body of the first definite response; the status is 0 on a timeout."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            member = self._rng.choice(self._members)
            status, answer = await call(member.address, CONTROL_PORT, method, path, body,
                                        timeout=1.0)
            if status not in (0, 503):
                return status, answer
            await asyncio.sleep(0.05)
        return 0, b""

    async def order(self, pool, version, seconds, limit=5.0):
        body = json.dumps({"service": pool, "target_version": version, "duration_s": seconds})
        return (await self.ask("POST", "/-/rollouts", body, limit))[0]

    async def state(self, pool):
        status, body = await self.ask("GET", f"/-/rollouts/{pool}", limit=2.0)
        return json.loads(body)["state"] if status == 200 else f"status {status}"

    async def evacuate(self, zone, ends=False, limit=5.0):
        method = "DELETE" if ends else "POST"
        return (await self.ask(method, f"/-/evacuations/{zone}", limit=limit))[0]

    async def lose_answer(self, method, path):
        """Sends an order to one member and closes the connection without reading the response."""
        member = self._rng.choice(self._members)
        try:
            _, writer = await asyncio.open_connection(member.address, CONTROL_PORT)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            writer.close()
        except OSError:
            pass  # A member that is down has not received the order.
