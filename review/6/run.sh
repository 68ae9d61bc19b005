#!/usr/bin/env sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
    exec python3 -B run.py --without-disruption
fi
exec python3 -B run.py
