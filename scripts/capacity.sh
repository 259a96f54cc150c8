#!/usr/bin/env bash
# Measures the slopes and regenerates docs/CAPACITY.md from them; that page is not edited by hand.
# The results of sweeps of hosted deployments are read from docs/measurements/sweep.csv, which
# scripts/sweep_csv.py writes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
folder=$(mktemp -d)
mkdir -p docs/measurements
"$build/bench/poppyway-slopes" "$folder/log" >docs/measurements/slopes.csv
rm -rf "$folder"
python3 scripts/capacity.py docs/measurements/slopes.csv docs/measurements/hop.md \
  docs/measurements/sweep.csv docs/measurements/fleet.csv >docs/CAPACITY.md
