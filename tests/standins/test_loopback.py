"""Loopback addresses are reserved without overlap between processes.

A process reserves ports in blocks of `loopback.PORTS_PER_BLOCK`. If two
processes reserved the same port, one of them would fail to listen on it.
"""

import subprocess
import sys

import pytest

from kumquatridge.standins import loopback

# Prints addresses and holds their blocks until its standard input is closed.
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
    subprocesses = [
        subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    addresses = [loopback.get_free_address() for _ in range(count)]
    for process in subprocesses:
        assert process.stdout is not None
        addresses += [process.stdout.readline().strip() for _ in range(count)]
    for process in subprocesses:
        process.communicate(timeout=30)
    # This process and two subprocesses have reserved `count` addresses each.
    assert len(set(addresses)) == 3 * count
