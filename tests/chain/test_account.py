"""Retries are moved between accounts and never made."""

import dataclasses

import pytest

from kumquatridge.chain import account as chain_account


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What an account is granted and asked for, one child after another."""

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
    account = chain_account.RetryAccount(case.granted)
    lent = tuple(account.lend_half(wanted) for wanted in case.wanted)
    assert lent == case.lent
    assert sum(lent) + account.left == max(0, case.granted)


def test_settled_account_takes_nothing_back() -> None:
    account = chain_account.RetryAccount(4)
    lent = account.lend_half(4)
    assert account.settle() == 2
    account.give_back(lent)
    assert account.left == 0
    assert not account.spend()
