"""Tests of the encoding of refusals."""

import typing

import pytest
from returns import result

from kumquatridge.calls import refusals
from kumquatridge.encoding import refusal_codec
from tests.operators import test_explanations


@pytest.mark.parametrize("refusal_class", typing.get_args(refusals.Refusal))
def test_refusal_round_trips(refusal_class: type) -> None:
    refusal = test_explanations.make_refusal(refusal_class)
    fields = refusal_codec.encode_refusal(refusal)
    decoded = refusal_codec.decode_refusal(refusal.code, fields)
    assert decoded == result.Success(refusal)


@pytest.mark.parametrize(
    ("code", "fields"),
    [
        pytest.param("no_such_reason", "{}", id="unknown code"),
        pytest.param("draining", "{}", id="missing field"),
        pytest.param("draining", "[", id="not JSON"),
        pytest.param("draining", '{"instance": 1}', id="wrong type"),
    ],
)
def test_invalid_code_or_fields_fail_to_decode(code: str, fields: str) -> None:
    decoded = refusal_codec.decode_refusal(code, fields)
    assert isinstance(decoded, result.Failure)
