# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Base class of all soak cases, and a runner that plays them one after the other. Each case has a
subnet of its own."""

import argparse
import asyncio
import random
import signal
import sys
import time

from fleet import Fleet, document, reserve_subnets, release
from stand_ins import Callers, Operator

POOL = "app"
KEY = "key-of-north"
DOCUMENT_LIMIT_S = 15
REGISTER_S = 2.0  # Servers register within two heartbeat intervals.
WARM_UP_S = 1.0
STEP_LIMIT_S = 5.0  # Timeout of a step that a case waits for; each takes far less time.


async def wait_until(condition, limit=STEP_LIMIT_S):
    """Polls `condition()` until it is true. Returns False after `limit` seconds."""
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.005)
    return True


class FleetCase:
    """A fleet with its clients and operator, and the checks that failed."""

    def __init__(self, program, name, subnet, seed, per_s, **fleet_options):
        self.name = name
        self.fleet = Fleet(program, subnet, **fleet_options)
        self.callers = Callers(self.fleet.instances, KEY, per_s, seed)
        self.operator = Operator(self.fleet.members, seed)
        self.rng = random.Random(f"{seed}-faults")  # Chooses the faults and their times.
        self.failures = []

    def check(self, holds, what):
        if not holds:
            self.failures.append(what)

    async def start_with(self, *servers, warm_up_s=WARM_UP_S, more_routes=()):
        """Starts all processes, sends the document, then starts the servers and the clients."""
        self.fleet.start()
        status, _ = await self.operator.ask("PUT", "/-/config",
                                            document(1, POOL, KEY, more_routes),
                                            limit=DOCUMENT_LIMIT_S)
        self.check(status == 200, f"the document got {status}")
        for group in servers:
            await group.start(POOL)
        await asyncio.sleep(REGISTER_S)
        self.callers.start()
        await asyncio.sleep(warm_up_s)

    async def kill_leader(self):
        leader = self.fleet.leader()
        if leader is None:
            return  # All members that have been leader are down.
        leader.kill()
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        leader.start()

    async def pause(self, process):
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        process.send_signal(signal.SIGCONT)

    async def pause_member(self):
        await self.pause(self.rng.choice(self.fleet.members))

    async def restart_instance(self):
        number = self.rng.randrange(len(self.fleet.instances))
        instance = self.fleet.instances[number]
        instance.kill()
        await asyncio.sleep(0.3)  # Its outstanding requests are complete by then.
        self.on_instance_killed(number)
        instance.start()

    def on_instance_killed(self, number):
        """Called between the end of an instance and its next start."""

    async def stop_with(self, *servers):
        for group in servers:
            await group.stop()
        self.fleet.stop()


async def run_case(make_case, name, subnet, options):
    """Runs one case. Returns True if all of its checks passed."""
    case = make_case(options.program, name, subnet, options.seed)
    try:
        await case.play()
    finally:
        if case.failures and options.keep_logs:
            for process in case.fleet.members + case.fleet.instances:
                with open(f"{options.keep_logs}/{name}-{options.seed}-{process.name}.log", "w",
                          encoding="utf-8") as kept:
                    kept.write(process.log())
        await case.stop()
    for failure in case.failures:
        print(f"FAILED case={name} seed={options.seed}: {failure}", flush=True)
    return not case.failures


def library_argument(name, purpose):
    """Returns the `add_arguments` of a program whose processes load a library: the argument `name`
    is required and holds NAME=VALUE."""
    def add_arguments(parser):
        parser.add_argument(f"--{name}", required=True, help=f"NAME=VALUE: loads the library that "
                                                             f"{purpose}")
        return [name.replace("-", "_")]
    return add_arguments


def run_cases(make_case, names, description, add_arguments=None):
    """Entry point of a soak program: parses the command line, runs the cases and exits with status
    1 if one of them failed. `add_arguments` adds the program's own to the parser; `make_case` gets
    their values as further arguments."""
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument("--program", required=True, help="path of poppywayd")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", nargs="*", default=list(names), choices=list(names))
    parser.add_argument("--keep-logs", help="folder for the logs of cases that fail")
    own = add_arguments(parser) if add_arguments else []
    options = parser.parse_args()
    if own:
        values = [getattr(options, name) for name in own]
        make_plain, make_case = make_case, lambda *given: make_plain(*given, *values)
    first, guards = reserve_subnets(len(options.case))
    passed = sum(asyncio.run(run_case(make_case, name, first + number, options))
                 for number, name in enumerate(options.case))
    release(guards)
    failed = len(options.case) - passed
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)
