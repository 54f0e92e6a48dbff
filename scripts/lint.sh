#!/usr/bin/env bash
# Runs clang-tidy over every source file. Exits with 1 when it reports a fault.
set -eu
build=${1:-build}
mkdir -p "$build/lint"
git ls-files 'src/*.cpp' 'platform/*.cpp' 'tools/*.cpp' 'tests/*.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy -quiet -p "$build" \
    >"$build/lint/out.txt" 2>/dev/null || true
grep -E 'warning:|error:' "$build/lint/out.txt" | sort -u >"$build/lint/faults.txt" || true
cat "$build/lint/faults.txt"
[ ! -s "$build/lint/faults.txt" ]
