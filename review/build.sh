#!/bin/sh
# Build the stand-ins of the cases: they are plain Python, so this checks that they load.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in review/harness.py review/[0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
