#!/usr/bin/env bash
# Exits with 1 when the rule was broken, 0 when it held, 2 when it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 3 118 python3 -B review/10/case.py
