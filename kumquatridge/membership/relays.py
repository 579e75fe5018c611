"""Selection of the members that act on behalf of their data centre.

Every daemon selects relays independently from the members that it knows.
Daemons whose member tables differ for a while may select additional relays;
that costs messages but does not affect correctness.

Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", 1998 (rendezvous hashing).
"""

from collections.abc import Iterable
import hashlib

from kumquatridge.membership import member as members

RELAY_COUNT = 2
_HASH_BYTES = 8


def pick_relays(
    candidates: Iterable[members.Member],
    count: int = RELAY_COUNT,
    purpose: str = "",
) -> tuple[members.Member, ...]:
    """Returns the `count` live members with the highest hash for a purpose.

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
    """Returns whether this daemon is among the selected relays."""
    picked = pick_relays(candidates, count, purpose)
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
