#!/usr/bin/env bash
# Fuzzes all decoders for SECONDS (10 by default), starting from the committed corpus and a fixed
# seed. An input that makes a decoder fail is kept in the fuzzer's build folder and fails the run.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
build=${FUZZ_BUILD_DIR:-build-fuzz}
./scripts/install_deps.sh
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=None -DCMAKE_CXX_COMPILER=clang++ \
  -DPOPPYWAY_FUZZ=ON -DPOPPYWAY_ONLY_DAEMON=ON >/dev/null
cmake --build "$build" --target poppyway_fuzz
# Inputs that reach new code; emptied at the start so that runs are comparable.
grown="$build/grown"
rm -rf "$grown"
mkdir -p "$grown"
"$build/fuzz/poppyway_fuzz" -seed=1 -max_total_time="$seconds" -max_len=4096 -timeout=5 \
  -rss_limit_mb=2048 -print_final_stats=1 -artifact_prefix="$build/" "$grown" fuzz/corpus
