"""Writes the results of runs as a Markdown table and as JSON values."""

from collections.abc import Iterator, Sequence
from typing import Any

from kumquatridge.bench import measures
from kumquatridge.bench import runner

_HEADER = (
    "| scenario | bound | seed | {} | naive | |\n|---|---|---|---|---|---|"
)
_NOT_RUN = "-"


def write_markdown(results: Sequence[runner.RunResult]) -> str:
    """Returns a table with the product and the naive version side by side."""
    naive = {
        (one.script.name, one.seed): one
        for one in results
        if one.version is runner.Version.NAIVE
    }
    lines = [_HEADER.format(runner.Version.PRODUCT.value)]
    for result in results:
        if result.version is runner.Version.PRODUCT:
            beside = naive.get((result.script.name, result.seed))
            lines.extend(_iter_rows(result, beside))
    return "\n".join(lines) + "\n"


def _iter_rows(
    result: runner.RunResult, beside: runner.RunResult | None
) -> Iterator[str]:
    figures = (
        {one.name: one.figure for one in beside.measured} if beside else {}
    )
    for one in result.measured:
        verdict = "holds" if one.holds else "**fails**"
        other = figures.get(one.name, _NOT_RUN)
        yield (
            f"| {result.script.name} | {one.name} {one.bound} | {result.seed} "
            f"| {one.figure} | {other} | {verdict} |"
        )


def make_values(result: runner.RunResult) -> dict[str, Any]:
    """Returns a result as plain values for JSON."""
    return {
        "scenario": result.script.name,
        "version": result.version.value,
        "seed": result.seed,
        "holds": result.holds,
        "requests": len(result.records.finished),
        "calls_run": sum(result.records.runs.values()),
        "refusals": dict(result.records.refusals),
        "retries": dict(result.records.retries),
        "wall_s": round(result.wall_s, 2),
        "measured": [_make_measured(one) for one in result.measured],
    }


def _make_measured(one: measures.Measured) -> dict[str, Any]:
    return {
        "name": one.name,
        "bound": one.bound,
        "figure": one.figure,
        "holds": one.holds,
    }
