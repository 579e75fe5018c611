"""Evaluates a finished run against the bounds of its scenario."""

from collections.abc import Iterable, Sequence
import dataclasses
import itertools
import math

from kumquatridge.bench import bounds
from kumquatridge.bench import capacity
from kumquatridge.bench import records as bench_records
from kumquatridge.bench import scenario
from kumquatridge.bench import spans

# A recovery is searched in windows that start RECOVERY_STEP_MS apart.
RECOVERY_STEP_MS = 250.0
RECOVERY_WINDOW_MS = 4000.0
# Largest deviation from the reference: absolute for the success ratio, relative
# for p99.
RECOVERY_TOLERANCE_RATIO = 0.05
P99_RATIO = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """A bound and the measured figure, both formatted with their unit."""

    name: str
    bound: str
    figure: str
    holds: bool


class RunMeasures:
    """Computes the figures of one run."""

    def __init__(
        self, script: scenario.Scenario, records: bench_records.Records
    ) -> None:
        self._script = script
        self._records = records
        self._slot_times = {
            chain.name: capacity.get_slot_times(chain, script.deployment)
            for chain in script.deployment.chains
        }

    def measure_all(self) -> tuple[Measurement, ...]:
        """Evaluates the scenario's bounds, then the invariants of every run."""
        bound_measurements = [
            self._measure(bound) for bound in self._script.bounds
        ]
        return (*bound_measurements, *self._measure_invariants())

    def _measure(self, bound: bounds.Bound) -> Measurement:
        match bound:
            case bounds.Goodput(span, minimum):
                value = self.get_goodput(span)
                return _at_least(
                    f"goodput {_format_span(span)}", value, minimum
                )
            case bounds.Success(chains, span, minimum):
                value = get_success_ratio(self._select_arrivals(chains, span))
                name = f"success of {' '.join(chains)} {_format_span(span)}"
                return _at_least(name, value, minimum)
            case bounds.Recovery():
                value_s = self.get_recovery_ms(bound) / 1000.0
                max_s = bound.max_ms / 1000.0
                name = f"recovery after {bound.after_ms / 1000:g} s"
                return _at_most(name, value_s, max_s, "s")
            case bounds.TailLatency(chain, span, reference, maximum):
                p99_ms = get_p99_ms(self._select_arrivals((chain,), span))
                reference_ms = get_p99_ms(
                    self._select_arrivals((chain,), reference)
                )
                name = (
                    f"p99 of {chain} {_format_span(span)} "
                    f"over {_format_span(reference)}"
                )
                return _at_most(name, p99_ms / reference_ms, maximum, "times")
            case bounds.Standstill(span, max_ms):
                value_s = self.get_standstill_ms(span) / 1000.0
                name = f"standstill {_format_span(span)}"
                return _at_most(name, value_s, max_ms / 1000.0, "s")
            case bounds.Crashes(service, maximum):
                crashes = self._records.crashes[service]
                return _at_most(f"crashes of {service}", crashes, maximum, "")
            case bounds.FalseQuarantine(max_ms):
                value_s = self.get_false_quarantine_ms() / 1000.0
                name = "quarantine of an innocent"
                return _at_most(name, value_s, max_ms / 1000.0, "s")

    def _measure_invariants(self) -> Iterable[Measurement]:
        records = self._records
        counts = {
            "keys run twice": records.count_repeated_keys(),
            "calls that ran though told not run": records.count_false_not_run(),
            "answers of another call": records.wrong_answers,
            "chains over their retry allowance": records.count_excess_retries(),
            "critical refused while less is admitted": (
                records.priority_inversions
            ),
        }
        for name, count in counts.items():
            yield _at_most(name, count, 0, "")

    def _select_arrivals(
        self, chains: tuple[str, ...], span: spans.Span
    ) -> list[bench_records.FinishedRequest]:
        return [
            request
            for request in self._records.finished
            if request.chain in chains and span.contains(request.arrived_ms)
        ]

    def get_goodput(self, span: spans.Span) -> float:
        """Returns the completed work relative to the attainable work.

        Work is measured as slot utilisation; see `bounds.Goodput`. 1 if no
        requests arrive.
        """
        succeeded = [
            request
            for request in self._records.finished
            if request.is_success and span.contains(request.finished_ms)
        ]
        arrived = [
            request
            for request in self._records.finished
            if span.contains(request.arrived_ms)
        ]
        attainable = min(1.0, self._get_utilisation(arrived, span))
        return (
            self._get_utilisation(succeeded, span) / attainable
            if attainable
            else 1.0
        )

    def _get_utilisation(
        self, requests: list[bench_records.FinishedRequest], span: spans.Span
    ) -> float:
        """Returns the slot utilisation of the most used service.

        It is computed from slot times without faults and can exceed 1.
        """
        held_ms: dict[str, float] = {}
        for request in requests:
            for service, slot_ms in self._slot_times[request.chain].items():
                held_ms[service] = held_ms.get(service, 0.0) + slot_ms
        slots = capacity.get_slots(self._script.deployment)
        return max(
            (
                total_ms / (slots[service] * span.length_ms)
                for service, total_ms in held_ms.items()
            ),
            default=0.0,
        )

    def get_recovery_ms(self, bound: bounds.Recovery) -> float:
        """Returns the time from `bound.after_ms` to the recovery.

        The run has recovered once success ratio and p99 over
        RECOVERY_WINDOW_MS are within RECOVERY_TOLERANCE_RATIO of those in the
        reference span. Infinite if the run ends without recovery.
        """
        reference = self._select_arrivals(bound.chains, bound.reference)
        success_ratio = get_success_ratio(reference)
        p99_ms = get_p99_ms(reference)
        starts_ms = bound.after_ms
        while starts_ms + RECOVERY_WINDOW_MS <= self._script.duration_ms:
            window = spans.Span(starts_ms, starts_ms + RECOVERY_WINDOW_MS)
            arrivals = self._select_arrivals(bound.chains, window)
            has_recovered_success = (
                get_success_ratio(arrivals)
                >= success_ratio - RECOVERY_TOLERANCE_RATIO
            )
            max_p99_ms = p99_ms * (1 + RECOVERY_TOLERANCE_RATIO)
            if has_recovered_success and get_p99_ms(arrivals) <= max_p99_ms:
                return starts_ms - bound.after_ms
            starts_ms += RECOVERY_STEP_MS
        return math.inf

    def get_standstill_ms(self, span: spans.Span) -> float:
        """Returns the longest time in a span without a successful request."""
        times_ms = sorted(
            request.finished_ms
            for request in self._records.finished
            if request.is_success and span.contains(request.finished_ms)
        )
        boundaries_ms = [span.starts_ms, *times_ms, span.ends_ms]
        return max(
            later - earlier
            for earlier, later in itertools.pairwise(boundaries_ms)
        )

    def get_false_quarantine_ms(self) -> float:
        """Returns the longest quarantine of a request that is not poison.

        It lasts from the first to the last refusal of the request's path.
        """
        return max(
            (
                times_ms[-1] - times_ms[0]
                for times_ms in self._records.false_quarantines_ms.values()
            ),
            default=0.0,
        )


def get_success_ratio(
    requests: Sequence[bench_records.FinishedRequest],
) -> float:
    """Returns the share of requests that succeeded; 1 if there are none."""
    if not requests:
        return 1.0
    return sum(request.is_success for request in requests) / len(requests)


def get_p99_ms(requests: Iterable[bench_records.FinishedRequest]) -> float:
    """Returns the 99th percentile of the latency of successful requests.

    Infinite if there are none.
    """
    latencies_ms = sorted(
        request.latency_ms for request in requests if request.is_success
    )
    if not latencies_ms:
        return math.inf
    return latencies_ms[math.ceil(P99_RATIO * len(latencies_ms)) - 1]


def _format_span(span: spans.Span) -> str:
    return f"{span.starts_ms / 1000:g}-{span.ends_ms / 1000:g} s"


def _at_least(name: str, value: float, minimum: float) -> Measurement:
    return Measurement(
        name, f">= {minimum:.4g}", f"{value:.4f}", value >= minimum
    )


def _at_most(name: str, value: float, maximum: float, unit: str) -> Measurement:
    return Measurement(
        name,
        f"<= {maximum:g} {unit}".rstrip(),
        f"{value:.4g} {unit}".rstrip(),
        value <= maximum,
    )
