"""Plots of runs over time; needs matplotlib, a development dependency."""

from collections.abc import Sequence
import pathlib
from typing import Any

from kumquatridge.bench import errors
from kumquatridge.bench import measures
from kumquatridge.bench import records as bench_records
from kumquatridge.bench import runner
from kumquatridge.bench import spans

# Each point of a plot covers the requests that arrive in a span of this length.
POINT_SPAN_MS = 1000.0
DOTS_PER_INCH = 90


def draw(results: Sequence[runner.RunResult], file: pathlib.Path) -> None:
    """Plots success ratio and p99 over time, all results in one figure.

    Raises:
      BenchError: matplotlib is not installed.
    """
    pyplot = _load_pyplot()
    figure, (top, bottom) = pyplot.subplots(2, 1, sharex=True, figsize=(8, 6))
    for result in results:
        point_spans = _make_spans(result.script.duration_ms)
        seconds = [span.starts_ms / 1000.0 for span in point_spans]
        arrivals = [_select_arrivals(result, span) for span in point_spans]
        label = f"{result.version.value}, seed {result.seed}"
        top.plot(
            seconds,
            [100 * measures.get_success_ratio(group) for group in arrivals],
        )
        bottom.plot(seconds, [measures.get_p99_ms(group) for group in arrivals])
        top.lines[-1].set_label(label)
    top.set_title(results[0].script.title)
    top.set_ylabel("requests that succeed, %")
    bottom.set_ylabel("p99 of successful requests, ms")
    bottom.set_yscale("log")
    bottom.set_xlabel("time of arrival, s")
    top.legend()
    figure.savefig(file, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _load_pyplot() -> Any:
    try:
        import matplotlib as mpl  # noqa: PLC0415
        from matplotlib import pyplot as plt  # noqa: PLC0415
    except ImportError as error:
        raise errors.BenchError(
            "plots need matplotlib: pip install 'kumquatridge[dev]', "
            "or leave --report out"
        ) from error
    mpl.use("agg")
    return plt


def _make_spans(duration_ms: float) -> list[spans.Span]:
    return [
        spans.Span(number * POINT_SPAN_MS, (number + 1) * POINT_SPAN_MS)
        for number in range(int(duration_ms / POINT_SPAN_MS))
    ]


def _select_arrivals(
    result: runner.RunResult, span: spans.Span
) -> list[bench_records.FinishedRequest]:
    return [
        request
        for request in result.records.finished
        if span.contains(request.arrived_ms)
    ]
