#!/usr/bin/env bash
# Runs clang-format and clang-tidy; fails if one of them reports a problem.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
git ls-files -- '*.h' '*.cc' | grep -v '/gen/' | xargs clang-format --dry-run --Werror
git ls-files -- 'packages/*.cc' 'apps/*.cc' 'fakes/*.cc' 'bench/*.cc' | grep -v '/gen/' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated' >&2 || true)
echo "lint: clean"
