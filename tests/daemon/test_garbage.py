"""A full collection finds next to nothing to walk through after the start."""

import subprocess
import sys

SCRIPT = """
import gc
from kumquatridge.daemon import garbage, runtime
before = len(gc.get_objects())
garbage.exclude_startup_objects()
print(before, len(gc.get_objects()), gc.get_freeze_count())
"""
LEFT_RATIO = 0.01


def test_objects_of_the_start_are_excluded() -> None:
    found = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        check=True,
        capture_output=True,
        text=True,
    )
    before, left, frozen = (int(text) for text in found.stdout.split())
    assert left < LEFT_RATIO * before
    assert frozen > before / 2
