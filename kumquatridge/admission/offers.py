"""Repeated offers: the retries of a service, decided beside its workers.

A call that a worker refused without running it, or that another worker left
unanswered, may be offered to a worker again. Each such offer is a retry, and
all daemons together have one retry budget for each service. Every offer passes
the daemon beside the worker. These daemons hold the budget in equal shares,
because the calls of the service are spread over them: the shares follow the
demand of all callers, and there are as few of them as the service has
instances, however many daemons send calls.

The load pattern is a service all of whose workers refuse part of their calls.
There are too few retries to complete every root then. Retries spent first
come, first served complete hardly any root that needs several calls, so they go
to the roots with the highest score (see `gates.get_score`): by importance, and
within one importance by a hash of the root id, so that every daemon completes
the same roots.
"""

import dataclasses

from kumquatridge import clock
from kumquatridge.admission import gates
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.chain import retry_budget

# The demand for retries is counted in this many score ranges per importance.
RANGES_PER_IMPORTANCE = 16
# Grants every retry that the budget permits.
GRANT_ALL_LEVEL = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class OfferSettings:
    """Limits of the offers of one call, and the control of the retry level.

    A daemon offers a call to its worker at most `max_offers` times, with pauses
    that grow by `pause_ms` each time. Every `interval_ms` the retry level
    moves to where the demand for retries equals what is left of the budget,
    spent over `horizon_ms`. `demand_ratio` is the weight of the newest interval
    in the estimated demand.
    """

    max_offers: int = 6
    pause_ms: float = 5.0
    interval_ms: float = 100.0
    horizon_ms: float = 1250.0
    demand_ratio: float = 0.05


class OfferControl:
    """Decides which calls may be offered to the local worker again."""

    def __init__(
        self, settings: OfferSettings, budget: retry_budget.RetryBudget
    ) -> None:
        self._settings = settings
        self._budget = budget
        range_count = len(call_importance.Importance) * RANGES_PER_IMPORTANCE
        # Retries requested in this interval, and the estimated requests per
        # interval, by score range.
        self._requested = [0] * range_count
        self._demand = [0.0] * range_count
        self._level = GRANT_ALL_LEVEL
        self._interval_started_ms = clock.get_now_ms()

    @property
    def level(self) -> float:
        """The lowest score of a root whose calls get retries."""
        return self._level

    def admit(self, call: calls.Call) -> bool:
        """Counts the first offer here; returns whether it is permitted.

        The first attempt of a call is always permitted. It counts as a retry
        if an ancestor of the call was retried.
        """
        if call.attempt > 1:
            return self.try_repeat(call)
        if call.chain.is_retry:
            self._budget.record_retry()
        else:
            self._budget.record_first_attempt()
        return True

    def get_pause_ms(self, call: calls.Call, offers: int) -> float | None:
        """Returns the pause before the next offer of a call that was refused.

        `offers` is how often the call has been offered to this worker. None is
        returned if it is not offered again here: while other workers may still
        be tried, the sender tries one of them first.
        """
        if call.attempt <= call.chain.retry_allowance:
            return None
        if offers >= self._settings.max_offers:
            return None
        pause_ms = self._settings.pause_ms * offers
        return pause_ms if pause_ms < call.chain.get_remaining_ms() else None

    def try_repeat(self, call: calls.Call) -> bool:
        """Charges a retry to the budget; returns whether it is granted."""
        self._update_level()
        score = gates.get_score(call.chain.importance, call.chain.root_id)
        self._requested[int(score * RANGES_PER_IMPORTANCE)] += 1
        return score >= self._level and self._budget.try_acquire()

    def _update_level(self) -> None:
        """Estimates the demand and moves the level, once an interval."""
        now_ms = clock.get_now_ms()
        intervals = (
            now_ms - self._interval_started_ms
        ) / self._settings.interval_ms
        if intervals < 1.0:
            return
        weight_ratio = 1.0 - (1.0 - self._settings.demand_ratio) ** intervals
        for index, requested in enumerate(self._requested):
            change = requested / intervals - self._demand[index]
            self._demand[index] += change * weight_ratio
        self._level = self._find_level()
        self._requested = [0] * len(self._requested)
        self._interval_started_ms = now_ms

    def _find_level(self) -> float:
        """Returns the level above which the budget meets the demand."""
        settings = self._settings
        permitted = (
            max(0.0, self._budget.get_available())
            * settings.interval_ms
            / settings.horizon_ms
        )
        for index in reversed(range(len(self._demand))):
            demand = self._demand[index]
            if demand > permitted:
                refused_ratio = 1.0 - permitted / demand
                return (index + refused_ratio) / RANGES_PER_IMPORTANCE
            permitted -= demand
        return GRANT_ALL_LEVEL
