"""Retries are moved between allowances and never made."""

import dataclasses

import pytest

from kumquatridge.chain import retry_allowance


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What an allowance is granted and asked for, one child after another."""

    granted: int
    wanted: tuple[int, ...]
    lent: tuple[int, ...]


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case(0, (3,), (0,)), id="nothing granted"),
        pytest.param(Case(1, (3, 3), (1, 0)), id="one retry"),
        pytest.param(
            Case(3, (3, 3, 3), (2, 1, 0)), id="second child gets some"
        ),
        pytest.param(Case(8, (1, 8, 8), (1, 4, 2)), id="no more than wanted"),
        pytest.param(Case(-2, (1,), (0,)), id="negative grant"),
    ],
)
def test_children_share_the_allowance(case: Case) -> None:
    allowance = retry_allowance.RetryAllowance(case.granted)
    lent = tuple(allowance.reserve_half(wanted) for wanted in case.wanted)
    assert lent == case.lent
    assert sum(lent) + allowance.remaining == max(0, case.granted)


def test_closed_allowance_takes_nothing_back() -> None:
    allowance = retry_allowance.RetryAllowance(4)
    lent = allowance.reserve_half(4)
    assert allowance.close() == 2
    allowance.release(lent)
    assert allowance.remaining == 0
    assert not allowance.try_consume()
