#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15: they are Python
# files that use the standard library only. The project's own programs are built
# by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile rig_3.py 1[1-5]/case.py
