"""Which call classes may acquire a slot."""

import dataclasses

import pytest

from kumquatridge.admission import settings as admission_settings
from kumquatridge.admission import shares
from kumquatridge.calls import importance as call_importance

Importance = call_importance.Importance
# The arguments are importance, depth and whether the call is long-running.
ROOT = shares.CallClass(Importance.NORMAL, 0, False)
NESTED = shares.CallClass(Importance.NORMAL, 2, False)
CRITICAL_ROOT = shares.CallClass(Importance.CRITICAL, 0, False)
LONG_RUNNING = shares.CallClass(Importance.NORMAL, 0, True)
CRITICAL_LONG_RUNNING = shares.CallClass(Importance.CRITICAL, 0, True)
SLOTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Demand seen before, and the slots that one class may then acquire.

    At most `reserved_ratio` of the 8 slots are reserved for deeper calls, and
    long-running calls may use a quarter of them before a peak is measured.
    """

    seen: tuple[shares.CallClass, ...]
    acquiring: shares.CallClass
    expected_slots: int
    reserved_ratio: float = 0.25


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case((ROOT,), ROOT, 8), id="single depth reserves none"),
        pytest.param(
            Case((ROOT, NESTED), ROOT, 7), id="one nested call reserves one"
        ),
        pytest.param(
            Case((ROOT, *[NESTED] * 9), ROOT, 6), id="reserved share is bounded"
        ),
        pytest.param(
            Case((ROOT, *[NESTED] * 9), NESTED, 8), id="deepest calls use all"
        ),
        pytest.param(
            Case((ROOT, NESTED), ROOT, 8, 0.0), id="reservation disabled"
        ),
        pytest.param(
            Case((CRITICAL_ROOT, *[NESTED] * 9), CRITICAL_ROOT, 8),
            id="critical calls use all",
        ),
        pytest.param(
            Case((LONG_RUNNING,), LONG_RUNNING, 2),
            id="long-running calls use minimum share",
        ),
        pytest.param(
            Case((CRITICAL_LONG_RUNNING,), CRITICAL_LONG_RUNNING, 8),
            id="critical long-running calls use all",
        ),
    ],
)
def test_call_class_acquires_up_to_its_share(case: Case) -> None:
    settings = admission_settings.AdmissionSettings(
        reserved_ratio=case.reserved_ratio
    )
    slots = shares.SlotShares(settings)
    slots.set_limit(SLOTS)
    for call_class in case.seen:
        slots.add_demand(call_class, now_ms=0.0)
    taken = 0
    while slots.can_acquire(case.acquiring):
        slots.acquire(case.acquiring)
        taken += 1
    assert taken == case.expected_slots
