#!/usr/bin/env bash
# Remeasures the slopes and regenerates docs/CAPACITY.md from them; nothing there is typed by hand. What
# sweeps of hosted deployments showed is in docs/measurements/sweep.csv, made by scripts/sweep_csv.py.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
folder=$(mktemp -d)
mkdir -p docs/measurements
"$build/bench/poppyway-slopes" "$folder/log" >docs/measurements/slopes.csv
rm -rf "$folder"
python3 scripts/capacity.py docs/measurements/slopes.csv docs/measurements/hop.md \
  docs/measurements/sweep.csv >docs/CAPACITY.md
