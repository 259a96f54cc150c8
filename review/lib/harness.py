# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Processes and stand-ins for the scripts of the review.

Processes are started with the command of deploy/system.toml and a settings file as DEPLOY.md
describes it. Each has an address of its own in 127.0.0.0/8. Backend servers, callers and the
operator are small stand-ins that follow PROTOCOL.md.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT_PORT = 8221
READINESS_PORT = 8224
CONTROL_PORT = 8229
SERVER_PORT = 8080
GUARD_PORT = 7999  # A listener on this port marks a subnet as used, also by the programs in soak/
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
HEARTBEAT_S = 1.2
MOST_S = 110  # A script ends by then in any case.
HELD, BROKEN, NOT_RUN = 0, 1, 2  # Exit codes of a script.

BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000,
    "revert_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": "true", "revoke_ms": 5000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "quota_window_s": 8,
    "quota_overage": 0.1, "quota_slack": 140000, "recover_s": 12, "pass_ms": 120,
    "retry_after_s": 10,
}


class CannotRun(Exception):
    """The case couldn't be set up, so it says nothing about the rule."""


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._begun = time.monotonic()

    def seconds(self, when=None):
        return (time.monotonic() if when is None else when) - self._begun

    def write(self, what):
        self._file.write(f"{self.seconds():8.3f}  {what}\n")

    def say(self, what):
        self.write(what)
        self._file.flush()
        print(what, flush=True)

    def close(self):
        self._file.close()


def in_use(address):
    with socket.socket() as probe:
        return any(probe.connect_ex((address, port)) == 0
                   for port in (CONTROL_PORT, SERVER_PORT))


def reserve_subnet():
    """Returns the number N of a subnet 127.N.0.0/16 that no other run uses, and its guard."""
    for number in range(20, 250):
        guard = socket.socket()
        try:
            guard.bind((f"127.{number}.0.250", GUARD_PORT))
            guard.listen(1)
            for address in (f"127.{number}.0.1", f"127.{number}.2.1"):
                if in_use(address):  # By a run that ended without its processes.
                    raise OSError
            return number, guard
        except OSError:
            guard.close()
    raise CannotRun("no loopback addresses are free")


def program():
    """Returns the daemon that the build line of deploy/system.toml makes, or that of the full build."""
    for folder in ("target", "build"):
        path = os.path.join(ROOT, folder, "poppywayd")
        if os.access(path, os.X_OK):
            return path
    raise CannotRun("target/poppywayd is missing: run the build line of deploy/system.toml")


class Machine:
    """A machine with one process of the system: a member (core) or a gateway (edge)."""

    def __init__(self, folder, name, address, zone, core, seeds):
        self.name, self.address, self.zone, self.core = name, address, zone, core
        self._seeds = seeds
        self._folder = os.path.join(folder, name)
        self._process = None
        os.makedirs(self._folder)
        self.log_path = os.path.join(self._folder, "log")

    def _write_settings(self, bootstrap):
        lines = {
            "node_name": self.name, "role": "member" if self.core else "gateway",
            "machine_class": "core" if self.core else "edge",
            "serves": "control_plane" if self.core else "edge",
            "ip": self.address, "zone": self.zone, "region": "here",
            **{f"zones.{zone}": "here" for zone in ZONES},
            "internal_ports": "7600,7615",
            "seeds": ",".join(f"{seed}:{CONTROL_PORT}" for seed in self._seeds),
            "bootstrap": "true" if bootstrap else "false",
            "fault_counted": "true" if self.core else "false",
            "limits.cpu_share": 0.6 if self.core else 0.25, "limits.cores": 1,
            "limits.memory_mb": 256 if self.core else 260, "limits.max_fds": 4096,
            "limits.link_mbps": 1000.0, "limits.disk_mb": 128 if self.core else 0,
            "discovery": "registration", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,quota",
            "fault_tolerance.machines": 2, "fault_tolerance.zones": 0,
            "fault_tolerance.regions": 0,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "config_mode": "highest",
        }
        if self.core:
            lines["listen.control"] = f"{self.address}:{CONTROL_PORT}"
            lines["data_dir"] = os.path.join(self._folder, "data")
            os.makedirs(lines["data_dir"], exist_ok=True)
        else:
            lines["listen.front"] = f"{self.address}:{FRONT_PORT}"
            lines["listen.readiness"] = f"{self.address}:{READINESS_PORT}"
        path = os.path.join(self._folder, "settings")
        with open(path, "w", encoding="utf-8") as settings:
            settings.writelines(f"{key}={value}\n" for key, value in lines.items())
        return path

    def start(self, bootstrap=False):
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [program(), "--hosted"], cwd=ROOT, stdout=log, stderr=log,
                env={"POPPYWAY_BOOT": self._write_settings(bootstrap),
                     "PATH": os.environ["PATH"], "LANG": "C"})

    def lose_disk(self):
        """Empties the data folder of a process that doesn't run."""
        shutil.rmtree(os.path.join(self._folder, "data"))

    def running(self):
        return self._process is not None and self._process.poll() is None

    def exit_code(self):
        return None if self._process is None else self._process.poll()

    def kill(self):
        if self.running():
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def signal(self, number):
        if self.running():
            os.kill(self._process.pid, number)

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


class Fleet:
    """The machines of one small deployment."""

    def __init__(self, members=5, gateways=3):
        self.subnet, self._guard = reserve_subnet()
        self._folder = tempfile.TemporaryDirectory(prefix="poppyway-review-")
        cores = [f"127.{self.subnet}.0.{i + 1}" for i in range(members)]
        self.members = [Machine(self._folder.name, f"core-{i}", address, ZONES[i % 4], True,
                                cores[:3]) for i, address in enumerate(cores)]
        self._next_member = members
        self.gateways = [Machine(self._folder.name, f"edge-{i}", f"127.{self.subnet}.1.{i + 1}",
                                 ZONES[i % 4], False, cores[:3]) for i in range(gateways)]

    def machines(self):
        return self.members + self.gateways

    def add_member(self):
        """Adds an empty machine of the core at a new address. Returns it, not started yet."""
        number = self._next_member
        self._next_member += 1
        address = f"127.{self.subnet}.0.{number + 1}"
        seeds = [member.address for member in self.members if member.running()][:3]
        member = Machine(self._folder.name, f"core-{number}", address, ZONES[number % 4], True,
                         seeds)
        self.members.append(member)
        return member

    def remove_member(self, member):
        """Takes a machine of the core away for good."""
        member.kill()
        self.members.remove(member)

    def start(self, bootstrap=False):
        for machine in self.machines():
            machine.start(bootstrap)

    def kill(self):
        for machine in self.machines():
            machine.signal(signal.SIGCONT)
        for machine in self.machines():
            machine.kill()

    def close(self):
        self.kill()
        keep = os.environ.get("KEEP_LOGS")  # For whoever traces a failure.
        if keep:
            os.makedirs(keep, exist_ok=True)
            for machine in self.machines():
                with open(os.path.join(keep, machine.name), "w", encoding="utf-8") as copy:
                    copy.write(machine.log())
        self._folder.cleanup()
        self._guard.close()

    def leader(self):
        """Returns the running member that took the lead in the highest term; None without one."""
        best, term = None, -1
        for member in self.members:
            for line in member.log().splitlines():
                if "event=leading" in line and member.running():
                    found = int(line.split("term=")[1].split()[0])
                    if found > term:
                        best, term = member, found
        return best


async def read_head(reader):
    """Reads the head of an HTTP message. Returns its first line and its fields, or None."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    return head[0], {line.split(":", 1)[0].strip().lower(): line.split(":", 1)[1].strip()
                     for line in head[1:] if ":" in line}


async def read_message(reader):
    """Reads a message with a stated length or in chunks. Returns first line, fields and body, or
    None if it isn't whole."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        if head[1].get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readline()).strip() or b"0", 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        else:
            body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return head[0], head[1], body


class Answer:
    def __init__(self, status=0, fields=None, body=b""):
        self.status, self.fields, self.body = status, fields or {}, body


async def call(address, port, method, path, body="", fields=(), timeout=1.0):
    """Sends one request on a new connection. Status 0: no whole answer within the time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(address, port)
            lines = [f"{method} {path} HTTP/1.1", *fields]
            if not any(field.lower().startswith("host:") for field in fields):
                lines.insert(1, f"Host: {address}:{port}")
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body.encode())}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
            message = await read_message(reader)
        if message is None:
            return Answer()
        return Answer(int(message[0].split()[1]), message[1], message[2])
    except (OSError, TimeoutError, ValueError, IndexError):
        return Answer()
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends an order to daemons of the core, again until it gets a clear answer."""

    def __init__(self, fleet, record):
        self._fleet, self._record = fleet, record
        self._random = random.Random(1)

    async def put(self, document, limit=10.0):
        body = json.dumps(document)
        end = time.monotonic() + limit
        while time.monotonic() < end:
            member = self._random.choice(self._fleet.members)
            answer = await call(member.address, CONTROL_PORT, "PUT", "/-/config", body,
                                ["Content-Type: application/json"], 1.0)
            self._record.write(f"operator: version {document['version']} to {member.name}: "
                               f"{answer.status or 'no answer'}")
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"version {document['version']} wasn't acknowledged")


def route(name, kind, service, timeout_ms=1000, slo_ms=100, attempts=2, **more):
    return {"name": name, "host": "exam.example", "path_prefix": f"/{name}/", "route_kind": kind,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 0, "service": service,
            "max_attempts": attempts, "anonymous": False, **more}


def document(version, routes, services, tenants):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_conns": 96,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants}


async def wait_until_ready(fleet, limit=15.0):
    """Waits until all gateways call themselves ready."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        answers = [await call(gateway.address, READINESS_PORT, "GET", "/-/readyz", timeout=0.5)
                   for gateway in fleet.gateways]
        if all(answer.status == 200 for answer in answers):
            return
        await asyncio.sleep(0.1)
    raise CannotRun("the gateways didn't become ready")


def run(main, folder):
    """Runs a case: `main(record, fleet)` returns True if the rule held. Ends all its processes."""
    record = Record(folder)
    fleet = None
    for number in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    signal.alarm(MOST_S)
    try:
        fleet = Fleet()
        held = asyncio.run(main(record, fleet))
        record.say("the rule held" if held else "THE RULE WAS BROKEN")
        code = HELD if held else BROKEN
    except CannotRun as why:
        record.say(f"the case couldn't run: {why}")
        code = NOT_RUN
    except Exception:  # A fault of the script says nothing about the rule.
        record.say(f"the case couldn't run: {traceback.format_exc()}")
        code = NOT_RUN
    finally:
        if fleet is not None:
            fleet.close()
        record.close()
    sys.exit(code)
