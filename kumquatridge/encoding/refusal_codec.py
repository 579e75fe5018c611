"""Encodes refusals: the code names the class, the fields are JSON."""

import typing

import msgspec
from returns import result

from kumquatridge import decode_errors
from kumquatridge.calls import refusals

_CLASS_BY_CODE = {
    refusal_class.code: refusal_class
    for refusal_class in typing.get_args(refusals.Refusal)
}


def encode_refusal(refusal: refusals.Refusal) -> str:
    """Encodes the fields of a refusal as a JSON object."""
    return msgspec.json.encode(refusal).decode()


def decode_refusal(
    code: str, fields: str
) -> result.Result[refusals.Refusal, str]:
    """Decodes a refusal, or returns a `Failure` that says what is wrong.

    `fields` is the JSON object that `encode_refusal` returns.
    """
    refusal_class = _CLASS_BY_CODE.get(code)
    if refusal_class is None:
        return result.Failure(f"unknown reason {code!r}")
    try:
        decoded: refusals.Refusal = msgspec.json.decode(
            fields, type=refusal_class
        )
    except decode_errors.DECODE_ERRORS as error:
        return result.Failure(str(error))
    return result.Success(decoded)
