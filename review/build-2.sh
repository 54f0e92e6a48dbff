#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python programs: nothing has to be
# compiled. Checks that the interpreter reads them.
set -eu
cd "$(dirname "$0")"
for file in standins_2.py [6-9]/case.py 10/case.py; do
  [ ! -e "$file" ] || python3 -B -c \
    'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
