#!/bin/sh
# Build the stand-ins of the cases 6 to 10: they use Python's standard library
# alone, so there is nothing to compile; check that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib2/*.py [0-9]*/case.py; do
    case "$file" in [1-5]/*) continue ;; esac
    [ -f "$file" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
