# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""A small deployment for the scripts of the second review: the project's processes with settings
like those of the maly-uver site, and a platform that limits their memory as DEPLOY.md says."""

import asyncio
import os
import sys
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "soak"))

import fleet  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "poppywayd")
MEMORY_MB = {True: 256, False: 110}  # By "is a member", as in the sheet of the site.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000,
    "revert_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": "true", "revoke_ms": 5000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54, "quota_window_s": 8,
    "quota_overage": 0.1, "quota_slack": 140000, "recover_s": 12, "pass_ms": 120,
    "retry_after_s": 10}


def add_site_settings(process):
    """Adds the settings of the site to those that the fleet writes for a process."""
    write_settings = process._write_settings

    def write(first_start):
        path = write_settings(first_start)
        lines = {f"bounds.{key}": value for key, value in BOUNDS.items()}
        lines["role"] = "member" if process.member else "gateway"
        lines["machine_class"] = "core" if process.member else "edge"
        lines["zones.east"] = "here"
        lines["limits.cpu_share"] = 0.6 if process.member else 0.25
        lines["limits.memory_mb"] = MEMORY_MB[process.member]
        lines["limits.max_fds"] = 4096 if process.member else 4100
        lines["limits.link_mbps"] = 1000.0
        lines["heartbeat_ms"] = 1200
        with open(path, "a", encoding="utf-8") as settings:
            settings.writelines(f"{key}={value}\n" for key, value in lines.items())
        return path

    process._write_settings = write


def resident_mb(pid):
    """Returns the resident memory of a process in MB, without the pages of its program and
    libraries, which other processes share; zero if it has ended."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            fields = dict(line.split(":", 1) for line in status if ":" in line)
        return int(fields["RssAnon"].split()[0]) / 1024
    except (OSError, KeyError):
        return 0.0


class Platform:
    """Kills each process over its `limits.memory_mb` and starts each one that has ended again."""

    def __init__(self, deployment, record):
        self._processes = deployment.members + deployment.instances
        self._record = record
        self.over_limit = {process.name: 0 for process in self._processes}
        self.ended = {process.name: 0 for process in self._processes}
        self.peak = {process.name: 0.0 for process in self._processes}

    async def run(self):
        while True:
            for process in self._processes:
                await self._check(process)
            await asyncio.sleep(0.02)

    async def _check(self, process):
        if not process.running():
            self.ended[process.name] += 1
            self._record(f"{process.name} ended by itself")
            await self._restart(process)
            return
        resident = resident_mb(process.pid())
        self.peak[process.name] = max(self.peak[process.name], resident)
        if resident <= MEMORY_MB[process.member]:
            return
        process.kill()
        self.over_limit[process.name] += 1
        self._record(f"{process.name} killed: {resident:.0f} MB, limit {MEMORY_MB[process.member]}")
        await self._restart(process)

    async def _restart(self, process):
        await asyncio.sleep(0.3)
        process.start()


class Record:
    """Writes lines with the time since the start to a file."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._begun = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._begun:8.3f} {text}\n")
        self._file.flush()


def make_deployment(subnet, members, instances):
    deployment = fleet.Fleet(PROGRAM, subnet, members=members, instances=instances)
    for process in deployment.members + deployment.instances:
        add_site_settings(process)
    return deployment
