"""Which members of a data centre act for all of it.

Every daemon picks for itself from the members that it knows. Daemons that
disagree for a while cost a third relay, never correctness.

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

    A change of one member moves at most the places that it held or takes.
    """
    live = (one for one in candidates if _is_live(one))
    ranked = sorted(live, key=lambda one: _hash(purpose, one), reverse=True)
    return tuple(ranked[:count])


def is_relay(
    own: members.Member,
    candidates: Iterable[members.Member],
    count: int = RELAY_COUNT,
    purpose: str = "",
) -> bool:
    """Tells whether this daemon is one of the relays it would pick."""
    picked = pick_relays(candidates, count, purpose)
    return any(one.instance == own.instance for one in picked)


def _is_live(member: members.Member) -> bool:
    match member.state:
        case members.Alive() | members.Suspected():
            return True
        case members.Leaving() | members.Dead():
            return False


def _hash(purpose: str, member: members.Member) -> bytes:
    text = f"{purpose}\0{member.instance}"
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
