#!/bin/sh
# What `run` and `sim` need, in the folder's own environment; made anew when the requirements have changed.
set -e
cd "$(dirname "$0")/.."
want=$(sha256sum < requirements.txt)
if ! test -x .venv/bin/python || test "$(cat .venv/.requirements 2>/dev/null)" != "$want"; then
    test -x .venv/bin/python || python3 -m venv .venv
    .venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
    echo "$want" > .venv/.requirements
fi
# The file system is read-only later: without this each start would compile everything again.
.venv/bin/python -m compileall -q fennelwind
