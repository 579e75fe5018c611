"""Every refusal has an explanation."""

import typing

import pytest

from kumquatridge.calls import refusals
from kumquatridge.operators import explanations
from kumquatridge.telemetry import decisions

# The value that a field of a refusal gets, by the type of the field.
FIELD_VALUES = {int: 7, str: "planning-1", float: 7.0}


def make_refusal(refusal_class: type) -> refusals.Refusal:
    """Returns a refusal with a fixed value for each field type."""
    hints = typing.get_type_hints(refusal_class)
    del hints["code"]
    fields = {
        name: FIELD_VALUES[field_type] for name, field_type in hints.items()
    }
    refusal: refusals.Refusal = refusal_class(**fields)
    return refusal


@pytest.mark.parametrize("refusal_class", typing.get_args(refusals.Refusal))
def test_refusal_has_code_and_explanation(refusal_class: type) -> None:
    refusal = make_refusal(refusal_class)
    # At 1 ms, for the route "booking" of the service "ordering", at depth 3.
    decision = decisions.RefusalDecision(
        1, "root", "ordering", "booking", "critical", 3, refusal
    )
    explanation = explanations.explain("ordering-1", decision)
    assert explanation.reason == refusal.code
    assert "importance critical" in explanation.text
    assert "3 calls below its root" in explanation.text
    described = explanations.describe_refusal(refusal)
    assert described
    assert explanation.text.endswith(described)
