#!/usr/bin/env bash
# Installs the missing Debian packages that poppyway needs to build, check and test. No other file
# lists them.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy clang libclang-rt-14-dev python3
  libh2o-evloop-dev libhttp-parser-dev libssl-dev zlib1g-dev
  libthrift-dev libyaml-cpp-dev libexpected-dev nlohmann-json3-dev libxxhash-dev
  libboost-dev libboost-log-dev libboost-program-options-dev libboost-thread-dev
  libboost-filesystem-dev libboost-system-dev
  catch2 libtrompeloeil-cpp-dev
)
missing=()
for name in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'ok installed' || missing+=("$name")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=""
[ "$(id -u)" = 0 ] || as_root=sudo
$as_root apt-get update -qq
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
