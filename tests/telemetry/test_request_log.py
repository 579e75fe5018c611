"""The volume of lines is bounded, and writing never holds anybody up."""

import asyncio
import collections
import threading
import time

import pytest

from kumquatridge.calls import refusals
from kumquatridge.telemetry import counts
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import events
from kumquatridge.telemetry import log_sink
from kumquatridge.telemetry import request_log
from tests import calls_factory

SETTINGS = request_log.RequestLogSettings(lines_per_s=5.0, burst=10)


@pytest.fixture
def written(monkeypatch: pytest.MonkeyPatch) -> list[events.Event]:
    lines: list[events.Event] = []
    monkeypatch.setattr(events, "log", lines.append)
    return lines


def make_log() -> request_log.RequestLog:
    return request_log.RequestLog(decisions.DecisionLog(), lambda: 7, SETTINGS)


async def test_each_kind_of_line_is_bounded(
    written: list[events.Event],
) -> None:
    log = make_log()
    call = calls_factory.make_call()
    for _ in range(1000):
        log.record_refusal(call, refusals.Draining("i"))
        log.record_refusal(call, refusals.NoInstance("s", 1))
    lines = collections.Counter(type(one).__name__ for one in written)
    assert lines["RequestRefused"] == 2 * SETTINGS.burst
    await asyncio.sleep(0.25)
    log.record_refusal(call, refusals.Draining("i"))
    assert events.LinesDropped("refused/draining", 990) in written


@pytest.mark.parametrize(
    ("status", "is_written"), [(200, False), (404, False), (503, True)]
)
async def test_failed_answers_are_written(
    written: list[events.Event], status: int, is_written: bool
) -> None:
    log = make_log()
    log.record_end(calls_factory.make_call(), status)
    assert bool(written) is is_written
    assert log.endings[counts.EndingKey(str(status), "planning")] == 1


async def test_reader_that_stops_holds_nobody_up() -> None:
    stopped = threading.Event()

    class Stream:
        """A stream whose reader has stopped."""

        def write(self, data: bytes) -> int:
            stopped.wait(5.0)
            return len(data)

        def flush(self) -> None:
            """Does nothing."""

    sink = log_sink.LogSink(Stream())  # type: ignore[arg-type]
    async with sink:
        sink.take({"event": "first"})
        await asyncio.sleep(2 * log_sink.FLUSH_INTERVAL_S)
        started_s = time.monotonic()
        for number in range(2 * log_sink.MAX_WAITING):
            sink.take({"event": "one", "number": number})
        assert time.monotonic() - started_s < 1.0
        assert sink.dropped == log_sink.MAX_WAITING
        stopped.set()
