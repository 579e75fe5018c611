"""Interfaces through which decisions about calls are recorded."""

from collections.abc import Callable
from typing import Protocol

from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.routing import choices


class Recorder(Protocol):
    """Records refusals, retries and failed attempts."""

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Records a call that was refused."""
        ...

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Records a retry of a call.

        `reason` is the code of the refusal or another reason to retry (see
        `callpath.retries`), or "hedge" for a second attempt that is sent while
        the first one is slow.
        """
        ...

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Records a retry that might have helped but was not allowed.

        `reason` is why it was not allowed.
        """
        ...

    def record_failed_attempt(
        self,
        call: calls.Call,
        get_snapshot: Callable[[], choices.InstanceSnapshot],
        outcome: outcomes.Outcome,
    ) -> None:
        """Records a failed attempt to run a call, with its outcome.

        `get_snapshot` returns the chosen instance and its measured state. It is
        called only if these are needed, as most log lines are dropped under
        overload.
        """
        ...


class FrontEndRecorder(Protocol):
    """Records rejected requests and answers that were cut off."""

    def record_rejection(self, refusal: refusals.Refusal) -> None:
        """Records a request that was rejected before it became a call."""
        ...

    def record_truncated_answer(self, call: calls.Call, reason: str) -> None:
        """Records an answer that was cut off after its head was sent."""
        ...
