"""Loopback addresses are reserved without overlap between processes.

A process reserves ports in blocks of `loopback.PORTS_PER_BLOCK`. If two
processes reserved the same port, one of them would fail to listen on it.
"""

import subprocess
import sys

import pytest

from kumquatridge.standins import loopback

ADDRESS_SCRIPT = """
import sys
from kumquatridge.standins import loopback
for _ in range(int(sys.argv[1])):
    print(loopback.get_free_address(), flush=True)
sys.stdin.read()
"""


@pytest.mark.parametrize(
    "count",
    [
        pytest.param(20, id="addresses of one block"),
        pytest.param(250, id="addresses of several blocks"),
    ],
)
def test_addresses_reserved_by_concurrent_processes_are_distinct(
    count: int,
) -> None:
    command = [sys.executable, "-c", ADDRESS_SCRIPT, str(count)]
    others = [
        subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    addresses = [loopback.get_free_address() for _ in range(count)]
    for other in others:
        assert other.stdout is not None
        addresses += [other.stdout.readline().strip() for _ in range(count)]
    for other in others:
        other.communicate(timeout=30)
    assert len(set(addresses)) == 3 * count
