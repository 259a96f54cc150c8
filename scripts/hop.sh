#!/usr/bin/env bash
# Compares requests through a gateway with requests sent directly to the fake server, in one run:
# time to the first token, tokens per second, processor time and memory of the instance. Prints
# Markdown.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
export CLUSTER_BASE_PORT=${CLUSTER_BASE_PORT:-20600}
. scripts/cluster.sh
trap cluster_stop EXIT
folder=$(mktemp -d)
seconds=${1:-4}
engines=4
declarations=$folder/declarations.yaml
{
  printf 'kind: pool\nname: models\n---\nkind: server\nname: s\npool: models\naddress: 127.0.0.1\nengines:\n'
  for e in $(seq $engines); do printf '  - {name: e%s, port: %s, slots: 1024, prefill_tokens: 10000000}\n' "$e" $((cluster_base + 80 + e)); done
  printf -- '---\nkind: event\nname: any\npool: models\ntier: 0\ndeadline_ms: 60000\n'
} >"$declarations"
fakes=()
for e in $(seq $engines); do fakes+=(--engine "$((cluster_base + 80 + e)):instant"); done
cluster_start "$build/fakes/poppyway-fake" "${fakes[@]}"
for n in 1 2 3; do
  cluster_settings "$folder" "entry-$n" "$n" dc yes
  cluster_start "$build/poppywayd" --settings "$folder/entry-$n.yaml"
done
# The measured instance holds no broker lease and keeps no log: it is a gateway without a disk.
cluster_settings "$folder" entry-4 4 dc no
cluster_start "$build/poppywayd" --settings "$folder/entry-4.yaml"
daemon=${cluster_pids[-1]}
ctl=("$build/poppyway" --instance "127.0.0.1:$((cluster_base + 51))" --instance "127.0.0.1:$((cluster_base + 52))")
for _ in $(seq 100); do "${ctl[@]}" status >/dev/null 2>&1 && break; sleep 0.1; done
"${ctl[@]}" apply "$declarations" --wait 20 >/dev/null
cluster_ready $((cluster_base + 4))
sleep 2
field() { sed "s/.* $1=\([^ ]*\).*/\1/" <<<" $2 "; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$daemon/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$daemon/status"; }
idle=$(rss_kb)
echo "| streams | tokens each | direct p50 / p99 us | through poppyway p50 / p99 us | added p50 us | ratio p50 | tokens/s direct | tokens/s through | instance cores | tokens/s per core |"
echo "|---|---|---|---|---|---|---|---|---|---|"
for row in "1 1" "1 64" "64 64" "512 64"; do
  read -r streams tokens <<<"$row"
  direct=$("$build/bench/poppyway-hop" "127.0.0.1:$((cluster_base + 81))" "$streams" "$seconds" "$tokens")
  before=$(cpu_ticks)
  through=$("$build/bench/poppyway-hop" "127.0.0.1:$((cluster_base + 4))" "$streams" "$seconds" "$tokens")
  after=$(cpu_ticks)
  python3 - "$streams" "$tokens" "$seconds" "$((after - before))" "$direct" "$through" <<'PY'
import sys
streams, tokens, seconds, ticks = sys.argv[1], sys.argv[2], float(sys.argv[3]), float(sys.argv[4])
direct, through = (dict(p.split("=") for p in line.split()) for line in sys.argv[5:7])
cores = ticks / 100 / seconds
d50, t50 = float(direct["first_p50_us"]), float(through["first_p50_us"])
rate = float(through["tokens_per_s"])
print(f"| {streams} | {tokens} | {d50:.0f} / {float(direct['first_p99_us']):.0f} | {t50:.0f} / {float(through['first_p99_us']):.0f} "
      f"| {t50 - d50:.0f} | {t50 / max(d50, 1):.2f} | {float(direct['tokens_per_s']):.0f} | {rate:.0f} | {cores:.2f} | {rate / max(cores, 0.01):.0f} |")
if through["failures"] != "0":
    print(f"\n{through['failures']} requests failed in this row.\n")
PY
done
python3 - "$((cluster_base + 4))" "$daemon" "$idle" <<'PY'
import socket, sys, time
port, pid, idle = int(sys.argv[1]), sys.argv[2], int(sys.argv[3])
def rss():
    return int(next(l for l in open(f"/proc/{pid}/status") if l.startswith("VmRSS")).split()[1])
before = rss()
held = []
for _ in range(2000):
    s = socket.create_connection(("127.0.0.1", port))
    s.sendall(b"GET /health/live HTTP/1.1\r\nhost: t\r\n\r\n")
    s.recv(4096)
    held.append(s)
time.sleep(0.5)
print(f"\nMemory of the instance: {idle} KiB at rest before the load, {before} KiB after it; "
      f"{(rss() - before) * 1024 / len(held):.0f} bytes for each of {len(held)} idle connections.")
PY
rm -rf "$folder"
