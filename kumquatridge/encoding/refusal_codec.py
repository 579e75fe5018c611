"""Refusals as bytes: the reason's code and the fields as JSON."""

import typing

import msgspec

from kumquatridge.calls import refusals

_CLASSES = {
    refusal_class.code: refusal_class
    for refusal_class in typing.get_args(refusals.Refusal)
}


def encode_refusal(refusal: refusals.Refusal) -> str:
    """Returns a refusal's fields as a JSON object."""
    return msgspec.json.encode(refusal).decode()


def decode_refusal(code: str, fields: str) -> refusals.Refusal | None:
    """Returns the refusal, or None when code or fields are not known."""
    refusal_class = _CLASSES.get(code)
    if refusal_class is None:
        return None
    try:
        decoded: refusals.Refusal = msgspec.json.decode(
            fields, type=refusal_class
        )
    except msgspec.DecodeError:
        return None
    return decoded
