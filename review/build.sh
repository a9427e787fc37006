#!/bin/sh
# Builds the stand-ins of the cases: Python modules that need only what the deploy file's build installs.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import msgpack'
.venv/bin/python -m compileall -q review
