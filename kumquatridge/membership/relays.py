"""Selection of relays: the members that act on behalf of their data centre.

Relays query other data centres or call the platform, so that not every daemon
does. Every daemon selects them on its own from the members that it knows.
While member tables differ there may be additional relays; that costs messages
but does not affect correctness.

Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", 1998 (rendezvous hashing).
"""

from collections.abc import Iterable
import hashlib

from kumquatridge.membership import member as members

# Relays for a purpose, unless the caller of `is_relay` gives another number.
RELAY_COUNT = 2
_HASH_BYTES = 8


def pick_live_members(
    candidates: Iterable[members.Member],
    count: int = RELAY_COUNT,
    purpose: str = "",
) -> tuple[members.Member, ...]:
    """Returns the `count` live members with the highest hash for a purpose.

    Live members are those that are alive or suspected. The purpose is part of
    the hash, so that relays for different purposes are spread over the members.
    When one member joins or fails, at most one of the selected members changes.
    """
    live = (member for member in candidates if _is_live(member))
    ranked = sorted(
        live, key=lambda member: _hash(purpose, member), reverse=True
    )
    return tuple(ranked[:count])


def is_relay(
    own: members.Member,
    candidates: Iterable[members.Member],
    count: int = RELAY_COUNT,
    purpose: str = "",
) -> bool:
    """Returns whether this daemon is a relay; see `pick_live_members`."""
    picked = pick_live_members(candidates, count, purpose)
    return any(member.instance == own.instance for member in picked)


def _is_live(member: members.Member) -> bool:
    match member.state:
        case members.Alive() | members.Suspected():
            return True
        case members.Leaving() | members.Dead():
            return False


def _hash(purpose: str, member: members.Member) -> bytes:
    text = f"{purpose}\0{member.instance}"
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
