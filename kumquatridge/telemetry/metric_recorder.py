"""In-process counters of recorded decisions; docs/METRICS.md lists them.

Recording a decision only increments an integer, so that a refusal costs little
under overload. The exporter reads the integers at each scrape.
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
    """Label values of the counter of refused calls."""

    reason: str
    service: str
    importance: str


class ReasonServiceKey(NamedTuple):
    """Label values of counters by reason and service."""

    reason: str
    service: str


class AnswerKey(NamedTuple):
    """Label values of the counter of answers."""

    status: str
    service: str


KeyT = TypeVar("KeyT", RefusalKey, ReasonServiceKey, AnswerKey)


class MetricRecorder:
    """Counts refused calls, retries, rejected requests and truncated answers.

    Refusals and retries are also added to the decision log. `rejections` counts
    requests by the refusal code with which they were rejected.
    """

    def __init__(self, decision_log: decisions.DecisionLog) -> None:
        self._decision_log = decision_log
        self.refusals: collections.Counter[RefusalKey] = collections.Counter()
        self.retries: collections.Counter[ReasonServiceKey] = (
            collections.Counter()
        )
        self.retries_denied: collections.Counter[ReasonServiceKey] = (
            collections.Counter()
        )
        self.rejections: collections.Counter[str] = collections.Counter()
        self.truncated_answers: collections.Counter[ReasonServiceKey] = (
            collections.Counter()
        )

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Counts a refused call by reason and adds it to the decision log."""
        importance = call.chain.importance.name.lower()
        self.refusals[RefusalKey(refusal.code, call.service, importance)] += 1
        self._decision_log.add_refusal(call, refusal)

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts a retry by reason and adds it to the decision log."""
        self.retries[ReasonServiceKey(reason, call.service)] += 1
        self._decision_log.add_retry(call, reason)

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts a retry that might have helped but was not allowed."""
        self.retries_denied[ReasonServiceKey(reason, call.service)] += 1

    def record_failed_attempt(
        self,
        call: calls.Call,
        get_snapshot: Callable[[], choices.InstanceSnapshot],
        outcome: outcomes.Outcome,
    ) -> None:
        """Does nothing: failed attempts are not counted."""

    def record_rejection(self, refusal: refusals.Refusal) -> None:
        """Counts a request rejected before it became a call, by reason."""
        self.rejections[refusal.code] += 1

    def record_truncated_answer(self, call: calls.Call, reason: str) -> None:
        """Counts an answer cut off after its head was sent, by reason."""
        self.truncated_answers[ReasonServiceKey(reason, call.service)] += 1
