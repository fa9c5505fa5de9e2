#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start.  Their stand-ins are Python
# modules of the standard library in review/third: nothing is compiled to machine code.
# This checks the interpreter, the modules, and the libraries of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -c 'import review.third.installation'
for case in review/1[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
