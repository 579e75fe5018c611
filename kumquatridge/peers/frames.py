"""The outermost bytes of an answer: accepted, or refused and why."""

import dataclasses

MAX_FRAME_BYTES = 1_048_576
_ACCEPTED = b"\x01"
_REFUSED = b"\x00"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The request was taken; `sealed` is the sealed answer."""

    sealed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not taken; the text says why."""

    reason: str


Frame = Accepted | Refused


def write_answer(frame: Frame) -> bytes:
    """Returns the bytes of an answer."""
    match frame:
        case Accepted(sealed):
            return _ACCEPTED + sealed
        case Refused(reason):
            return _REFUSED + reason.encode()


def read_answer(data: bytes) -> Frame:
    """Returns the answer of some bytes; what is unknown counts as refused."""
    if data[:1] == _ACCEPTED:
        return Accepted(data[1:])
    return Refused(data[1:].decode(errors="replace"))
