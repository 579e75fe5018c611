"""Start-up objects are excluded from garbage collection.

Otherwise a full collection traverses them and pauses all calls.
"""

import subprocess
import sys

# Imports `runtime` to load the modules that a daemon has at its start.
SCRIPT = """
import gc
from kumquatridge.daemon import garbage_collection, runtime
before = len(gc.get_objects())
garbage_collection.exclude_startup_objects()
print(before, len(gc.get_objects()), gc.get_freeze_count())
"""
# Objects that are still tracked afterwards, relative to those tracked before.
MAX_REMAINING_RATIO = 0.01


def test_startup_objects_are_excluded_from_collections() -> None:
    completed = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        check=True,
        capture_output=True,
        text=True,
    )
    before, remaining, frozen = (int(text) for text in completed.stdout.split())
    assert remaining < MAX_REMAINING_RATIO * before
    # The collection before the freeze may free some objects, but not half.
    assert frozen > before / 2
