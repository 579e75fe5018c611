"""Addresses handed out to several processes at once."""

import subprocess
import sys

import pytest

from kumquatridge.standins import loopback

LIST_ADDRESSES = """
import sys
from kumquatridge.standins import loopback
for _ in range(int(sys.argv[1])):
    print(loopback.get_free_address(), flush=True)
sys.stdin.read()
"""


@pytest.mark.parametrize(
    "count",
    [
        pytest.param(20, id="within a block"),
        pytest.param(250, id="over several blocks"),
    ],
)
def test_no_two_processes_get_one_address(count: int) -> None:
    command = [sys.executable, "-c", LIST_ADDRESSES, str(count)]
    others = [
        subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    found = [loopback.get_free_address() for _ in range(count)]
    for other in others:
        assert other.stdout is not None
        found += [other.stdout.readline().strip() for _ in range(count)]
    for other in others:
        other.communicate(timeout=30)
    assert len(set(found)) == 3 * count
