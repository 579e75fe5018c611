"""Plain counts of what was decided; docs/METRICS.md lists them.

Decisions only add to integers. They are read when somebody scrapes, so that a
refusal costs next to nothing under overload.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.routing import choices
from kumquatridge.telemetry import decisions


class RefusalKey(NamedTuple):
    """The labels of the refusal counter."""

    reason: str
    service: str
    importance: str


class ServiceKey(NamedTuple):
    """The labels of what is counted by reason and service."""

    reason: str
    service: str


class EndingKey(NamedTuple):
    """The labels of the counter of answers."""

    status: str
    service: str


Key = TypeVar("Key", RefusalKey, ServiceKey, EndingKey)


class MetricRecorder:
    """Counts refusals and retries and keeps the latest decisions."""

    def __init__(self, log: decisions.DecisionLog) -> None:
        self._log = log
        self.refusals: collections.Counter[RefusalKey] = collections.Counter()
        self.retries: collections.Counter[ServiceKey] = collections.Counter()
        self.retries_denied: collections.Counter[ServiceKey] = (
            collections.Counter()
        )
        self.rejections: collections.Counter[str] = collections.Counter()
        self.cut_answers: collections.Counter[ServiceKey] = (
            collections.Counter()
        )

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Counts a call that was not run and why."""
        importance = call.chain.importance.name.lower()
        self.refusals[RefusalKey(refusal.code, call.service, importance)] += 1
        self._log.add_refusal(call, refusal)

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts another attempt at a call and why."""
        self.retries[ServiceKey(reason, call.service)] += 1
        self._log.add_retry(call, reason)

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts an attempt that would have helped but wasn't allowed."""
        self.retries_denied[ServiceKey(reason, call.service)] += 1

    def record_attempt(
        self,
        call: calls.Call,
        get_place: Callable[[], choices.Place],
        outcome: outcomes.Outcome,
    ) -> None:
        """Takes note of an attempt; refusals and retries are counted."""

    def record_rejection(self, refusal: refusals.Refusal) -> None:
        """Counts a request that never became a call and why."""
        self.rejections[refusal.code] += 1

    def record_cut_answer(self, call: calls.Call, reason: str) -> None:
        """Counts an answer that was cut off after its head was sent."""
        self.cut_answers[ServiceKey(reason, call.service)] += 1
