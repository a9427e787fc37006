#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start, after the build of the deploy file:
# they are Python files that need the standard library and msgpack, so that compiling them is all.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c "import msgpack"
.venv/bin/python -m compileall -q -f review/standins_2.py review/6 review/7 review/8 review/9 review/10
