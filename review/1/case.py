# SPDX-License-Identifier: MIT
# Part of poppyway, a request scheduler for unlike engines.
"""Two machines of the core are replaced within a second; later two machines lose their disks right
after a configuration was acknowledged, and start again empty."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from harness import (CONTROL_PORT, CannotRun, Operator, call, document, route, run,
                     wait_until_ready, with_trouble)

SERVICE = "examen-app"
TENANTS = [{"name": "school", "api_keys": ["k4tz81m0qd7x"], "priority": 0}]
CALM_S = 15.0  # From the replacements to the final fault; catch_up_s is 4.
READ_S = 25.0  # The operator reads for so long; contact_ms is 3 s, recover_s is 12.


async def replace(fleet, record, number):
    """Takes a machine of the core away; an empty one comes a second later at another address."""
    removed = next(member for member in fleet.members if member.name == f"core-{number}")
    record.write(f"{removed.name} is gone for good")
    fleet.remove_member(removed)
    await asyncio.sleep(1.0)
    added = fleet.add_member()
    added.start()
    record.write(f"{added.name} starts, empty, at another address")


async def read_config(fleet, record, seconds):
    """Reads the configuration at all daemons in turn until one gives it. Returns its version."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for member in fleet.members:
            answer = await call(member.address, CONTROL_PORT, "GET", "/-/config", timeout=1.0)
            record.write(f"operator: reads at {member.name}: {answer.status or 'no answer'}")
            if answer.status == 200:
                return json.loads(answer.body)["version"]
        await asyncio.sleep(0.3)
    return None


async def main(record, fleet):
    operator = Operator(fleet, record)
    routes = [route("uitslag", "safe", SERVICE)]
    fleet.start(bootstrap=True)
    await operator.put(document(3, routes, [SERVICE], TENANTS))
    await wait_until_ready(fleet)
    await asyncio.sleep(4.0)
    if with_trouble():
        first = asyncio.create_task(replace(fleet, record, 3))
        await asyncio.sleep(0.2)
        await asyncio.gather(first, replace(fleet, record, 4))
    await asyncio.sleep(CALM_S)
    # The final fault: as many machines as fault_tolerance allows lose their disks.
    await operator.put(document(8, routes, [SERVICE], TENANTS))
    struck = fleet.members[1:3]
    record.write(f"{', '.join(member.name for member in struck)} lose their disks")
    for member in struck:
        member.kill()
        member.lose_disk()
    await asyncio.sleep(1.0)
    for member in struck:
        member.start()
    record.write("they are back, empty")
    version = await read_config(fleet, record, READ_S)
    running = sum(member.running() for member in fleet.members)
    record.say(f"{running} machines of the core run; read back {READ_S:.0f} s after the fault at "
               f"most: version {version}; acknowledged: 8")
    if running != 5:
        raise CannotRun("a process of the system ended by itself")
    return version == 8


run(main, FOLDER)
