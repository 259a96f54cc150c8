#!/usr/bin/env bash
# Regenerates packages/wire/gen from poppyway.thrift. It needs thrift-compiler, which the build does
# not.
set -euo pipefail
cd "$(dirname "$0")/../packages/wire"
thrift -gen cpp:no_skeleton,moveable_types -out gen poppyway.thrift
rm -f gen/*constants*
