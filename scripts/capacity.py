#!/usr/bin/env python3
"""Computes docs/CAPACITY.md from slopes. Usage: capacity.py SLOPES.csv HOP.md SWEEP.csv FLEET.csv"""
import collections
import csv
import math
import re
import sys

# The size and the limits that the users require.
DAEMONS, SERVERS, ENGINES = 940, 5300, 21000
REQUESTS, TOKENS = 15000, 5_000_000
WORKSPACES, MODELS, CENTRES, REGIONS = 580, 9, 7, 2
CHANGES_A_DAY, IN_FORCE_S = 18000, 6
LIMIT_CORE, LIMIT_MB, LIMIT_KBS, LIMIT_APART = 1.4, 256, 7, 10
FAILURES, RESTARTS = 53, 320

# Assumptions of the project; the page lists them.
HEARTBEAT_S = 1.0          # interval of heartbeats at that size, in seconds
SHARD_ENGINES = 128        # engines per broker
PEAK = 10                  # ratio of the peak rate of changes to the daily mean
NAMED = 0.10               # share of requests with an idempotency key
RETENTION_S = 900
BATCH = 128                # log commands per sync under load


def fit(points):
    """Fits y = a + b x by least squares. Returns a, b and the coefficient of determination."""
    n = len(points)
    if n == 1:
        return 0.0, points[0][1] / points[0][0], 1.0
    mx, my = sum(p[0] for p in points) / n, sum(p[1] for p in points) / n
    sxx = sum((x - mx) ** 2 for x, _ in points)
    b = sum((x - mx) * (y - my) for x, y in points) / sxx
    a = my - b * mx
    syy = sum((y - my) ** 2 for _, y in points)
    rest = sum((y - a - b * x) ** 2 for x, y in points)
    return a, b, 1 - rest / syy if syy else 1.0


# Hosted deployments: the largest size of the specification sheets, and the limits of its machines.
SHEET_MACHINES = 1730
HOSTED_LIMITS = {
    "member: processor %": 60, "member: memory MB": 256, "member: connections": 3896,
    "gateway: processor %": 12, "gateway: memory MB": 160, "gateway: connections": 3900,
    "config in force, ms": 2500, "serving after all were killed, ms": 15000,
}
# Maximum power for the extrapolation. The table shows a faster growth but does not extrapolate by
# it.
MOST_POWER = 2


def hosted(path, say):
    """Extrapolates the sweeps over sizes of hosted deployments to larger sizes."""
    with open(path) as file:
        rows = list(csv.DictReader(file))
    say("## On a hosting platform\n")
    say("Busiest machine of each role in sweeps over 30, 100 and 300 machines with ten servers a machine "
        "(docs/measurements/sweep.csv), carried on by the power at which it grew. A limit is that of the "
        "machines of those sheets, or the bound of the rule.\n")
    say(f"| deployment | what | 30 | 100 | 300 | power | at {DAEMONS} | at {SHEET_MACHINES} | limit |")
    say("|---|---|---|---|---|---|---|---|---|")
    for row in rows:
        power = min(MOST_POWER, max(0.0, float(row["power"])))
        limit = HOSTED_LIMITS.get(row["what"])
        carried = [float(row["at_300"]) * (size / 300) ** power for size in (DAEMONS, SHEET_MACHINES)]
        cells = [f"**{value:.3g}**" if limit and value > limit else f"{value:.3g}" for value in carried]
        say(f"| {row['deployment']} | {row['what']} | {row['at_30']} | {row['at_100']} | {row['at_300']} | "
            f"{row['power']} | {cells[0]} | {cells[1]} | {limit or '-'} |")
    say("\nIn bold: over its limit there. In pools of 256 servers or more a request for a place looks at the best "
        "servers of each data centre only: 21 us with 2,856 servers and 26 us with 5,700 (251 and 500 us with a pass "
        "over all; `poppyway-bench`). Each instance that starts is told of all servers, by a member of its data "
        "centre where there is one. Mechanisms that are missing: brokers by region, pool and data centre, news by "
        "need. \"Serving after all were killed\" is not explained at 300 machines (docs/QUESTIONS.md, 10).\n")


def fleet(path, say):
    """Compares what the sweeps foretold for a fleet of 940 daemons with a fleet of 985 as measured."""
    say("## The whole fleet, measured\n")
    say("985 instances and ten members before 3,000 servers, 685 requests a second; the code before and after the "
        "changes of docs/design/whole-fleet.md. Foretold: the sweeps of earlier deployments, carried on to 940 by the "
        "code before. The sweeps have ten servers and a fixed load for each machine, the fleet three servers and 0.7 "
        "requests a second, so a row can be wrong for that reason alone.\n")
    say("| what | foretold | before | after | where the page was wrong |\n|---|---|---|---|---|")
    with open(path) as file:
        for row in csv.DictReader(file):
            say(f"| {row['what']} | {row['foretold']} | {row['before']} | {row['after']} | {row['verdict']} |")
    say("\nNot measured: the time that each change takes to reach all instances (the plays state it for servers only), "
        "and anything at twice the size but for the costs of decisions and reports in `poppyway-bench`.\n")


def main():
    rows = collections.defaultdict(list)
    with open(sys.argv[1]) as file:
        for row in csv.DictReader(file):
            rows[row["name"]].append((float(row["x"]), float(row["y"])))
    slope = {name: fit(points) for name, points in rows.items()}

    def at(name, x):
        return slope[name][0] + slope[name][1] * x

    hop = open(sys.argv[2]).read()
    per_core = [float(line.split("|")[10]) for line in hop.splitlines()
                if re.match(r"\| \d+ \| 64", line)]
    relay = max(per_core)

    changes = CHANGES_A_DAY / 86400
    out = []
    say = out.append
    say("# Capacity at the planned size\n")
    say("Generated by `scripts/capacity.sh` from slopes measured on one machine (docs/measurements); do not "
        "edit. A slope is fitted by least squares over the sizes in slopes.csv; R² says how well the line "
        "fits. Times are processor time of one core of that machine unless they say elapsed.\n")
    say(f"The size: {DAEMONS} daemons, {SERVERS} backend servers, {ENGINES} accelerators (one engine each), "
        f"{REQUESTS} requests and {TOKENS} tokens a second, {WORKSPACES} workspaces, {MODELS} models, "
        f"{REGIONS} regions with {CENTRES} data centres, {CHANGES_A_DAY} changes a day. Limits for control: "
        f"{LIMIT_CORE} % of a core, {LIMIT_MB} MB, {LIMIT_KBS} KB/s a daemon, {LIMIT_APART} instances set apart.\n")
    say(f"Our assumptions: a heartbeat each {HEARTBEAT_S:g} s; {SHARD_ENGINES} engines a broker; changes peak at "
        f"{PEAK} times their mean; {NAMED:.0%} of requests carry a key, remembered {RETENTION_S} s; {BATCH} "
        "commands share a sync under load.\n")

    say("## Measured slopes\n")
    say("| slope | command | fit y = a + b x | R² |\n|---|---|---|---|")
    for name, (a, b, r2) in slope.items():
        say(f"| {name} | `poppyway-slopes` | {a:.4g} + {b:.4g} x | {r2:.3f} |")
    say(f"| tokens relayed a second per core | `scripts/hop.sh` | {relay:.0f} | - |\n")

    def table(title, lines):
        say(f"## {title}\n")
        say("| what | arithmetic | result | limit | margin |\n|---|---|---|---|---|")
        for what, arithmetic, value, unit, limit in lines:
            if limit is None:
                say(f"| {what} | {arithmetic} | {value:.4g} {unit} | - | - |")
            else:
                margin = f"{limit / value:.1f} x" if value <= limit else f"**missed by {value / limit:.1f} x**"
                say(f"| {what} | {arithmetic} | {value:.4g} {unit} | {limit:g} {unit} | {margin} |")
        say("")

    # ---- gateway -----------------------------------------------------------------------------
    beat = slope["heartbeat_bytes"][1]
    reply = at("heartbeat_reply_per_lease_bytes", 0)
    delta = slope["config_delta_bytes"][1]
    per_daemon = REQUESTS / DAEMONS
    # A request that needs a grant costs a demand with one item, its grant, and two uses in the next
    # demand.
    granted = (at("demand_per_item_bytes", 1) + at("grants_per_credit_bytes", 1) +
               2 * slope["demand_per_use_bytes"][1])
    # A request on a standing credit costs two uses in a shared demand, and the next standing
    # credit.
    standing = 2 * slope["demand_per_use_bytes"][1] + slope["grants_per_credit_bytes"][1] + (
        at("demand_per_use_bytes", 0) + at("grants_per_credit_bytes", 0)) / 4
    demand_bytes = 0.5 * granted + 0.5 * standing
    control_bytes = beat / HEARTBEAT_S + reply / HEARTBEAT_S + changes * delta + per_daemon * demand_bytes
    build = at("config_change_per_server_us", SERVERS)
    message = slope["grants_per_credit_us"][0] + slope["grants_per_credit_us"][1]
    request_us = 4 * message
    gateway_core = (changes * build + 2 * message / HEARTBEAT_S + per_daemon * request_us) / 1e4
    memory = at("config_memory_per_server_bytes", SERVERS) * 2 / 1e6
    table("Gateway (each of the 940 daemons)", [
        ("configuration in memory, old and new at a change",
         "2 x memory of 5,300 servers with 4 engines", memory, "MB", LIMIT_MB),
        ("processor time for control",
         f"{changes:.3f} changes/s x {build / 1000:.1f} ms + {per_daemon:.0f} requests/s x {request_us:.0f} us",
         gateway_core, "% of a core", LIMIT_CORE),
        ("the same at the peak of changes", f"x {PEAK} changes; adoption rests 100 times what it took, at most 2 s",
         (min(changes * PEAK, 1e6 / min(100 * build, 2e6)) * build + per_daemon * request_us) / 1e4,
         "% of a core", LIMIT_CORE),
        ("bytes for control",
         f"{beat:.0f} + {reply:.0f} B heartbeat, {changes:.3f} x {delta:.0f} B deltas, {per_daemon:.0f}/s x {demand_bytes:.0f} B credits",
         control_bytes / 1000, "KB/s", LIMIT_KBS),
        ("relay, not control: cores for tokens", f"{TOKENS / DAEMONS:.0f} tokens/s / {relay:.0f} per core",
         TOKENS / DAEMONS / relay, "cores", None),
    ])
    say("Half of the requests are taken to run on a standing credit (prompts up to 512 tokens), with four to a "
        "demand; four messages are encoded and decoded for a request. The system calls of sending are not in "
        "these slopes.\n")

    # ---- broker ------------------------------------------------------------------------------
    shards = math.ceil(ENGINES / SHARD_ENGINES)
    shard_rate = REQUESTS / shards
    demand = at("broker_demand_per_engine_us", SHARD_ENGINES)
    tick = at("broker_tick_per_engine_us", SHARD_ENGINES)
    today = (shard_rate * 2 * demand + 200 * tick) / 1e4
    planned = (shard_rate * demand + 20 * tick) / 1e4
    table(f"Broker ({shards} shards of {SHARD_ENGINES} engines, one on every {DAEMONS / shards:.1f}th daemon)", [
        ("requests a second of a shard", f"{REQUESTS} / {shards}", shard_rate, "1/s", None),
        ("processor time as built (a tick each 5 ms, two demands a request)",
         f"{shard_rate:.0f} x 2 x {demand:.0f} us + 200 x {tick:.0f} us", today, "% of a core", LIMIT_CORE),
        ("with ticks each 50 ms and uses sent with the next demand",
         f"{shard_rate:.0f} x {demand:.0f} us + 20 x {tick:.0f} us", planned, "% of a core", LIMIT_CORE),
    ])
    say("Mechanism: a lease for each (data centre, model) group, named as a pool; built, but the grouping is "
        "the operators' and not automatic. A daemon that holds a shard spends this on top of its gateway's "
        "share.\n")

    # ---- member ------------------------------------------------------------------------------
    take = at("heartbeat_take_per_instance_us", DAEMONS)
    beats = DAEMONS / HEARTBEAT_S
    lease_us = at("heartbeat_reply_per_lease_us", 0)
    table("Member: leader of the configuration group", [
        ("heartbeats", f"{beats:.0f}/s x ({take:.0f} + {lease_us:.0f}) us", beats * (take + lease_us) / 1e4,
         "% of a core", None),
        ("bytes of heartbeats in and out", f"{beats:.0f}/s x ({beat:.0f} + {reply:.0f}) B",
         beats * (beat + reply) / 1000, "KB/s", None),
        ("a change to all daemons, sent by 5 members",
         f"{DAEMONS} / 5 x {delta:.0f} B", DAEMONS / 5 * delta / 1000, "KB a member", None),
        ("time of a change: check, sync, send, build",
         f"{build / 1000:.1f} ms + sync + {DAEMONS / 5:.0f} x 0.02 ms + {build / 1000:.1f} ms",
         (2 * build / 1000 + 5 + DAEMONS / 5 * 0.02) / 1000, "s", IN_FORCE_S),
    ])
    say("The leader is one of the instances set apart, so the limit of a daemon does not bind it. Mechanism: "
        "one log group for configuration and leases; heartbeats outside the log; the lease list only on "
        "change; deltas by long poll, spread over the members. Not built: one group in each region (today a "
        "parted region without the majority keeps its version and stops changing).\n")

    say("A hosted deployment's document travels as steps: a change of one time-out in 0.8 MB (4,250 routes) is "
        "0.09 to 0.17 KB to each member and instance, 1,400 new routes are 22 to 33 KB, an instance that starts "
        f"fetches some 60 KB; {changes:.3f} small changes/s are {changes * 170:.0f} B/s an instance. A member keeps the "
        "last 512 steps (1 MB at most) and two packed documents beside the document; an instance keeps the "
        "document. Taking a step costs an instance a quarter of the time of reading all (5.6 of 21.6 ms on one "
        "core), at most a fifth of its time.\n")

    # ---- ledger ------------------------------------------------------------------------------
    named = REQUESTS * NAMED
    sync = at("log_sync_per_entry_us", BATCH)
    per_second = BATCH / (sync / 1e6)
    apply = slope["ledger_apply_per_key_us"][1]
    key_bytes = slope["ledger_memory_per_key_bytes"][1]
    log_bytes = slope["claim_log_bytes"][1] / 1 + slope["finish_log_bytes"][1]
    keys = named * RETENTION_S
    groups = math.ceil(max(named * 2 / (0.5 * per_second), keys * key_bytes / 2e9))
    table("Member: dispatch ledger", [
        ("commands a second one group syncs (elapsed)", f"{BATCH} / {sync / 1000:.2f} ms", per_second, "1/s", None),
        ("commands a second needed", f"{named:.0f} named x 2", named * 2, "1/s", per_second),
        ("processor time to apply", f"{named:.0f}/s x {apply:.1f} us", named * apply / 1e4, "% of a core", None),
        ("keys remembered", f"{named:.0f}/s x {RETENTION_S} s", keys, "keys", 400000),
        ("memory of the keys", f"{keys:.0f} x {key_bytes:.0f} B", keys * key_bytes / 1e6, "MB", None),
        ("log written", f"{named:.0f}/s x {log_bytes:.0f} B", named * log_bytes / 1e6, "MB/s", None),
        ("restart: load a snapshot of these keys",
         f"{keys:.0f} x {slope['snapshot_load_per_key_us'][1]:.1f} us",
         keys * slope["snapshot_load_per_key_us"][1] / 1e6, "s", None),
    ])
    say(f"As built there is one group with at most 400,000 keys. At that size {groups} ledger group(s) are needed, "
        "split by the hash of the key, of three members each on the instances set apart, with 2 GB of keys a "
        "group at most. Mechanism: the log, the state machine and the claims are already independent of how "
        "many groups there are; what is missing is the map from key to group in the configuration. If every "
        f"request were named, {math.ceil(groups / NAMED)} groups would be needed, more than ten instances carry; "
        "then retention has to shrink or keys have to be kept in memory of the daemons in three data centres.\n")

    hosted(sys.argv[3], say)
    fleet(sys.argv[4], say)
    say("## Failures at that size\n")
    say("| failure | how often | leases | ledger | configuration | goodput |\n|---|---|---|---|---|---|")
    lease = 3.6
    say(f"| an instance dies | {FAILURES} a day | its broker lease moves after {lease} s; credits serve on, then fair share "
        f"| its running keys become unknown | none | its open requests, {REQUESTS / DAEMONS * 1.5:.0f} at 1.5 s each |")
    say(f"| an instance restarts as planned | {RESTARTS} a day | given away at once | told before it exits | fetched anew | none |")
    say("| a rack or switch | weekly | as above for each instance in it | none while a majority stands: members go in "
        "different racks | none | the rack's engines; ejection is capped at a third of a pool |")
    say("| a data centre | a few times a year | its shards' leases move | members in at least three data centres keep "
        "the majority | none | a seventh of the engines |")
    say("| regions part for an hour | now and then | brokers in the cut-off region end with their lease; fair share there "
        "| named requests there are refused as not run | the cut-off region keeps its version, turns not ready after "
        "stale_after_ms | **today's build serves no new callers there; regional groups would** |")
    say("\nNone of this table was measured at that size; the mechanisms were proved with 3 to 7 instances (docs/PROOFS.md).")
    print("\n".join(out))


if __name__ == "__main__":
    main()
