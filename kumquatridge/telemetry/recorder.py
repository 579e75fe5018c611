"""Where decisions are counted and remembered."""

from collections.abc import Callable
from typing import Protocol

from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.routing import choices


class Recorder(Protocol):
    """Counts refusals and retries by reason."""

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Counts a call that was not run and why."""
        ...

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts another attempt at a call and why."""
        ...

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts an attempt that would have helped but wasn't allowed."""
        ...

    def record_attempt(
        self,
        call: calls.Call,
        get_place: Callable[[], choices.Place],
        outcome: outcomes.Outcome,
    ) -> None:
        """Takes note of what an instance made of a call."""
        ...


class FrontEndRecorder(Protocol):
    """Counts requests that never became calls, and answers cut off."""

    def record_rejection(self, refusal: refusals.Refusal) -> None:
        """Counts a request that was refused before it was a call."""
        ...

    def record_cut_answer(self, call: calls.Call, reason: str) -> None:
        """Counts an answer that was cut off after its head was sent."""
        ...
