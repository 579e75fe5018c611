"""Counts the product's refusals and retries in the records of a run."""

from collections.abc import Callable

from kumquatridge.bench import fleets
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.routing import choices


class RunRecorder:
    """Counts refusals and retries in the run's records.

    `worker` is the worker that the refusals guard, None on the way out.
    """

    def __init__(
        self, environment: fleets.Environment, worker: str | None
    ) -> None:
        self._environment = environment
        self._worker = worker

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Counts a call that was not run and why."""
        self._environment.records.note_refusal(self._worker, call, refusal)

    def record_attempt(
        self,
        call: calls.Call,
        get_place: Callable[[], choices.Place],
        outcome: outcomes.Outcome,
    ) -> None:
        """Counts nothing."""

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts another attempt at a call and why."""
        self._environment.records.note_retry(call, reason)

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts an attempt that was not made and why."""
        self._environment.records.note_retry_denied(reason)
