"""Loopback addresses and settings of daemons that run on one machine."""

from collections.abc import Iterator
import pathlib
import random
import socket

from kumquatridge.daemon import settings as daemon_settings

LOOPBACK = "127.0.0.1"
# Authenticates the daemons to each other (see `DaemonSettings.peer_key`).
PEER_KEY = "loopback"
DATA_CENTRE = "local"
# Ports are taken from FIRST_PORT up to, but not including, END_PORT. The range
# is below 32768, from which Linux by default takes the ports of outgoing
# connections.
FIRST_PORT = 10_000
END_PORT = 32_700
PORTS_PER_BLOCK = 100


def get_free_address() -> str:
    """Returns a loopback address that is reserved for this process.

    The port is given neither to other processes that use this function nor,
    by default, to outgoing connections.

    Raises:
      OSError: all blocks of ports are reserved.
    """
    port = next(_free_ports, None)
    if port is None:
        raise OSError(
            "cannot reserve a loopback port: all blocks of ports are in use"
        )
    return f"{LOOPBACK}:{port}"


def _iter_free_ports() -> Iterator[int]:
    """Yields the free ports of the blocks that this process reserves.

    The first port of a block is its lock: it stays bound until the process
    ends, so that no other process reserves the block.
    """
    first_ports = list(range(FIRST_PORT, END_PORT, PORTS_PER_BLOCK))
    random.shuffle(first_ports)
    block_locks: list[socket.socket] = []
    for first_port in first_ports:
        block_lock = _bind(first_port)
        if block_lock is None:
            continue
        block_locks.append(block_lock)
        yield from filter(
            _is_free, range(first_port + 1, first_port + PORTS_PER_BLOCK)
        )


def _is_free(port: int) -> bool:
    candidate = _bind(port)
    if candidate is None:
        return False
    candidate.close()
    return True


def _bind(port: int) -> socket.socket | None:
    """Returns a socket bound to a port, or None if the port is in use."""
    listener = socket.socket()
    try:
        listener.bind((LOOPBACK, port))
    except OSError:
        listener.close()
        return None
    return listener


_free_ports = _iter_free_ports()


def make_daemon_settings(
    instance: str, tree_file: pathlib.Path, *seeds: str, drain_ms: int
) -> daemon_settings.DaemonSettings:
    """Returns daemon settings with free loopback addresses.

    `tree_file` holds the settings tree; `seeds` are control addresses of
    other daemons.
    """
    return daemon_settings.DaemonSettings(
        instance=instance,
        data_centre=DATA_CENTRE,
        caller_address=get_free_address(),
        call_address=get_free_address(),
        control_address=get_free_address(),
        operator_address=get_free_address(),
        peer_key=PEER_KEY,
        tree_file=str(tree_file),
        seeds=seeds,
        drain_ms=drain_ms,
    )
