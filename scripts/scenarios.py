#!/usr/bin/env python3
"""Runs all scenarios, a few at a time, and writes docs/proofs.md.

Usage: scenarios.py BUILD [--jobs N] [NAME-PART ...]
With name parts only the matching scenarios run and the page stays as it is.
"""
import concurrent.futures
import glob
import os
import queue
import subprocess
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
PROMISES = ["one-snapshot", "true-coverage", "cold-server", "data-centre-out",
            "own-answer", "true-refusal", "at-most-once", "leaving-server",
            "graceful-shutdown", "config-monotonic", "never-stalled",
            "never-overrun"]
FAULTS = ["straggler", "replica-lost", "repartition", "turned-cold",
          "platform-down", "platform-stale", "pause", "partition",
          "poison-request", "silent-connection", "kill", "operator-race"]
# Scenarios that run at the same time each have two networks of 127/8.
FIRST_NET = 70


def write_page(results):
    """Writes the promise x fault table and the output of each scenario."""
    def cell_text(promise, fault):
        found = [ok for name, (ok, _) in results.items()
                 if name.split("--")[0] == promise and
                 fault in name.split("--")[1].split("+")]
        if not found:
            return "-"
        return "green" if all(found) else "red"
    with open(os.path.join(ROOT, "docs", "proofs.md"), "w") as out:
        out.write("# Proofs\n\nWritten by `make scenarios` from the files in "
                  "tests/scenarios. A cell is green when\nevery scenario of "
                  "that promise and fault passed, red when one failed, and -\n"
                  "when nothing proves it yet.\n\n")
        out.write("| promise | " + " | ".join(FAULTS) + " |\n")
        out.write("|---" * (len(FAULTS) + 1) + "|\n")
        for promise in PROMISES:
            out.write("| %s | %s |\n" % (promise, " | ".join(
                cell_text(promise, fault) for fault in FAULTS)))
        out.write("\n## What the runs printed\n\n```\n")
        for name in sorted(results):
            # The log directory differs from run to run.
            out.write("".join(
                line for line in results[name][1].splitlines(True)
                if not line.startswith("  logs kept")))
        out.write("```\n")


def main():
    arguments = sys.argv[1:]
    jobs = 3
    if "--jobs" in arguments:
        index = arguments.index("--jobs")
        jobs = int(arguments[index + 1])
        del arguments[index:index + 2]
    build, name_parts = arguments[0], arguments[1:]
    files = sorted(glob.glob(os.path.join(ROOT, "tests/scenarios/*.scenario")))
    files = [f for f in files
             if not name_parts or
             any(p in os.path.basename(f) for p in name_parts)]
    free_nets = queue.Queue()
    for number in range(jobs):
        free_nets.put(FIRST_NET + 2 * number)

    def run(path):
        net = free_nets.get()
        try:
            result = subprocess.run(
                [sys.executable, os.path.join(ROOT, "scripts/scenario.py"),
                 build, path, "--net", str(net)],
                capture_output=True, text=True, timeout=180, check=False)
            text, ok = result.stdout + result.stderr, result.returncode == 0
        except subprocess.TimeoutExpired:
            text, ok = os.path.basename(path) + \
                "\n  ERROR did not end within 180 s\n", False
        finally:
            free_nets.put(net)
        print(text, end="", flush=True)
        return os.path.basename(path)[:-len(".scenario")], (ok, text)

    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = dict(pool.map(run, files))
    if not name_parts:
        write_page(results)
    failed = sorted(n for n, (ok, _) in results.items() if not ok)
    print("%d passed, %d failed" % (len(results) - len(failed), len(failed)))
    for name in failed:
        print("failed:", name)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
