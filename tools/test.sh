#!/usr/bin/env sh
# Runs the tests; arguments go to pytest.
set -eu
cd "$(dirname "$0")/.."
sh tools/venv.sh
exec .venv/bin/python -m pytest -n 4 "$@"
