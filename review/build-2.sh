#!/usr/bin/env bash
# Builds what the cases 4 to 8 start besides the service: nothing to compile, the stand-ins of
# standin-2/ are Python scripts on the standard library. Checks that this machine can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import asyncio, glob, sys, tomllib
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11 or later"
for path in glob.glob("standin-2/*.py") + glob.glob("[4-8]/case.py"):
    compile(open(path).read(), path, "exec")
PY
