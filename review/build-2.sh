#!/usr/bin/env bash
# Compiles the stand-ins that the scripts 6 to 10 start: the project's store and
# the rig. They need nothing but what the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q kumquatridge review/rig_2.py
for number in 6 7 8 9 10; do
    case=review/$number/case.py
    if [ -e "$case" ]; then python3 -m compileall -q "$case"; fi
done
PYTHONPATH=target/deps python3 -c 'import kumquatridge.standins.platform'
