"""One line for each decision about a request, as far as the volume allows.

Under overload the same decision is taken thousands of times a second. Of each
kind of line only so many are written; the rest is counted, and the counts are
written with the next line.
"""

import collections
from collections.abc import Callable
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.membership import budget
from kumquatridge.routing import choices
from kumquatridge.telemetry import counts
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import events

FIRST_FAILURE_STATUS = 500
# Latencies kept for the histogram until the next scrape, some seconds of load.
MAX_LATENCIES = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLogSettings:
    """Bounds of the volume: lines of each kind, and sampled good requests.

    At some 200 bytes a line, the default bounds one kind to 2 KB/s.
    """

    lines_per_s: float = 10.0
    burst: int = 50
    sampled_ratio: float = 0.002


class RequestLog(counts.MetricRecorder):
    """Counts decisions and writes lines about them."""

    def __init__(
        self,
        log: decisions.DecisionLog,
        get_version: Callable[[], int],
        settings: RequestLogSettings | None = None,
    ) -> None:
        super().__init__(log)
        self._settings = settings or RequestLogSettings()
        self._get_version = get_version
        self._budgets: dict[str, budget.RateBudget] = {}
        self._dropped: collections.Counter[str] = collections.Counter()
        self._random = random.Random()
        self.latencies_ms: collections.deque[tuple[str, float]] = (
            collections.deque(maxlen=MAX_LATENCIES)
        )
        self.endings: collections.Counter[counts.EndingKey] = (
            collections.Counter()
        )

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Counts a call that was not run, and says why."""
        super().record_refusal(call, refusal)
        if not self._may_write(f"refused/{refusal.code}"):
            return
        events.log(
            events.RequestRefused(
                call.request_id,
                call.chain.root_id,
                call.policy.route,
                call.service,
                call.chain.importance.name.lower(),
                call.chain.depth,
                refusal.code,
                _describe(refusal),
                _get_held_ms(call),
                self._get_version(),
            )
        )

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts another attempt at a call, and says why."""
        super().record_retry(call, reason)
        self._write_repeat(call, reason, is_allowed=True)

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts an attempt that wasn't allowed, and says why."""
        super().record_retry_denied(call, reason)
        self._write_repeat(call, reason, is_allowed=False)

    def _write_repeat(
        self, call: calls.Call, reason: str, *, is_allowed: bool
    ) -> None:
        if not self._may_write(f"repeated/{reason}/{is_allowed}"):
            return
        events.log(
            events.RequestRepeated(
                call.request_id,
                call.chain.root_id,
                call.service,
                reason,
                is_allowed,
                _get_held_ms(call),
            )
        )

    def record_attempt(
        self,
        call: calls.Call,
        get_place: Callable[[], choices.Place],
        outcome: outcomes.Outcome,
    ) -> None:
        """Says what an instance made of a call that it didn't serve."""
        match outcome:
            case outcomes.Completed(status):
                told = f"status {status}"
            case outcomes.NotRun(refusal):
                told = f"not run: {refusal.code}"
            case outcomes.Failed(detail) | outcomes.Unknown(detail):
                told = detail
        if not self._may_write(f"attempt/{told}"):
            return
        place = get_place()
        events.log(
            events.AttemptFailed(
                call.request_id,
                call.chain.root_id,
                call.service,
                place.instance,
                told,
                _get_held_ms(call),
                place.load_ratio,
                place.slowness_ratio,
                place.report_age_ms,
            )
        )

    def record_end(
        self, call: calls.Call, status: int, detail: str = ""
    ) -> None:
        """Counts an answer; writes of failed, slow and some others."""
        held_ms = _get_held_ms(call)
        self.endings[counts.EndingKey(str(status), call.service)] += 1
        self.latencies_ms.append((call.service, held_ms))
        if status >= FIRST_FAILURE_STATUS:
            kind = f"ended/{status}"
        elif held_ms > call.policy.objective_ms:
            kind = "ended/slow"
        elif self._random.random() < self._settings.sampled_ratio:
            kind = "ended/sampled"
        else:
            return
        if not self._may_write(kind):
            return
        events.log(
            events.RequestEnded(
                call.request_id,
                call.chain.root_id,
                call.policy.route,
                call.service,
                status,
                detail,
                held_ms,
                call.policy.objective_ms,
                self._get_version(),
            )
        )

    def _may_write(self, kind: str) -> bool:
        found = self._budgets.get(kind)
        if found is None:
            settings = self._settings
            found = budget.RateBudget(settings.lines_per_s, settings.burst)
            self._budgets[kind] = found
        if not found.take(1):
            self._dropped[kind] += 1
            return False
        dropped = self._dropped.pop(kind, 0)
        if dropped:
            events.log(events.LinesDropped(kind, dropped))
        return True


def _get_held_ms(call: calls.Call) -> float:
    return round(clock.get_now_ms() - call.received_ms, 1)


def _describe(refusal: refusals.Refusal) -> dict[str, object]:
    return {
        field.name: getattr(refusal, field.name)
        for field in dataclasses.fields(refusal)
    }
