"""Which kinds of calls may take another slot."""

import dataclasses

import pytest

from kumquatridge.admission import settings as admission_settings
from kumquatridge.admission import shares
from kumquatridge.calls import importance as call_importance

IMPORTANCE = call_importance.Importance
ROOT = shares.Kind(IMPORTANCE.NORMAL, 0, False)
DEEP = shares.Kind(IMPORTANCE.NORMAL, 2, False)
BOOKING = shares.Kind(IMPORTANCE.CRITICAL, 0, False)
LONG = shares.Kind(IMPORTANCE.NORMAL, 0, True)
UPLOAD = shares.Kind(IMPORTANCE.CRITICAL, 0, True)
SLOTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Calls seen before, and how many of a kind may then hold a slot."""

    seen: tuple[shares.Kind, ...]
    taking: shares.Kind
    most: int
    kept_ratio: float = 0.25


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case((ROOT,), ROOT, 8), id="one depth keeps none"),
        pytest.param(Case((ROOT, DEEP), ROOT, 7), id="one deep call keeps one"),
        pytest.param(Case((ROOT, *[DEEP] * 9), ROOT, 6), id="at most a share"),
        pytest.param(Case((ROOT, *[DEEP] * 9), DEEP, 8), id="the deepest all"),
        pytest.param(Case((ROOT, DEEP), ROOT, 8, 0.0), id="none if so set"),
        pytest.param(Case((BOOKING, *[DEEP] * 9), BOOKING, 8), id="bookings"),
        pytest.param(Case((LONG,), LONG, 2), id="long calls their share"),
        pytest.param(Case((UPLOAD,), UPLOAD, 8), id="uploads all"),
    ],
)
def test_slots_by_kind(case: Case) -> None:
    settings = admission_settings.AdmissionSettings(kept_ratio=case.kept_ratio)
    slots = shares.SlotShares(settings)
    slots.set_limit(SLOTS)
    for kind in case.seen:
        slots.enter(kind, now_ms=0.0)
    taken = 0
    while slots.can_take(case.taking):
        slots.take(case.taking)
        taken += 1
    assert taken == case.most
