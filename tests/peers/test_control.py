"""Tests of the gossip between daemons over real sockets on loopback."""

import asyncio
import contextlib

import pytest

from kumquatridge.membership import errors
from kumquatridge.membership import member as members
from kumquatridge.membership import messages
from kumquatridge.membership import recorder
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import table
from kumquatridge.peers import control
from kumquatridge.peers import credential
from kumquatridge.peers import link
from kumquatridge.peers import metrics
from tests import processes
from tests.membership import fleet

# Much traffic, so that a cancellation is likely to arrive just as an operation
# completes.
FAST_GOSSIP = gossip_settings.GossipSettings(
    heartbeat_ms=1, urgent_rounds_per_s=1000
)
# Several, as only a cancellation at the very end of an operation is lost.
OPEN_CLOSE_ROUNDS = 10
# Each round first waits until the planes know each other, then until they are
# closed. This time-out applies to each wait, so that the test fails instead of
# hanging if a plane doesn't close.
STEP_TIMEOUT_S = 5.0


def make_plane(
    name: str, *seeds: str
) -> tuple[control.ControlPlane, table.MemberTable]:
    """Returns the control plane of an instance, and its member table."""
    settings = processes.make_settings(name, *seeds)
    # Incarnation 1, the data centre, a placeholder as the call address, and no
    # worker.
    own = members.Member(
        name, 1, "landshut", "c", settings.control_address, None
    )
    members_table = table.MemberTable(own)
    counts = metrics.ControlCounts()
    return control.ControlPlane(
        settings, members_table, counts, FAST_GOSSIP
    ), members_table


async def test_planes_close_in_time_under_traffic() -> None:
    """Guards against a control plane that doesn't close.

    pynng loses a cancellation that arrives just as an operation completes. A
    task that relied on cancellation alone would keep running and block the
    close.
    """
    seed_plane, members_table = make_plane("n0")
    async with seed_plane:
        for index in range(OPEN_CLOSE_ROUNDS):
            planes = [
                make_plane(
                    f"n{index}-{position}", members_table.own.control_address
                )
                for position in range(3)
            ]
            async with contextlib.AsyncExitStack() as stack:
                for plane, _ in planes:
                    await stack.enter_async_context(plane)
                tables = [peer_table for _, peer_table in planes]
                # Each table has the two other planes and `seed_plane`.
                await fleet.wait_until(
                    lambda tables=tables: all(  # type: ignore[misc]
                        len(peer_table.get_live()) >= 3 for peer_table in tables
                    ),
                    STEP_TIMEOUT_S,
                )
                async with asyncio.timeout(STEP_TIMEOUT_S):
                    await stack.aclose()


@pytest.mark.parametrize("key", ["wrong", ""])
async def test_request_with_wrong_key_is_refused(key: str) -> None:
    plane, members_table = make_plane("n0")
    peer_link = link.NngLink(credential.Credential(key), recorder.NoRecorder())
    async with plane, peer_link:
        with pytest.raises(errors.PeerRefusedError, match="wrong key"):
            await peer_link.ask(
                members_table.own.control_address,
                messages.Heartbeat("x", (), ()),
                2000,  # Time-out in milliseconds; the refusal comes at once.
            )


async def test_request_without_listener_raises_peer_silent() -> None:
    peer_link = link.NngLink(credential.Credential("k"), recorder.NoRecorder())
    async with peer_link:
        with pytest.raises(errors.PeerSilentError):
            # The last argument is the time-out in milliseconds.
            await peer_link.ask(
                processes.get_free_address(), messages.ProbeRequest("x"), 200
            )
