#!/usr/bin/env bash
# Runs clang-tidy over every source of the compilation database.
set -eu
build=${1:-build}
git ls-files 'src/*.cpp' 'tools/*.cpp' 'tests/*.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy -quiet -p "$build" 2>&1 |
  grep -E 'warning:|error:' | grep -v 'warnings treated as errors' | sort -u > "$build/lint.txt" || true
cat "$build/lint.txt"
[ ! -s "$build/lint.txt" ]
