#!/usr/bin/env sh
# The stand-ins of the cases 6 to 10 are plain Python without dependencies: nothing is
# built, only compiled once as a check.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path(".").glob("lib-2/*.py")) + sorted(pathlib.Path(".").glob("*/run.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
