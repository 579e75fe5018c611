#!/bin/sh
# Checks the stand-ins for syntax; the cases need nothing else to be built.
set -e
cd "$(dirname "$0")/.."
exec python3 -B - review/rig.py review/*/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, "rb") as file:
        compile(file.read(), path, "exec")
CHECK
