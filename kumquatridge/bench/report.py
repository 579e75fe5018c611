"""Formats results of runs as a Markdown table and as JSON values."""

from collections.abc import Iterator, Sequence
from typing import Any

from kumquatridge.bench import measures
from kumquatridge.bench import runner

_HEADER = (
    "| scenario | bound | seed | {} | naive | |\n|---|---|---|---|---|---|"
)
_NO_FIGURE = "-"


def format_markdown(results: Sequence[runner.RunResult]) -> str:
    """Returns a Markdown table with a row for each figure of the product.

    The row also shows the figure of the naive fleet, the baseline, from the run
    with the same scenario and seed.
    """
    naive = {
        (candidate.script.name, candidate.seed): candidate
        for candidate in results
        if candidate.version is runner.Version.NAIVE
    }
    lines = [_HEADER.format(runner.Version.PRODUCT.value)]
    for result in results:
        if result.version is runner.Version.PRODUCT:
            baseline = naive.get((result.script.name, result.seed))
            lines.extend(_iter_rows(result, baseline))
    return "\n".join(lines) + "\n"


def _iter_rows(
    result: runner.RunResult, baseline: runner.RunResult | None
) -> Iterator[str]:
    baseline_figures = (
        {
            measurement.name: measurement.figure
            for measurement in baseline.measured
        }
        if baseline
        else {}
    )
    for measurement in result.measured:
        status = "holds" if measurement.holds else "**fails**"
        baseline_figure = baseline_figures.get(measurement.name, _NO_FIGURE)
        yield (
            f"| {result.script.name} | {measurement.name} {measurement.bound} "
            f"| {result.seed} | {measurement.figure} | {baseline_figure} "
            f"| {status} |"
        )


def make_values(result: runner.RunResult) -> dict[str, Any]:
    """Returns a result as values that can be encoded as JSON."""
    return {
        "scenario": result.script.name,
        "version": result.version.value,
        "seed": result.seed,
        "holds": result.holds,
        "requests": len(result.records.finished),
        "calls_run": sum(result.records.runs_by_call_id.values()),
        "refusals": dict(result.records.refusals),
        "retries": dict(result.records.retries),
        "wall_s": round(result.wall_s, 2),
        "measured": [
            _make_measurement_values(measurement)
            for measurement in result.measured
        ],
    }


def _make_measurement_values(
    measurement: measures.Measurement,
) -> dict[str, Any]:
    return {
        "name": measurement.name,
        "bound": measurement.bound,
        "figure": measurement.figure,
        "holds": measurement.holds,
    }
