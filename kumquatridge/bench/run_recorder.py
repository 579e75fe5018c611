"""Adapter from the product's recorder to the records of a run."""

from collections.abc import Callable

from kumquatridge.bench import fleets
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.routing import choices


class RunRecorder:
    """Records refusals and retries in the records of the run.

    `worker` is the worker of the inbound path, None for the outbound path.
    """

    def __init__(
        self, environment: fleets.Environment, worker: str | None
    ) -> None:
        self._environment = environment
        self._worker = worker

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Records a refused call."""
        self._environment.records.record_refusal(self._worker, call, refusal)

    def record_failed_attempt(
        self,
        call: calls.Call,
        get_snapshot: Callable[[], choices.InstanceSnapshot],
        outcome: outcomes.Outcome,
    ) -> None:
        """Does nothing: attempts are not evaluated."""

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Records a retry and its reason."""
        self._environment.records.record_retry(call, reason)

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Records a denied retry and its reason."""
        self._environment.records.record_retry_denied(reason)
