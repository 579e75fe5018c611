"""The latest refusals and retries, kept so that they can be explained."""

import collections
import dataclasses
import time

from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals

CAPACITY = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalDecision:
    """A call that this daemon refused.

    `at_ms` is the wall clock's time since the epoch.
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
    """A call that this daemon sent to another instance."""

    at_ms: int
    root_id: str
    service: str
    route: str
    reason: str


Decision = RefusalDecision | RetryDecision


class DecisionLog:
    """A bounded memory of decisions; the oldest is dropped first."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._decisions: collections.deque[Decision] = collections.deque(
            maxlen=capacity
        )

    def add_refusal(self, call: calls.Call, refusal: refusals.Refusal) -> None:
        """Remembers a refusal."""
        self._decisions.append(
            RefusalDecision(
                _get_wall_ms(),
                call.chain.root_id,
                call.service,
                call.policy.route,
                call.chain.importance.name.lower(),
                call.chain.depth,
                refusal,
            )
        )

    def add_retry(self, call: calls.Call, reason: str) -> None:
        """Remembers a retry."""
        self._decisions.append(
            RetryDecision(
                _get_wall_ms(),
                call.chain.root_id,
                call.service,
                call.policy.route,
                reason,
            )
        )

    def find(self, root_id: str) -> tuple[Decision, ...]:
        """Returns the decisions about one root request, oldest first."""
        return tuple(one for one in self._decisions if one.root_id == root_id)

    def get_latest(self, count: int) -> tuple[Decision, ...]:
        """Returns the latest decisions, oldest first."""
        return tuple(self._decisions)[-count:] if count > 0 else ()


def _get_wall_ms() -> int:
    return time.time_ns() // 1_000_000
