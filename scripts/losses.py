#!/usr/bin/env python3
"""Classifies lost and late requests from instances' logs.

Reads log lines (a leading simulated time and instance name, as simulations print them, are skipped)
and counts the requests by their maximum number of output tokens and their outcome: in time, late and
by which cause, rejected or failed with which code, and whether at the client's first attempt or a
retry. With --by-second it also prints the used slots and the outcomes of each second.

usage: losses.py [--by-second] AIMS LOG
AIMS is a list like "3840:400:200:15000,0:100:0:1500" of TOKENS:FIRST:PAUSE:TIMEOUT. For requests with
that maximum number of output tokens, it gives the target for the first event, the longest pause that
is in time (0 for no limit) and the timeout of a first attempt, in milliseconds.
"""
import argparse
import collections
import re

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
FIRST_TRY_SLACK_MS = 40  # A first attempt has used at most this much of its timeout on arrival.


def read_aims(text):
    aims = {}
    for part in text.split(","):
        tokens, aim, pause, timeout = (int(x) for x in part.split(":"))
        aims[tokens] = (aim, pause, timeout)
    return aims


def read_requests(path):
    with open(path, errors="replace") as lines:
        for line in lines:
            if "event=request " not in line:
                continue
            fields = dict(FIELD.findall(line))
            stamp = fields["time"].split("T")[1].split(":")
            at = int(stamp[0]) * 3600 + int(stamp[1]) * 60 + float(stamp[2])
            yield at, fields


def outcome(fields, aim, pause, timeout):
    allowed = int(fields["allowed_ms"])
    first_try = allowed > timeout - FIRST_TRY_SLACK_MS
    before = 0 if first_try else timeout - allowed
    which = "first try" if first_try else "later try"
    if fields["code"] != "ok":
        return f'{fields["code"]}, {which}'
    if int(fields["first_ms"]) + before > aim:
        return f"late, {which}: " + ("waited" if int(fields["sent_ms"]) * 2 > aim else "first event")
    if pause and int(fields["pause_ms"]) > pause:
        return "late by a pause"
    return "in time"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--by-second", action="store_true")
    parser.add_argument("aims")
    parser.add_argument("log")
    options = parser.parse_args()
    aims = read_aims(options.aims)
    by_kind = collections.defaultdict(collections.Counter)
    by_second = collections.defaultdict(collections.Counter)
    busy = collections.Counter()
    begun = None
    for at, fields in read_requests(options.log):
        known = aims.get(int(fields["most_tokens"]))
        if known is None:
            continue
        begun = at if begun is None else begun
        what = outcome(fields, *known)
        by_kind[int(fields["most_tokens"])][what] += 1
        arrived = at - int(fields["total_ms"]) / 1000
        by_second[int(arrived - begun)][what] += 1
        if int(fields["sent_ms"]) < 0 or fields["prompt_tokens"] == "0":
            continue
        sent = arrived + int(fields["sent_ms"]) / 1000 - begun
        end = at - begun
        while sent < end:
            step = min(end, int(sent) + 1)
            busy[int(sent)] += step - sent
            sent = step
    for kind, counts in sorted(by_kind.items()):
        print(kind, dict(counts.most_common()))
    if options.by_second:
        for second, counts in sorted(by_second.items()):
            print(f"{second:4d} places {busy[second]:6.1f}", dict(counts.most_common(6)))


if __name__ == "__main__":
    main()
