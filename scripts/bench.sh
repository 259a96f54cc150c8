#!/usr/bin/env bash
# Runs the policy benchmark, checks its bounds and writes docs/measurements/policy.{md,csv} and a
# plot. With --quick, as in CI, it runs shorter scenarios, prints only the bounds and writes no
# files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
if [ "${1:-}" = --quick ]; then
  exec "$build/bench/poppyway-bench" --quick --bounds-only
fi
mkdir -p docs/measurements
"$build/bench/poppyway-bench" --markdown docs/measurements/policy.md --csv docs/measurements/policy.csv
python3 scripts/plot.py docs/measurements/policy.csv docs/measurements/goodput.svg
