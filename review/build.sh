#!/bin/sh
# Compiles the stand-ins of the scripts; they need the standard library only.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=$(mktemp -d)
export PYTHONPYCACHEPREFIX
python3 -m py_compile lib/*.py [0-9]/trial.py
rm -r "$PYTHONPYCACHEPREFIX"
