"""Retries are moved between allowances and never created."""

import dataclasses

import pytest

from kumquatridge.chain import retry_allowance


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A granted allowance and the reservations of successive children.

    `requested` and `reserved` have one number of retries for each child.
    """

    granted: int
    requested: tuple[int, ...]
    reserved: tuple[int, ...]


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case(0, (3,), (0,)), id="nothing granted"),
        pytest.param(Case(1, (3, 3), (1, 0)), id="one retry"),
        pytest.param(
            Case(3, (3, 3, 3), (2, 1, 0)), id="second child gets some"
        ),
        pytest.param(
            Case(8, (1, 8, 8), (1, 4, 2)), id="no more than requested"
        ),
        pytest.param(Case(-2, (1,), (0,)), id="negative grant"),
    ],
)
def test_each_child_gets_at_most_half_of_the_rest_rounded_up(
    case: Case,
) -> None:
    allowance = retry_allowance.RetryAllowance(case.granted)
    reserved = tuple(
        allowance.reserve_half(requested) for requested in case.requested
    )
    assert reserved == case.reserved
    assert sum(reserved) + allowance.remaining == max(0, case.granted)


def test_closed_allowance_ignores_released_retries() -> None:
    allowance = retry_allowance.RetryAllowance(4)
    reserved = allowance.reserve_half(4)
    assert allowance.close() == 2
    allowance.release(reserved)
    assert allowance.remaining == 0
    assert not allowance.try_consume()
