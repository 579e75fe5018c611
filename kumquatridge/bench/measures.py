"""Measures a finished run against the bounds of its scenario."""

from collections.abc import Iterable, Sequence
import dataclasses
import itertools
import math

from kumquatridge.bench import bounds
from kumquatridge.bench import capacity
from kumquatridge.bench import records as bench_records
from kumquatridge.bench import scenario
from kumquatridge.bench import spans

RECOVERY_STEP_MS = 250.0
RECOVERY_WINDOW_MS = 4000.0
RECOVERY_TOLERANCE_RATIO = 0.05
P99_RATIO = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """One bound and the figure of a run; both carry the unit in words."""

    name: str
    bound: str
    figure: str
    holds: bool


class RunMeasures:
    """Works out the figures of one run."""

    def __init__(
        self, script: scenario.Scenario, records: bench_records.Records
    ) -> None:
        self._script = script
        self._records = records
        self._slot_times = {
            chain.name: capacity.get_slot_times(chain, script.deployment)
            for chain in script.deployment.chains
        }

    def measure_all(self) -> tuple[Measured, ...]:
        """Measures every bound, then every promise."""
        bounds = [self._measure(bound) for bound in self._script.bounds]
        return (*bounds, *self._measure_promises())

    def _measure(self, bound: bounds.Bound) -> Measured:
        match bound:
            case bounds.Goodput(span, least):
                found = self.get_goodput(span)
                return _at_least(f"goodput {_show(span)}", found, least)
            case bounds.Success(chains, span, least):
                found = get_success(self._arrived(chains, span))
                name = f"success of {' '.join(chains)} {_show(span)}"
                return _at_least(name, found, least)
            case bounds.Recovery():
                found_s = self.get_recovery_ms(bound) / 1000.0
                most_s = bound.most_ms / 1000.0
                name = f"recovery after {bound.after_ms / 1000:g} s"
                return _at_most(name, found_s, most_s, "s")
            case bounds.TailLatency(chain, span, quiet, most):
                p99_ms = get_p99_ms(self._arrived((chain,), span))
                quiet_ms = get_p99_ms(self._arrived((chain,), quiet))
                name = f"p99 of {chain} {_show(span)} over {_show(quiet)}"
                return _at_most(name, p99_ms / quiet_ms, most, "times")
            case bounds.Standstill(span, most_ms):
                found_s = self.get_standstill_ms(span) / 1000.0
                name = f"standstill {_show(span)}"
                return _at_most(name, found_s, most_ms / 1000.0, "s")
            case bounds.Crashes(service, most):
                crashes = self._records.crashes[service]
                return _at_most(f"crashes of {service}", crashes, most, "")
            case bounds.InnocentQuarantine(most_ms):
                found_s = self.get_innocent_quarantine_ms() / 1000.0
                name = "quarantine of an innocent"
                return _at_most(name, found_s, most_ms / 1000.0, "s")

    def _measure_promises(self) -> Iterable[Measured]:
        records = self._records
        counts = {
            "keys run twice": records.count_repeated_keys(),
            "calls that ran though told not run": records.count_false_not_run(),
            "answers of another call": records.wrong_answers,
            "chains over their retry allowance": records.count_excess_retries(),
            "critical refused while less is admitted": records.inversions,
        }
        for name, count in counts.items():
            yield _at_most(name, count, 0, "")

    def _arrived(
        self, chains: tuple[str, ...], span: spans.Span
    ) -> list[bench_records.Finished]:
        return [
            one
            for one in self._records.finished
            if one.chain in chains and span.contains(one.arrived_ms)
        ]

    def get_goodput(self, span: spans.Span) -> float:
        """Returns useful work over what demand and capacity allow."""
        done = [
            one
            for one in self._records.finished
            if one.is_good and span.contains(one.finished_ms)
        ]
        asked = [
            one
            for one in self._records.finished
            if span.contains(one.arrived_ms)
        ]
        allowed = min(1.0, self._get_use(asked, span))
        return self._get_use(done, span) / allowed if allowed else 1.0

    def _get_use(
        self, requests: list[bench_records.Finished], span: spans.Span
    ) -> float:
        """Returns the part of the fullest service's slots that is used."""
        held_ms: dict[str, float] = {}
        for one in requests:
            for service, slot_ms in self._slot_times[one.chain].items():
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
        """Returns how long after its time the service is as before.

        Infinite when it is not as before within the run.
        """
        before = self._arrived(bound.chains, bound.before)
        success = get_success(before)
        p99_ms = get_p99_ms(before)
        starts_ms = bound.after_ms
        while starts_ms + RECOVERY_WINDOW_MS <= self._script.duration_ms:
            window = spans.Span(starts_ms, starts_ms + RECOVERY_WINDOW_MS)
            now = self._arrived(bound.chains, window)
            is_good = get_success(now) >= success - RECOVERY_TOLERANCE_RATIO
            most_ms = p99_ms * (1 + RECOVERY_TOLERANCE_RATIO)
            if is_good and get_p99_ms(now) <= most_ms:
                return starts_ms - bound.after_ms
            starts_ms += RECOVERY_STEP_MS
        return math.inf

    def get_standstill_ms(self, span: spans.Span) -> float:
        """Returns the longest time in a span without a success."""
        times_ms = sorted(
            one.finished_ms
            for one in self._records.finished
            if one.is_good and span.contains(one.finished_ms)
        )
        marks_ms = [span.starts_ms, *times_ms, span.ends_ms]
        return max(
            later - earlier for earlier, later in itertools.pairwise(marks_ms)
        )

    def get_innocent_quarantine_ms(self) -> float:
        """Returns the longest quarantine of a request that is harmless."""
        return max(
            (
                times_ms[-1] - times_ms[0]
                for times_ms in self._records.quarantined.values()
            ),
            default=0.0,
        )


def get_success(requests: Sequence[bench_records.Finished]) -> float:
    """Returns the part of the requests that succeeded; 1 of none."""
    if not requests:
        return 1.0
    return sum(one.is_good for one in requests) / len(requests)


def get_p99_ms(requests: Iterable[bench_records.Finished]) -> float:
    """Returns the 99th percentile of the latency of those that succeeded."""
    latencies_ms = sorted(one.latency_ms for one in requests if one.is_good)
    if not latencies_ms:
        return math.inf
    return latencies_ms[math.ceil(P99_RATIO * len(latencies_ms)) - 1]


def _show(span: spans.Span) -> str:
    return f"{span.starts_ms / 1000:g}-{span.ends_ms / 1000:g} s"


def _at_least(name: str, found: float, least: float) -> Measured:
    return Measured(name, f">= {least:.4g}", f"{found:.4f}", found >= least)


def _at_most(name: str, found: float, most: float, unit: str) -> Measured:
    return Measured(
        name,
        f"<= {most:g} {unit}".rstrip(),
        f"{found:.4g} {unit}".rstrip(),
        found <= most,
    )
