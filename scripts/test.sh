#!/usr/bin/env bash
# Installs missing packages, builds, and runs all tests except those in KNOWN-RED.txt, which it
# prints.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install_deps.sh
./scripts/build.sh
build=${BUILD_DIR:-build}
known=""
if [ -e KNOWN-RED.txt ]; then
  known=$(grep -ve '^#' -e '^$' KNOWN-RED.txt | cut -d'|' -f1 | sed 's/ *$//' | paste -sd'|' || true)
  echo "Known red (see KNOWN-RED.txt):"; cat KNOWN-RED.txt
fi
ctest --test-dir "$build" --output-on-failure -j 4 ${known:+-E "^($known)\$"}
