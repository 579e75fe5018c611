"""Logs one line for each decision about a request, within rate limits.

Under overload the same decision is made thousands of times a second. The rate
of each kind of line is limited; dropped lines are counted, and their count is
logged before the next line of that kind.
"""

import collections
from collections.abc import Callable
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.membership import token_bucket
from kumquatridge.routing import choices
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import events
from kumquatridge.telemetry import metric_recorder

# Answers with this or a higher status are logged as failed.
MIN_FAILURE_STATUS = 500
# Latencies buffered for the histogram until the next scrape, enough for some
# seconds of load. Beyond this the oldest are dropped.
MAX_BUFFERED_LATENCIES = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLogSettings:
    """Rate limit of each kind of line, and fraction of requests to sample.

    Up to `burst` lines of a kind may follow each other at once, and
    `lines_per_s` over a longer time. At about 200 bytes a line, the default
    limits each kind to 2 KB/s. `sampled_fraction` of the requests that neither
    failed nor were slow are logged too.
    """

    lines_per_s: float = 10.0
    burst: int = 50
    sampled_fraction: float = 0.002


class RequestLog(metric_recorder.MetricRecorder):
    """Counts decisions and logs them within the rate limits.

    The kind of a line is a text such as "refused/overloaded"; `LinesDropped`
    events show it. `latencies_ms` holds the service and the latency of each
    answer until the exporter takes them out at the next scrape.
    """

    def __init__(
        self,
        decision_log: decisions.DecisionLog,
        get_route_version: Callable[[], int],
        settings: RequestLogSettings | None = None,
    ) -> None:
        super().__init__(decision_log)
        self._settings = settings or RequestLogSettings()
        self._get_route_version = get_route_version
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._dropped: collections.Counter[str] = collections.Counter()
        self._random = random.Random()
        self.latencies_ms: collections.deque[tuple[str, float]] = (
            collections.deque(maxlen=MAX_BUFFERED_LATENCIES)
        )
        self.answers: collections.Counter[metric_recorder.AnswerKey] = (
            collections.Counter()
        )

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Counts and logs a refused call."""
        super().record_refusal(call, refusal)
        if not self._try_acquire_token(f"refused/{refusal.code}"):
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
                _get_fields(refusal),
                _get_elapsed_ms(call),
                self._get_route_version(),
            )
        )

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts and logs a retry of a call."""
        super().record_retry(call, reason)
        self._log_retry(call, reason, is_allowed=True)

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts and logs a retry that was not allowed."""
        super().record_retry_denied(call, reason)
        self._log_retry(call, reason, is_allowed=False)

    def _log_retry(
        self, call: calls.Call, reason: str, *, is_allowed: bool
    ) -> None:
        if not self._try_acquire_token(f"repeated/{reason}/{is_allowed}"):
            return
        events.log(
            events.RequestRepeated(
                call.request_id,
                call.chain.root_id,
                call.service,
                reason,
                is_allowed,
                _get_elapsed_ms(call),
            )
        )

    def record_failed_attempt(
        self,
        call: calls.Call,
        get_snapshot: Callable[[], choices.InstanceSnapshot],
        outcome: outcomes.Outcome,
    ) -> None:
        """Logs an attempt that failed, and the state of the chosen instance."""
        match outcome:
            case outcomes.Completed(status):
                outcome_text = f"status {status}"
            case outcomes.NotRun(refusal):
                outcome_text = f"not run: {refusal.code}"
            case outcomes.Failed(detail) | outcomes.Unknown(detail):
                outcome_text = detail
        if not self._try_acquire_token(f"attempt/{outcome_text}"):
            return
        instance_snapshot = get_snapshot()
        events.log(
            events.AttemptFailed(
                call.request_id,
                call.chain.root_id,
                call.service,
                instance_snapshot.instance,
                outcome_text,
                _get_elapsed_ms(call),
                instance_snapshot.load_ratio,
                instance_snapshot.slowness_ratio,
                instance_snapshot.report_age_ms,
            )
        )

    def record_answer(
        self, call: calls.Call, status: int, detail: str = ""
    ) -> None:
        """Counts an answer; logs it if it failed, was slow or is sampled."""
        elapsed_ms = _get_elapsed_ms(call)
        self.answers[metric_recorder.AnswerKey(str(status), call.service)] += 1
        self.latencies_ms.append((call.service, elapsed_ms))
        if status >= MIN_FAILURE_STATUS:
            kind = f"ended/{status}"
        elif elapsed_ms > call.policy.objective_ms:
            kind = "ended/slow"
        elif self._random.random() < self._settings.sampled_fraction:
            kind = "ended/sampled"
        else:
            return
        if not self._try_acquire_token(kind):
            return
        events.log(
            events.RequestEnded(
                call.request_id,
                call.chain.root_id,
                call.policy.route,
                call.service,
                status,
                detail,
                elapsed_ms,
                call.policy.objective_ms,
                self._get_route_version(),
            )
        )

    def _try_acquire_token(self, kind: str) -> bool:
        """Returns whether the rate limit allows a line of this kind now.

        Counts the line as dropped if not. Otherwise logs how many lines of this
        kind were dropped before.
        """
        bucket = self._buckets.get(kind)
        if bucket is None:
            settings = self._settings
            bucket = token_bucket.TokenBucket(
                settings.lines_per_s, settings.burst
            )
            self._buckets[kind] = bucket
        if not bucket.take(1):
            self._dropped[kind] += 1
            return False
        dropped = self._dropped.pop(kind, 0)
        if dropped:
            events.log(events.LinesDropped(kind, dropped))
        return True


def _get_elapsed_ms(call: calls.Call) -> float:
    """Returns the time since the call was received, to 0.1 ms."""
    return round(clock.get_now_ms() - call.received_ms, 1)


def _get_fields(refusal: refusals.Refusal) -> dict[str, object]:
    return {
        field.name: getattr(refusal, field.name)
        for field in dataclasses.fields(refusal)
    }
