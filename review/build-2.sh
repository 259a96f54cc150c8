#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are Python programs of this repository
# (review/lib-2, soak/fleet.py, soak/stand_ins.py) that use the standard library alone, so nothing
# is compiled: this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in soak/fleet.py soak/stand_ins.py review/lib-2/*.py review/6/*.py review/7/*.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file"
done
