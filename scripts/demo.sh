#!/usr/bin/env bash
# Runs both example deployments end to end on loopback: installs packages, builds, starts fake
# servers and seven instances, applies the declarations, runs the load of a session opening, prints
# goodput by tier and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install_deps.sh
./scripts/build.sh
build=${BUILD_DIR:-build}
. scripts/cluster.sh
trap cluster_stop EXIT

run_deployment() {
  local example=$1 centres=(${2})
  local folder
  folder=$(mktemp -d)
  echo "== $example: starting stand-ins and 7 instances"
  mapfile -t fakes < <(fake_arguments "examples/$example/declarations")
  cluster_start "$build/fakes/poppyway-fake" "${fakes[@]}" --odd-chunks
  local ports=() targets=() n
  for n in 1 2 3 4 5 6 7; do
    cluster_settings "$folder" "entry-$n" "$n" "${centres[$(((n - 1) % ${#centres[@]}))]}" \
      "$([ "$n" -le 3 ] && echo yes || echo no)"
    cluster_start "$build/poppywayd" --settings "$folder/entry-$n.yaml"
    ports+=($((cluster_base + n)))
    targets+=(--target "127.0.0.1:$((cluster_base + n))")
  done
  local ctl=("$build/poppyway" --instance "127.0.0.1:$((cluster_base + 51))" --instance "127.0.0.1:$((cluster_base + 52))")
  for _ in $(seq 100); do "${ctl[@]}" status >/dev/null 2>&1 && break; sleep 0.1; done
  echo "== $example: applying the declarations"
  "${ctl[@]}" apply "examples/$example/declarations" --wait 20 | tail -2
  cluster_ready "${ports[@]}"
  "${ctl[@]}" status
  echo
  echo "== $example: session opening"
  "$build/poppyway" load "examples/$example/opening.yaml" "${targets[@]}"
  cluster_stop
  rm -rf "$folder"
}

run_deployment stichting "utrecht-a utrecht-b amersfoort nieuwegein"
run_deployment maly-uver "ba-hall1 ba-hall2 tt-hall nr-hall"
echo "== demo: done"
