#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python scripts without dependencies, so nothing is compiled; the
# script checks that they can be parsed and that the program of the deploy file has been built.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.py [0-9]*/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
test -x ../target/release/wigeonhaven
