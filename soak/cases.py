# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Runs cases of a soak program one after the other, each on a subnet of its own."""

import argparse
import asyncio
import sys

from fleet import hold_subnets, release


async def run_case(make_case, name, subnet, options):
    """One case from start to end; true if all its checks held."""
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


def run_cases(make_case, names, description):
    """The command line of a soak program. Ends the process with 1 if a case failed."""
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument("--program", required=True, help="path of poppywayd")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", nargs="*", default=list(names), choices=list(names))
    parser.add_argument("--keep-logs", help="folder for the logs of cases that fail")
    options = parser.parse_args()
    first, guards = hold_subnets(len(options.case))
    passed = sum(asyncio.run(run_case(make_case, name, first + number, options))
                 for number, name in enumerate(options.case))
    release(guards)
    failed = len(options.case) - passed
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)
