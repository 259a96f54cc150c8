#!/usr/bin/env bash
# Configures and builds all targets in build/, or in the folder that BUILD_DIR names.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build" -- -k 0
