#!/usr/bin/env sh
# Runs a whole small fleet in one process; options go to gypsumfield-local.
set -eu
cd "$(dirname "$0")/.."
sh tools/venv.sh
exec .venv/bin/gypsumfield-local "$@"
