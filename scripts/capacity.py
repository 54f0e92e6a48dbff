#!/usr/bin/env python3
"""Measures how cost grows with load and size for docs/CAPACITY.md.

Fleets of real nodes run beside stand-ins. For fleets larger than one machine
holds, the capacity tool runs the real control objects of the whole fleet.
Writes the tables and the plot of the page.
Usage: capacity.py BUILD [--quick]
"""
import asyncio
import concurrent.futures
import json
import math
import os
import shutil
import subprocess
import sys
import tempfile
import time

import scenario

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
# The deployment size that the page calls full size.
TARGET_NODES, TARGET_SERVERS, TARGET_QUERIES_PER_S, TARGET_FAN_OUT = \
    560, 3600, 72000, 87
CHANGES_PER_DAY, DATA_CENTRES = 1500, 8
# Percent of a core, MiB a node, control bytes a second and node, and seconds
# until a change is in use at every node.
LIMITS = {"cpu": 2.8, "memory": 128.0, "bytes": 9000.0, "spread": 11.0}
PROCESS_FLEET_SIZES = [8, 16]
OBJECT_FLEET_SIZES = [16, 32, 64, 140, 280, 560]
IDLE_S = 8
LOAD_S = 10
QUERY_RATES = [10, 20, 30]  # queries a second
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def fit_line(points):
    """Fits a line by least squares. Returns the intercept, the slope and the
    standard error of the slope."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
    intercept = mean_y - slope * mean_x
    sum_squares_residual = sum((y - intercept - slope * x) ** 2
                               for x, y in points)
    error = math.sqrt(sum_squares_residual / max(1, n - 2) / sum_squares_x)
    return intercept, slope, error


def write_deployment(folder, hosts):
    """Writes an example of the given number of hosts over 8 data centres."""
    os.makedirs(folder)
    asked = " # asked by Capacity T. : measurement\n"
    with open(os.path.join(folder, "rules.txt"), "w") as out:
        for number in range(DATA_CENTRES):
            out.write("data-centre dc-%d in%s" % (number, asked))
        out.write("rights lease 3s" + asked)
        for number in range(1, 21):
            out.write("service index/%02d servers 127.21.0.%d:8100,127.21.0.%d:"
                      "8100 slots 3 connections 30 connect-cost 6ms cold-slots "
                      "1%s" % (number, 2 * number, 2 * number + 1, asked))
        out.write("snapshot index 7 services 01..20" + asked)
        out.write("class search application index deadline 900ms priority 5 "
                  "wait coverage idempotent yes fan-out all" + asked)
    with open(os.path.join(folder, "hosts.json"), "w") as out:
        json.dump([{"name": "host-%d" % n, "data_centre":
                    "dc-%d" % (n % DATA_CENTRES), "address": "127.20.0.1",
                    "http_port": scenario.HTTP_PORT,
                    "peer_port": scenario.PEER_PORT, "state": "live"}
                   for n in range(hosts)], out)


def cpu_seconds(pid):
    fields = open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mib(pid):
    for line in open("/proc/%d/status" % pid):
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0


async def sum_metric(fleet, name):
    """Sums a metric over all nodes."""
    total = 0.0
    for host in fleet.hosts:
        _, raw = await scenario.http_request(
            host["real"], scenario.HTTP_PORT, "GET", "/metrics")
        for line in raw.decode().splitlines():
            if line.startswith(name + " ") or line.startswith(name + "{"):
                total += float(line.rsplit(" ", 1)[1])
    return total


def node_pids(fleet):
    return [fleet.processes[h["name"]].pid for h in fleet.hosts]


class RunningFleet:
    """A fleet of real processes, started and stopped by an async with block."""

    def __init__(self, build, hosts):
        self.folder = tempfile.mkdtemp(prefix="toucanridge-capacity-")
        example = os.path.join(self.folder, "example")
        write_deployment(example, hosts)
        # In larger fleets a node takes longer to learn of hosts in every data
        # centre.
        scenario.READY_LIMIT_S = 60
        self.fleet = scenario.Fleet(build, 100, self.folder, example,
                                    ["--warm"])

    async def __aenter__(self):
        try:
            await self.fleet.start()
        except BaseException:
            self.fleet.stop()
            raise
        return self.fleet

    async def __aexit__(self, *_):
        self.fleet.stop()
        shutil.rmtree(self.folder)


async def measure_idle(build, hosts):
    """Measures the idle cost of a node in a fleet of real processes, and the
    time until a change of the rules is in use at every node."""
    async with RunningFleet(build, hosts) as fleet:
        await asyncio.sleep(5)
        pids = node_pids(fleet)
        cpu = sum(cpu_seconds(p) for p in pids)
        sent = await sum_metric(fleet, "toucanridge_control_sent_bytes_total")
        began = time.monotonic()
        await asyncio.sleep(IDLE_S)
        took = time.monotonic() - began
        cpu = sum(cpu_seconds(p) for p in pids) - cpu
        sent = await sum_metric(
            fleet, "toucanridge_control_sent_bytes_total") - sent
        memory = sum(resident_mib(p) for p in pids) / hosts
        fleet.rules = fleet.rules.replace("rights lease 3s", "rights lease 4s")
        changed = time.monotonic()
        fleet.write_rules()
        while min([await revision(fleet, h) for h in fleet.hosts]) < 2:
            await asyncio.sleep(0.05)
        return {"idle_cpu": 100 * cpu / hosts / took,
                "idle_memory": memory, "idle_bytes": sent / hosts / took,
                "real_spread": time.monotonic() - changed}


async def revision(fleet, host):
    _, raw = await scenario.http_request(
        host["real"], scenario.HTTP_PORT, "GET", "/v1/status")
    return json.loads(raw).get("view", {}).get("rules_revision", 0)


async def measure_load(build, rate):
    """Measures the CPU time of 8 nodes under a load of fan-out queries."""
    async with RunningFleet(build, 8) as fleet:
        callers = scenario.Callers(fleet, "search", rate, None, False, seed=1)
        pids = node_pids(fleet)
        cpu = sum(cpu_seconds(p) for p in pids)
        before = await fleet.backend_stats()
        await callers.run(time.monotonic(), LOAD_S)
        cpu = sum(cpu_seconds(p) for p in pids) - cpu
        after = await fleet.backend_stats()
        requests = sum(s["requests"] for s in after) - \
            sum(s["requests"] for s in before)
        whole = sum(a["outcome"] == "whole" for a in callers.answers)
        return {"sub_requests": requests / LOAD_S, "cpu": cpu / LOAD_S,
                "whole": whole / max(1, len(callers.answers)),
                "server_connections": max(s["peak_open"] for s in after),
                "memory": sum(resident_mib(p) for p in pids) / 8}


def measure_control_objects(build):
    """Runs the capacity tool. Returns its figures as {name: [(x, value)]}."""
    tool = os.path.join(build, "capacity")
    commands = [[tool]] + [[tool, "--nodes", str(n)]
                           for n in OBJECT_FLEET_SIZES]
    object_results = {}
    for command in commands:
        output = subprocess.run(command, capture_output=True, text=True,
                                check=True)
        for line in output.stdout.splitlines():
            name, x, value, _ = line.split(",")
            object_results.setdefault(name, []).append((float(x), float(value)))
    return object_results


def plot_control_traffic(object_results, process_results, folder):
    """Plots control bytes and the time until a change is in use everywhere
    against the number of nodes, into docs/capacity.svg."""
    data = os.path.join(folder, "points.txt")
    with open(data, "w") as out:
        for name in ("control_bytes", "change_spread"):
            for x, y in object_results[name]:
                out.write("%g %g\n" % (x, y))
            out.write("\n\n")
        for n in sorted(process_results):
            out.write("%d %g\n" % (n, process_results[n]["idle_bytes"]))
    script = """
set terminal svg size 720,420
set output '%s'
set logscale x 2
set xlabel 'nodes'
set ylabel 'control bytes a second and node'
set y2label 'time for a change to be in force everywhere, s'
set ytics nomirror
set y2tics
set yrange [0:1000]
set y2range [0:11]
set key left top
plot '%s' index 0 with linespoints title 'bytes, control objects', \\
     '%s' index 2 with linespoints title 'bytes, real processes', \\
     '%s' index 1 axes x1y2 with linespoints title 'spread time'
""" % (os.path.join(ROOT, "docs", "capacity.svg"), data, data, data)
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


# The value at the largest size measured.
def last_value(object_results, name):
    return object_results[name][-1][1]


def format_tables(object_results, process_results, load_results):
    """Formats the measured part of the page as Markdown."""
    lines = ["| nodes | source | control B/s | CPU % | memory MiB | change in "
             "force, s | platform reads/s |", "|---|---|---|---|---|---|---|"]
    for index, (nodes, value) in enumerate(object_results["control_bytes"]):
        lines.append("| %d | control objects | %.0f | %.4f | %.2f | %.1f | %.1f |" % (
            nodes, value, object_results["control_cpu"][index][1],
            object_results["control_memory"][index][1] / 1024,
            object_results["change_spread"][index][1],
            object_results["platform_reads"][index][1]))
    for nodes in sorted(process_results):
        row = process_results[nodes]
        lines.append("| %d | real processes, idle | %.0f | %.2f | %.1f | %.1f | |" % (
            nodes, row["idle_bytes"], row["idle_cpu"], row["idle_memory"],
            row["real_spread"]))
    lines += ["", "| size | value at full size | limit |", "|---|---|---|"]
    cpu = max(process_results[n]["idle_cpu"] for n in process_results)
    memory = max(process_results[n]["idle_memory"] for n in process_results)
    change = last_value(object_results, "change_cpu") + \
        last_value(object_results, "change_cpu_by_servers")
    change_share = 100 * change / 1000 * CHANGES_PER_DAY / 86400
    objects_memory = (last_value(object_results, "control_memory") +
                      last_value(object_results, "control_memory_by_servers") +
                      last_value(object_results, "view_memory")) / 1024
    lines.append("| control traffic a node | %.0f B/s | %.0f B/s |" % (
        last_value(object_results, "control_bytes"), LIMITS["bytes"]))
    lines.append("| the same while a data centre of 69 hosts dies | %.0f B/s | "
                 "%.0f B/s |" % (
                     last_value(object_results, "data_centre_bytes"),
                     LIMITS["bytes"]))
    lines.append("| idle CPU of a process, largest fleet average measured | "
                 "%.2f %% | %.1f %% |" % (cpu, LIMITS["cpu"]))
    lines.append("| CPU for %d changes a day of a %.0f KB file | %.3f %% | in the "
                 "%.1f %% |" % (
                     CHANGES_PER_DAY,
                     last_value(object_results, "rules_bytes") / 1000,
                     change_share, LIMITS["cpu"]))
    lines.append("| idle memory of a process, largest fleet average measured "
                 "| %.0f MiB | %.0f MiB |" % (memory, LIMITS["memory"]))
    lines.append("| control objects for %d nodes and %d servers | %.1f MiB | in "
                 "the %.0f MiB |" % (TARGET_NODES, TARGET_SERVERS,
                                     objects_memory, LIMITS["memory"]))
    lines.append("| change in force everywhere | %.1f s | %.0f s |" % (
        last_value(object_results, "change_spread"), LIMITS["spread"]))
    lines.append("| platform reads, %d data centres | %.1f /s | 2000 /s |" % (
        DATA_CENTRES, last_value(object_results, "platform_reads")))
    _, slope, error = fit_line([(result["sub_requests"], result["cpu"])
                                for result in load_results])
    node_rate = TARGET_QUERIES_PER_S * TARGET_FAN_OUT / TARGET_NODES
    lines += ["", "| sub-requests/s, 8 nodes | CPU cores | whole answers | peak "
              "connections at a server | memory a node, MiB |",
              "|---|---|---|---|---|"]
    for result in load_results:
        lines.append("| %.0f | %.3f | %.3f | %d | %.1f |" % (
            result["sub_requests"], result["cpu"], result["whole"],
            result["server_connections"], result["memory"]))
    lines += ["", "| data plane at full size | value |", "|---|---|",
              "| CPU a sub-request, entry and holder together | %.0f us +- %.0f |"
              % (1e6 * slope, 1e6 * error),
              "| sub-requests a node | %.0f /s |" % node_rate,
              "| cores a node for traffic | %.2f +- %.2f |" % (
                  slope * node_rate, error * node_rate)]
    return "\n".join(lines) + "\n"


def write_page(text):
    """Replaces the part of the page between its two markers."""
    path = os.path.join(ROOT, "docs", "CAPACITY.md")
    begin, end = "<!-- measured -->\n", "<!-- end of measured -->\n"
    page = open(path).read()
    head, _, rest = page.partition(begin)
    tail = rest.partition(end)[2]
    with open(path, "w") as out:
        out.write(head + begin + text + end + tail)


async def measure_processes(build, quick):
    process_results = {}
    for hosts in PROCESS_FLEET_SIZES[:2] if quick else PROCESS_FLEET_SIZES:
        process_results[hosts] = await measure_idle(build, hosts)
        print("idle", hosts, process_results[hosts], flush=True)
    load_results = []
    for rate in QUERY_RATES[:2] if quick else QUERY_RATES:
        load_results.append(await measure_load(build, rate))
        print("load", rate, load_results[-1], flush=True)
    return process_results, load_results


def main():
    if len(sys.argv) < 2:
        print(__doc__)
        return 2
    build = sys.argv[1]
    # The capacity tool takes minutes and keeps one core busy, so it runs while
    # the processes are measured.
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        object_results = pool.submit(measure_control_objects, build)
        process_results, load_results = asyncio.run(
            measure_processes(build, "--quick" in sys.argv))
        object_results = object_results.result()
    text = format_tables(object_results, process_results, load_results)
    print(text)
    if "--quick" not in sys.argv:
        with tempfile.TemporaryDirectory() as folder:
            plot_control_traffic(object_results, process_results, folder)
        write_page(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
