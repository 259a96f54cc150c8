#!/usr/bin/env python3
"""Measures the time until a change is in force at all instances, and the cost of an idle instance.

Usage: inforce.py INSTANCES [CHANGES]. Starts INSTANCES instances on loopback, the first three of
which are members, and ends each by its id. Prints a Markdown row.
"""
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))
BASE = 30000


def settings(folder, n):
    text = [f"cluster: inforce", f"instance: entry-{n}", f"data_centre: dc{n % 4}",
            f"http: 127.0.0.1:{BASE + n}", f"peer: 127.0.0.1:{BASE + 1000 + n}", "members:"]
    text += [f"  entry-{m}: 127.0.0.1:{BASE + 1000 + m}" for m in (1, 2, 3)]
    if n <= 3:
        text.append(f"data_folder: {folder}/data-{n}")
    text += [f"log_file: {folder}/{n}.log", "heartbeat_ms: 1000", "lease_ms: 3000", "balancer_lag_ms: 0"]
    path = folder / f"{n}.yaml"
    path.write_text("\n".join(text) + "\n")
    return path


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid):
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


def main():
    count = int(sys.argv[1])
    changes = int(sys.argv[2]) if len(sys.argv) > 2 else 30
    folder = pathlib.Path(tempfile.mkdtemp(prefix="poppyway-inforce-"))
    processes = []
    ctl = [BUILD / "poppyway", "-i", f"127.0.0.1:{BASE + 1001}", "-i", f"127.0.0.1:{BASE + 1002}"]
    try:
        for n in range(1, count + 1):
            processes.append(subprocess.Popen([BUILD / "poppywayd", "--settings", settings(folder, n)],
                                              stderr=subprocess.DEVNULL))
        first = ROOT / "examples/stichting/declarations"
        for _ in range(100):
            live = subprocess.run(ctl + ["-o", "json", "status"], capture_output=True, text=True)
            if live.returncode == 0 and len(json.loads(live.stdout)["instances"]) == count:
                break
            time.sleep(0.2)
        subprocess.run(ctl + ["apply", first, "--wait", "60"], check=True, capture_output=True)
        times = []
        change = folder / "change.yaml"
        for i in range(changes):
            change.write_text(f"kind: workspace\nname: rijschool-noord\nweight: {1 + i % 900}\n")
            done = subprocess.run(ctl + ["apply", change, "--wait", "60"], capture_output=True, text=True)
            found = re.search(r"in force on (\d+) instances after (\d+) ms", done.stdout)
            if not found or int(found.group(1)) != count:
                print(f"change {i}: {done.stdout} {done.stderr}")
                return 1
            times.append(int(found.group(2)))
        times.sort()
        before = [cpu_seconds(p.pid) for p in processes]
        time.sleep(10)
        # Percent of a core.
        spent = [(cpu_seconds(p.pid) - b) * 10 for p, b in zip(processes, before)]
        gateways = sorted(spent[3:]) or [0]
        memory = sorted(rss_mb(p.pid) for p in processes)
        print(f"| {count} | {times[len(times) // 2]} | {times[int(len(times) * 0.99)]} | {times[-1]} "
              f"| {gateways[len(gateways) // 2]:.2f} | {max(spent[:3]):.2f} | {memory[len(memory) // 2]:.1f} |")
        return 0
    finally:
        for process in processes:
            process.send_signal(signal.SIGKILL)
        for process in processes:
            process.wait()
        subprocess.run(["rm", "-rf", folder])


if __name__ == "__main__":
    sys.exit(main())
