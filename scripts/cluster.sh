#!/usr/bin/env bash
# Functions for scripts that run instances and fake servers on loopback. Source this file.
# The ids of all started processes are kept, and only these processes are stopped.

cluster_pids=()
cluster_base=${CLUSTER_BASE_PORT:-20100}

# cluster_settings FOLDER NAME NUMBER DATA_CENTRE MEMBER(yes|no): writes one settings file.
cluster_settings() {
  local folder=$1 name=$2 number=$3 data_centre=$4 member=$5
  mkdir -p "$folder"
  {
    echo "cluster: demo"
    echo "instance: $name"
    echo "data_centre: $data_centre"
    echo "http: 127.0.0.1:$((cluster_base + number))"
    echo "peer: 127.0.0.1:$((cluster_base + 50 + number))"
    echo "members:"
    for m in 1 2 3; do echo "  entry-$m: 127.0.0.1:$((cluster_base + 50 + m))"; done
    [ "$member" = yes ] && echo "data_folder: $folder/data-$name"
    echo "log_file: $folder/$name.log"
    echo "lease_ms: 1500"
    echo "heartbeat_ms: 250"
    echo "balancer_lag_ms: 1000"
  } >"$folder/$name.yaml"
}

# cluster_start COMMAND...: starts a process in the background.
cluster_start() {
  "$@" &
  cluster_pids+=($!)
}

# cluster_ready PORT...: waits until every instance is ready, up to 15 s for each.
cluster_ready() {
  local port
  for port in "$@"; do
    for _ in $(seq 150); do
      { exec 9<>"/dev/tcp/127.0.0.1/$port" && printf 'GET /health/ready HTTP/1.0\r\n\r\n' >&9 &&
        head -1 <&9 | grep -q ' 200 '; } 2>/dev/null && continue 2
      sleep 0.1
    done
    echo "port $port did not become ready" >&2
    return 1
  done
}

# cluster_stop: sends SIGTERM to all started processes and waits until they exit.
cluster_stop() {
  local pid
  for pid in "${cluster_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${cluster_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  cluster_pids=()
}

# fake_arguments FOLDER: prints options for a fake server process that serves all servers declared
# there.
fake_arguments() {
  python3 - "$1" <<'PY'
import re, sys, pathlib
for document in re.split(r'^---$', (pathlib.Path(sys.argv[1]) / '20-servers.yaml').read_text(), flags=re.M):
    generation = re.search(r'generation: (\S+)', document)
    for port in re.findall(r'port: (\d+)', document):
        print('--engine' if generation else '--service')
        print(f'{port}:{generation.group(1)}' if generation else port)
PY
}
