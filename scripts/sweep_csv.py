#!/usr/bin/env python3
"""Converts the table of a sweep over 30, 100 and 300 machines into CSV rows for docs/CAPACITY.md.

Usage: sweep_csv.py DEPLOYMENT <REPORT >>docs/measurements/sweep.csv
A line of the table has the form "what   middle / busiest at each size   power   carried on".
"""
import csv
import re
import sys

FIELDS = ["deployment", "what", "at_30", "at_100", "at_300", "power"]
ROW = re.compile(r"^(?P<what>[a-z][^/]*?)\s{2,}(?P<sizes>(?:[\d.]+ / [\d.]+\s+){3})(?P<power>-?[\d.]+)\s")


def main():
    writer = csv.DictWriter(sys.stdout, FIELDS)
    for line in sys.stdin:
        row = ROW.match(line)
        if not row:
            continue
        busiest = re.findall(r"[\d.]+ / ([\d.]+)", row["sizes"])
        writer.writerow(dict(zip(FIELDS, [sys.argv[1], row["what"], *busiest, row["power"]])))


if __name__ == "__main__":
    main()
