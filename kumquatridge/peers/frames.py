"""Framing of answers: a status byte, then the answer or an error reason."""

import dataclasses

# Size of the largest request or answer that pynng accepts.
MAX_FRAME_BYTES = 1_048_576
_ACCEPTED = b"\x01"
_REFUSED = b"\x00"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The request was handled; `sealed` is the answer with its MAC."""

    sealed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not handled, for the given reason."""

    reason: str


Frame = Accepted | Refused


def write_answer(frame: Frame) -> bytes:
    """Encodes an answer."""
    match frame:
        case Accepted(sealed):
            return _ACCEPTED + sealed
        case Refused(reason):
            return _REFUSED + reason.encode()


def read_answer(data: bytes) -> Frame:
    """Decodes an answer; an unknown first byte counts as a refusal."""
    if data[:1] == _ACCEPTED:
        return Accepted(data[1:])
    return Refused(data[1:].decode(errors="replace"))
