#!/usr/bin/env bash
# Builds what the cases start besides the service: nothing to compile, the stand-ins are Python
# scripts on the standard library. Checks that this machine can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import sys, tomllib, asyncio
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11 or later"
for path in ("standin/wire.py", "standin/world.py", "1/case.py", "2/case.py", "3/case.py"):
    try:
        compile(open(path).read(), path, "exec")
    except FileNotFoundError:
        pass
PY
