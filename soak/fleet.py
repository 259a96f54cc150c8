# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Real poppywayd processes of a hosted deployment on loopback: members, instances and their
settings.

Each process has its own address in 127.0.0.0/8, so all use the same ports. Processes are ended by
their ids only.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile

CALLERS_PORT = 8221
CONTROL_PORT = 8229
READINESS_PORT = 8224
GUARD_PORT = 7999  # Port of the socket that marks a subnet as used.
INTERNAL_PORTS = "7600,7615"


def reserve_subnets(count):
    """Reserves `count` consecutive subnets 127.N.x.y that no other run uses, whatever count that
    run has. Returns the first N and one socket per subnet, which reserves it until the socket is
    closed."""
    for first in range(20, 250 - count, count):
        guards = []
        try:
            for number in range(first, first + count):
                guards.append(reserve_subnet(number))
            return first, guards
        except OSError:
            release(guards)
    raise RuntimeError("no loopback addresses are free")


def reserve_subnet(number):
    """Reserves the subnet 127.number.x.y. Returns the socket that marks it as used; raises OSError
    if another run uses the subnet."""
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
    """A poppywayd process with its settings file, data folder and log."""

    def __init__(self, folder, name, address, member, seeds, program, environment=()):
        """`seeds`: returns the addresses of some members, for the settings of each start."""
        self.name = name
        self.address = address
        self.member = member
        # For the command-line client.
        self.peer_endpoint = f"{address}:{INTERNAL_PORTS.split(',')[0]}"
        self._seeds = seeds
        self._program = program
        self._environment = dict(environment)
        self._folder = os.path.join(folder, name)
        self._process = None
        os.makedirs(self._folder)
        self.log_path = os.path.join(self._folder, "log")

    def _data_folder(self):
        return os.path.join(self._folder, "data")

    def _write_settings(self, first_start):
        lines = {
            "node_name": self.name,
            "ip": self.address,
            "zone": "east",
            "region": "here",
            "internal_ports": INTERNAL_PORTS,
            "seeds": ",".join(f"{seed}:{CONTROL_PORT}" for seed in self._seeds()),
            "bootstrap": "true" if first_start else "false",
            "bounds.revoke_ms": 5000,
            "bounds.strict_revoke": "true",
            "bounds.grace_s": 8,
            "bounds.exposure_share": 0.1,
            "bounds.exposure_slack": 50,
            "bounds.evacuate_ms": 5000,
            "bounds.catch_up_s": 4,
            "fault_tolerance.machines": 2,
        }
        if self.member:
            lines["data_dir"] = self._data_folder()
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
        """Starts the process. Has no effect if it runs already: overlapping faults may both restart
        a process that one of them killed."""
        if self.running():
            return
        settings = self._write_settings(first_start)
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [self._program, "--hosted"],
                env={"POPPYWAY_BOOT": settings, "PATH": os.environ["PATH"],
                     **self._environment},
                stdout=log, stderr=log)

    def running(self):
        return self._process is not None and self._process.poll() is None

    def pid(self):
        """Returns the process id; None if the process doesn't run."""
        return self._process.pid if self.running() else None

    def kill(self):
        if self.running():
            self._process.kill()
            self._process.wait()

    def lose_data(self):
        """Empties the data folder. The process must not run."""
        shutil.rmtree(self._data_folder())

    def terminate(self):
        """Asks the process to stop, as a platform does before a planned stop."""
        self.send_signal(signal.SIGTERM)

    def send_signal(self, number):
        if self.running():
            os.kill(self._process.pid, number)

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


class Fleet:
    """The members and instances of one deployment."""

    def __init__(self, program, subnet, members=5, instances=3, environment_of=None,
                 member_environment_of=None):
        """`environment_of`: returns additional environment variables of an instance, by its
        number; `member_environment_of`: those of a member that is there from the start."""
        self.program = program
        self._folder = tempfile.TemporaryDirectory(prefix="poppyway-soak-")
        self._subnet = subnet
        self._members_made = members
        addresses = [f"127.{subnet}.0.{i + 1}" for i in range(members)]
        self.members = [
            Process(self._folder.name, f"member-{i}", address, True, self.seeds, program,
                    member_environment_of(i) if member_environment_of else ())
            for i, address in enumerate(addresses)]
        self.instances = [
            Process(self._folder.name, f"edge-{i}", f"127.{subnet}.1.{i + 1}", False,
                    self.seeds, program, environment_of(i) if environment_of else ())
            for i in range(instances)]

    def seeds(self):
        """Returns the addresses of three members, as a platform knows them now."""
        return [member.address for member in self.members][:3]

    def add_member(self):
        """Adds and starts a blank member at an address of its own. Returns it."""
        self._members_made += 1
        added = Process(self._folder.name, f"member-{self._members_made - 1}",
                        f"127.{self._subnet}.0.{self._members_made}", True, self.seeds,
                        self.program)
        self.members.append(added)
        added.start()
        return added

    def remove_member(self, member):
        """Takes a member away for good."""
        member.send_signal(signal.SIGCONT)
        member.kill()
        self.members.remove(member)

    def start(self):
        for process in self.members + self.instances:
            process.start(first_start=True)

    def stop(self):
        for process in self.members + self.instances:
            process.send_signal(signal.SIGCONT)
            process.kill()
        self._folder.cleanup()

    def leader(self):
        """Returns the running member whose log has the highest term as leader; None if there is
        none."""
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

    def count_in_leader_log(self, text):
        """Returns how often the leader's log contains the text."""
        leader = self.leader()
        return 0 if leader is None else leader.log().count(text)


def stream_route(pool, max_attempts=2):
    """Returns a route whose streams may be resumed."""
    return {"name": "tell", "host": "a.example", "path_prefix": "/tell/",
            "route_kind": "streaming", "timeout_ms": 8000, "slo_ms": 500, "gap_slo_ms": 400,
            "priority": 0, "service": pool, "max_attempts": max_attempts, "anonymous": False,
            "resumable": True}


def document(version, pool, key, more_routes=()):
    """Returns an operator's document with one pool, a repeatable route and a non-repeatable one."""
    def route(name, kind):
        return {"name": name, "host": "a.example", "path_prefix": f"/{name}/", "route_kind": kind,
                "timeout_ms": 2000, "slo_ms": 300, "priority": 0, "service": pool,
                "max_attempts": 2 if kind == "safe" else 1, "anonymous": False}
    return json.dumps({
        "version": version,
        "routes": [route("look", "safe"), route("book", "unsafe"), *more_routes],
        "services": [{"name": pool, "health_path": "/healthz", "max_conns": 500}],
        "tenants": [{"name": "north", "api_keys": [key], "rate_per_s": 0, "burst": 0}]})
