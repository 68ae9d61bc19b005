#!/usr/bin/env sh
# Makes the virtual environment once and again whenever its inputs change.
set -eu
cd "$(dirname "$0")/.."
stamp=.venv/installed.stamp
wanted=$(cat pyproject.toml constraints.txt | cksum)
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$wanted" ]; then
    python3 -m venv .venv
    .venv/bin/pip install --quiet --disable-pip-version-check \
        --constraint constraints.txt --editable '.[dev]' 2>.venv/pip.log ||
        { cat .venv/pip.log >&2; exit 1; }
    printf '%s\n' "$wanted" >"$stamp"
fi
