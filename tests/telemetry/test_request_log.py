"""Log lines are rate-limited, and writing them never blocks the event loop.

Guards against a log volume that grows with the overload, and against an event
loop that stalls because the reader of the log has stopped reading.
"""

import asyncio
import collections
import threading
import time

import pytest

from kumquatridge.calls import refusals
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import events
from kumquatridge.telemetry import log_sink
from kumquatridge.telemetry import metric_recorder
from kumquatridge.telemetry import request_log
from tests import calls_factory

# The burst is used up by the first 10 lines of a kind; the next line is allowed
# after 200 ms.
SETTINGS = request_log.RequestLogSettings(lines_per_s=5.0, burst=10)


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[events.Event]:
    """Returns a list that receives the events instead of the log."""
    logged_events: list[events.Event] = []
    monkeypatch.setattr(events, "log", logged_events.append)
    return logged_events


def make_request_log() -> request_log.RequestLog:
    """Returns a log for a route table of version 7."""
    return request_log.RequestLog(decisions.DecisionLog(), lambda: 7, SETTINGS)


async def test_each_kind_of_line_is_rate_limited(
    logged: list[events.Event],
) -> None:
    request_logger = make_request_log()
    call = calls_factory.make_call()
    for _ in range(1000):
        request_logger.record_refusal(call, refusals.Draining("i"))
        request_logger.record_refusal(call, refusals.NoInstance("s", 1))
    counts_by_event = collections.Counter(
        type(event).__name__ for event in logged
    )
    # The two refusals are lines of different kinds.
    assert counts_by_event["RequestRefused"] == 2 * SETTINGS.burst
    # Long enough for one more line of each kind.
    await asyncio.sleep(0.25)
    request_logger.record_refusal(call, refusals.Draining("i"))
    assert events.LinesDropped("refused/draining", 990) in logged


@pytest.mark.parametrize(
    ("status", "is_logged"),
    [(200, False), (404, False), (503, True)],
)
async def test_only_failed_answers_are_always_logged(
    logged: list[events.Event], status: int, is_logged: bool
) -> None:
    request_logger = make_request_log()
    request_logger.record_answer(calls_factory.make_call(), status)
    assert bool(logged) is is_logged
    assert (
        request_logger.answers[
            metric_recorder.AnswerKey(str(status), "planning")
        ]
        == 1
    )


async def test_stopped_reader_does_not_block_the_event_loop() -> None:
    resumed = threading.Event()

    class BlockedStream:
        """A stream whose writes block until its reader resumes."""

        def write(self, data: bytes) -> int:
            resumed.wait(5.0)
            return len(data)

        def flush(self) -> None:
            """Does nothing."""

    sink = log_sink.LogSink(BlockedStream())  # type: ignore[arg-type]
    async with sink:
        # The writing thread takes this record and is then blocked.
        sink.enqueue({"event": "first"})
        await asyncio.sleep(2 * log_sink.FLUSH_INTERVAL_S)
        started_s = time.monotonic()
        for number in range(2 * log_sink.MAX_QUEUED_RECORDS):
            sink.enqueue({"event": "one", "number": number})
        # Queueing takes some milliseconds; a blocked write would take 5 s.
        assert time.monotonic() - started_s < 1.0
        assert sink.dropped == log_sink.MAX_QUEUED_RECORDS
        resumed.set()
