"""Addresses and daemon settings for whatever runs on one machine."""

from collections.abc import Iterator
import pathlib
import random
import socket

from kumquatridge.daemon import settings as daemon_settings

LOOPBACK = "127.0.0.1"
PEER_KEY = "loopback"
DATA_CENTRE = "local"
# Below the ports that Linux gives to outgoing connections.
FIRST_PORT = 10_000
END_PORT = 32_700
BLOCK_PORTS = 100


def get_free_address() -> str:
    """Returns a loopback address that is this process's to listen on.

    No other process that asks here gets it, and no outgoing connection does.

    Raises:
      OSError: all ports are claimed.
    """
    port = next(_free_ports, None)
    if port is None:
        raise OSError("no free port is left")
    return f"{LOOPBACK}:{port}"


def _iter_free_ports() -> Iterator[int]:
    """Iterates over the ports of blocks that this process claims.

    A claim is the first port of a block, bound until the process ends.
    """
    first_ports = list(range(FIRST_PORT, END_PORT, BLOCK_PORTS))
    random.shuffle(first_ports)
    claims: list[socket.socket] = []
    for first_port in first_ports:
        claim = _bind(first_port)
        if claim is None:
            continue
        claims.append(claim)
        yield from filter(
            _is_free, range(first_port + 1, first_port + BLOCK_PORTS)
        )


def _is_free(port: int) -> bool:
    probe = _bind(port)
    if probe is None:
        return False
    probe.close()
    return True


def _bind(port: int) -> socket.socket | None:
    bound = socket.socket()
    try:
        bound.bind((LOOPBACK, port))
    except OSError:
        bound.close()
        return None
    return bound


_free_ports = _iter_free_ports()


def make_daemon_settings(
    instance: str, tree_file: pathlib.Path, *seeds: str, drain_ms: int
) -> daemon_settings.DaemonSettings:
    """Returns settings of a daemon on free loopback addresses."""
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
