"""Summary of the demo's results and its rendering as text."""

import collections
from collections.abc import Iterable
import dataclasses

from kumquatridge.demo import load

# Calls are grouped into windows of this length to find the recovery.
WINDOW_S = 0.25
# Lowest share of successful calls in a window after the recovery.
RECOVERED_RATIO = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class PhaseReport:
    """Throughput, latency and failures of the calls of one phase.

    A call belongs to the phase in which it was due. `demand_per_s` and
    `goodput_per_s` are the calls and the successful ones for each second of the
    phase. The latencies are those of successful calls, 0 if there are none.
    `good_by_kind` holds the share of successful calls as text ("9 of 10").
    `refusals` counts all unsuccessful calls, whether a daemon refused them or
    they failed at the worker, by kind of call and reason.
    """

    name: str
    demand_per_s: float
    goodput_per_s: float
    p50_ms: float
    p99_ms: float
    good_by_kind: dict[str, str]
    refusals: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class DemoReport:
    """Summary of all phases of the demo.

    `recovery_s` counts from the start of the last phase; None if the service
    has not recovered (see `get_recovery_s`).
    `repeated_runs` is the number of bookings that ran more than once.
    `in_force_s` is the time from when the settings tree was written until it
    was in force, that is applied, at all daemons.
    """

    capacity_per_s: float
    phases: tuple[PhaseReport, ...]
    recovery_s: float | None
    repeated_runs: int
    in_force_s: float


def make_report(
    phases: tuple[load.Phase, ...],
    results: list[load.CallResult],
    capacity_per_s: float,
    repeated_runs: int,
    in_force_s: float,
) -> DemoReport:
    """Summarises the results of a demo whose last phase is normal load."""
    reports = []
    start_s = 0.0
    for phase in phases:
        end_s = start_s + phase.duration_s
        phase_results = [
            result for result in results if start_s <= result.due_s < end_s
        ]
        reports.append(_report_phase(phase, phase_results))
        start_s = end_s
    last_phase_start_s = start_s - phases[-1].duration_s
    last_results = [
        result for result in results if result.due_s >= last_phase_start_s
    ]
    return DemoReport(
        capacity_per_s,
        tuple(reports),
        get_recovery_s(last_results, last_phase_start_s),
        repeated_runs,
        in_force_s,
    )


def get_recovery_s(
    last_results: list[load.CallResult], start_s: float
) -> float | None:
    """Returns the seconds from `start_s` until the service has recovered.

    `start_s` is the start of the last phase and `last_results` are its calls.
    Calls are grouped into windows by the time when they are due. The service
    has recovered after the last window in which the share of successful calls
    is below RECOVERED_RATIO. Returns None if that is the last window or if
    there are no calls.
    """
    windows: dict[int, list[bool]] = collections.defaultdict(list)
    for result in last_results:
        windows[int((result.due_s - start_s) / WINDOW_S)].append(result.is_good)
    failed_windows = [
        number
        for number, successes in windows.items()
        if sum(successes) < RECOVERED_RATIO * len(successes)
    ]
    if not windows or max(failed_windows, default=-1) == max(windows):
        return None
    return (max(failed_windows, default=-1) + 1) * WINDOW_S


def _report_phase(
    phase: load.Phase, phase_results: list[load.CallResult]
) -> PhaseReport:
    good_results = [result for result in phase_results if result.is_good]
    latencies_ms = sorted(result.latency_ms for result in good_results) or [0.0]
    refusals = collections.Counter(
        f"{result.kind}: {result.reason or result.outcome}"
        for result in phase_results
        if not result.is_good
    )
    return PhaseReport(
        phase.name,
        len(phase_results) / phase.duration_s,
        len(good_results) / phase.duration_s,
        latencies_ms[len(latencies_ms) // 2],
        latencies_ms[len(latencies_ms) * 99 // 100],
        {
            kind: _format_success_share(
                result for result in phase_results if result.kind == kind
            )
            for kind in (load.BOOKING, load.LOOKUP)
        },
        dict(refusals),
    )


def _format_success_share(results: Iterable[load.CallResult]) -> str:
    successes = [result.is_good for result in results]
    return f"{sum(successes)} of {len(successes)}"


def render(report: DemoReport) -> str:
    """Returns the report as text."""
    lines = [
        f"settings in force at all daemons after {report.in_force_s:.2f} s",
        f"capacity: {report.capacity_per_s:.0f} calls/s",
        "",
    ]
    for phase in report.phases:
        lines += _render_phase(phase)
    if report.recovery_s is None:
        lines.append("recovery: not within the last phase")
    else:
        lines.append(
            f"recovery: within {report.recovery_s:.2f} s after the overload"
        )
    lines.append(f"bookings run twice: {report.repeated_runs}")
    return "\n".join(lines)


def _render_phase(phase: PhaseReport) -> list[str]:
    lines = [
        f"{phase.name}: {phase.demand_per_s:.0f} calls/s asked, "
        f"{phase.goodput_per_s:.0f} answered well; "
        f"p50 {phase.p50_ms:.0f} ms, p99 {phase.p99_ms:.0f} ms"
    ]
    for kind, share in phase.good_by_kind.items():
        lines.append(f"  {kind}s answered well: {share}")
    for reason, count in sorted(phase.refusals.items()):
        lines.append(f"  refused {reason}: {count}")
    return [*lines, ""]
