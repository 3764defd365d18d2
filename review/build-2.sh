#!/bin/sh
# The stand-ins of review/4 to 8 are Python of the standard library: they need no build.
set -eu
cd "$(dirname "$0")"
for file in fleet.py [4-8]/*.py; do
    python3 -S -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
