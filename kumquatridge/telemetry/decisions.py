"""Recent refusals and retries, kept so that operators can look them up."""

import collections
import dataclasses
import time

from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals
from kumquatridge.telemetry import texts

# Default capacity of the log.
MAX_DECISIONS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalDecision:
    """A call that this daemon refused.

    `at_ms` is the wall-clock time in milliseconds since the Unix epoch.
    `root_id` identifies the root call, which no other call caused; `depth` is
    the number of calls from there to this call, 0 for the root.
    """

    at_ms: int
    root_id: str
    service: str
    route: str
    importance: str
    depth: int
    refusal: refusals.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecision:
    """A call that this daemon retried on another instance.

    `at_ms` is the wall-clock time in milliseconds since the Unix epoch.
    `reason` is as in `recorder.Recorder.record_retry`.
    """

    at_ms: int
    root_id: str
    service: str
    route: str
    reason: str


Decision = RefusalDecision | RetryDecision


class DecisionLog:
    """A bounded log of decisions that drops the oldest when it is full."""

    def __init__(self, capacity: int = MAX_DECISIONS) -> None:
        self._decisions: collections.deque[Decision] = collections.deque(
            maxlen=capacity
        )

    def add_refusal(self, call: calls.Call, refusal: refusals.Refusal) -> None:
        """Adds a refusal with the current wall-clock time."""
        self._decisions.append(
            RefusalDecision(
                _get_wall_ms(),
                texts.shorten(call.chain.root_id),
                call.service,
                call.policy.route,
                call.chain.importance.name.lower(),
                call.chain.depth,
                refusal,
            )
        )

    def add_retry(self, call: calls.Call, reason: str) -> None:
        """Adds a retry with the current wall-clock time."""
        self._decisions.append(
            RetryDecision(
                _get_wall_ms(),
                texts.shorten(call.chain.root_id),
                call.service,
                call.policy.route,
                reason,
            )
        )

    def find(self, root_id: str) -> tuple[Decision, ...]:
        """Returns the logged decisions about a root call, oldest first.

        A root call is one that no other call caused. The decisions about the
        calls that it caused are included.
        """
        kept_id = texts.shorten(root_id)
        return tuple(
            decision
            for decision in self._decisions
            if decision.root_id == kept_id
        )

    def get_latest(self, count: int) -> tuple[Decision, ...]:
        """Returns up to `count` of the latest decisions, oldest first."""
        return tuple(self._decisions)[-count:] if count > 0 else ()


def _get_wall_ms() -> int:
    return time.time_ns() // 1_000_000
