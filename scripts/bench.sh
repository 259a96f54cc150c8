#!/usr/bin/env bash
# The policy benchmark with its bounds; writes docs/measurements/policy.{md,csv} and a plot.
# With --quick: shorter runs, bounds only, nothing written (as CI runs it).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
if [ "${1:-}" = --quick ]; then
  exec "$build/bench/poppyway-bench" --quick --bounds-only
fi
mkdir -p docs/measurements
"$build/bench/poppyway-bench" --markdown docs/measurements/policy.md --csv docs/measurements/policy.csv
python3 scripts/plot.py docs/measurements/policy.csv docs/measurements/goodput.svg
