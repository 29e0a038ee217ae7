#!/usr/bin/env bash
# Exit code 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "could not run: no Python 3.11"; exit 2; }
exec timeout --kill-after=1 119 python3 -B case.py
