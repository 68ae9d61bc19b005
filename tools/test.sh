#!/usr/bin/env sh
# Runs the tests; arguments go to pytest. Exclusive tests run alone after the others.
set -eu
cd "$(dirname "$0")/.."
sh tools/venv.sh

# The status 5 means that no test was selected, which is no failure of one half alone.
NO_TESTS=5
shared=0
.venv/bin/python -m pytest -n 4 -m "not exclusive" "$@" || shared=$?
exclusive=0
.venv/bin/python -m pytest -m exclusive "$@" || exclusive=$?
if [ "$shared" -eq "$NO_TESTS" ] && [ "$exclusive" -eq "$NO_TESTS" ]; then
    exit "$NO_TESTS"
fi
for status in "$shared" "$exclusive"; do
    if [ "$status" -ne 0 ] && [ "$status" -ne "$NO_TESTS" ]; then
        exit "$status"
    fi
done
