# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Real poppywayd processes of a hosted deployment on loopback: members, instances, their settings.

Each process has an address of its own in 127.0.0.0/8, so all use the same ports. Processes are
started here and ended by their ids only.
"""

import json
import os
import signal
import socket
import subprocess
import tempfile

CALLERS_PORT = 8221
CONTROL_PORT = 8229
READINESS_PORT = 8224
GUARD_PORT = 7999  # Of the socket that marks a subnet as used.
INTERNAL_PORTS = "7600,7615"


def hold_subnets(count):
    """The first of `count` numbers N whose addresses 127.N.x.y no other run uses, and the sockets
    that hold them, one each, for as long as they are kept: runs of other counts see them too."""
    for first in range(20, 250 - count, count):
        guards = []
        try:
            for number in range(first, first + count):
                guards.append(hold_subnet(number))
            return first, guards
        except OSError:
            release(guards)
    raise RuntimeError("no loopback addresses are free")


def hold_subnet(number):
    """A socket that marks the addresses 127.number.x.y as used; OSError if another run has them."""
    guard = socket.socket()
    try:
        guard.bind((f"127.{number}.0.250", GUARD_PORT))
        guard.listen(1)
    except OSError:
        guard.close()
        raise
    return guard


def release(guards):
    for guard in guards:
        guard.close()


class Process:
    """One poppywayd with its settings file, data folder and log."""

    def __init__(self, folder, name, address, member, seeds, program):
        self.name = name
        self.address = address
        self.member = member
        self.peer_place = f"{address}:{INTERNAL_PORTS.split(',')[0]}"  # For the command line.
        self._seeds = seeds
        self._program = program
        self._folder = os.path.join(folder, name)
        self._process = None
        os.makedirs(self._folder)
        self.log_path = os.path.join(self._folder, "log")

    def _write_settings(self, first_start):
        lines = {
            "node_name": self.name,
            "ip": self.address,
            "zone": "east",
            "region": "here",
            "internal_ports": INTERNAL_PORTS,
            "seeds": ",".join(f"{seed}:{CONTROL_PORT}" for seed in self._seeds),
            "bootstrap": "true" if first_start else "false",
            "bounds.revoke_ms": 5000,
            "bounds.strict_revoke": "true",
            "bounds.grace_s": 8,
            "bounds.exposure_share": 0.1,
            "bounds.exposure_slack": 50,
            "bounds.evacuate_ms": 5000,
        }
        if self.member:
            lines["data_dir"] = os.path.join(self._folder, "data")
            lines["listen.control"] = f"{self.address}:{CONTROL_PORT}"
            os.makedirs(lines["data_dir"], exist_ok=True)
        else:
            lines["listen.front"] = f"{self.address}:{CALLERS_PORT}"
            lines["listen.readiness"] = f"{self.address}:{READINESS_PORT}"
        path = os.path.join(self._folder, "settings")
        with open(path, "w", encoding="utf-8") as settings:
            settings.writelines(f"{key}={value}\n" for key, value in lines.items())
        return path

    def start(self, first_start=False):
        """No effect while it runs: faults that overlap may both start what one of them killed."""
        if self.running():
            return
        settings = self._write_settings(first_start)
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [self._program, "--hosted"],
                env={"POPPYWAY_BOOT": settings, "PATH": os.environ["PATH"]},
                stdout=log, stderr=log)

    def running(self):
        return self._process is not None and self._process.poll() is None

    def kill(self):
        if self.running():
            self._process.kill()
            self._process.wait()

    def send_signal(self, number):
        if self.running():
            os.kill(self._process.pid, number)

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


class Fleet:
    """Members and instances of one deployment."""

    def __init__(self, program, subnet, members=5, instances=3):
        self.program = program
        self._folder = tempfile.TemporaryDirectory(prefix="poppyway-soak-")
        addresses = [f"127.{subnet}.0.{i + 1}" for i in range(members)]
        self.members = [
            Process(self._folder.name, f"member-{i}", address, True, addresses[:3], program)
            for i, address in enumerate(addresses)]
        self.instances = [
            Process(self._folder.name, f"edge-{i}", f"127.{subnet}.1.{i + 1}", False,
                    addresses[:3], program)
            for i in range(instances)]

    def start(self):
        for process in self.members + self.instances:
            process.start(first_start=True)

    def stop(self):
        for process in self.members + self.instances:
            process.send_signal(signal.SIGCONT)
            process.kill()
        self._folder.cleanup()

    def leader(self):
        """The member that says last that it leads, by term."""
        best, term = None, -1
        for member in self.members:
            if not member.running():
                continue
            for line in member.log().splitlines():
                if "event=leading" not in line:
                    continue
                found = int(line.split("term=")[1].split()[0])
                if found > term:
                    best, term = member, found
        return best

    def leader_says(self, words):
        """How many times the leader's log has the words."""
        leader = self.leader()
        return 0 if leader is None else leader.log().count(words)


def document(version, pool, key):
    """An operator's document: one pool, a route that may be repeated and one that may not."""
    def route(name, kind):
        return {"name": name, "host": "a.example", "path_prefix": f"/{name}/", "route_kind": kind,
                "timeout_ms": 2000, "slo_ms": 300, "priority": 0, "service": pool,
                "max_attempts": 2 if kind == "safe" else 1, "anonymous": False}
    return json.dumps({
        "version": version,
        "routes": [route("look", "safe"), route("book", "unsafe")],
        "services": [{"name": pool, "health_path": "/healthz", "max_conns": 500}],
        "tenants": [{"name": "north", "api_keys": [key], "rate_per_s": 0, "burst": 0}]})
