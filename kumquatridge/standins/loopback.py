"""Addresses and daemon settings for whatever runs on one machine."""

import pathlib
import socket

from kumquatridge.daemon import settings as daemon_settings

LOOPBACK = "127.0.0.1"
PEER_KEY = "loopback"
DATA_CENTRE = "local"


def get_free_address() -> str:
    """Returns a loopback address that nothing listens on now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{probe.getsockname()[1]}"


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
