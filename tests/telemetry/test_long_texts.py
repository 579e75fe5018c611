"""Texts of clients that are as long as a head are not kept whole."""

import tracemalloc

import eliot
import pytest

from kumquatridge.calls import refusals
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import events
from kumquatridge.telemetry import texts
from tests import calls_factory

LONG = "i" * 15_000
COUNT = 200
# For each entry: the text that is kept, and the entry itself.
ENTRY_BYTES = 2 * texts.MAX_CHARS


async def test_decisions_keep_no_long_ids() -> None:
    log = decisions.DecisionLog()
    refusal = refusals.Draining("machine-1")
    tracemalloc.start()
    try:
        for number in range(COUNT):
            call = calls_factory.make_call(root_id=f"{number}.{LONG}")
            log.add_refusal(call, refusal)
            log.add_retry(call, "unanswered")
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept_bytes <= 2 * COUNT * ENTRY_BYTES
    assert len(log.find(f"7.{LONG}")) == 2


@pytest.mark.parametrize(
    "event",
    [
        pytest.param(events.AnswerCut(LONG, "reason"), id="a text"),
        pytest.param(
            events.RequestRefused(
                LONG, LONG, "r", "s", "normal", 0, "x", {"host": LONG}, 1.0, 1
            ),
            id="texts in fields",
        ),
    ],
)
def test_log_records_have_no_long_texts(event: events.Event) -> None:
    records: list[dict[str, object]] = []
    eliot.add_destinations(records.append)
    try:
        # A first destination gets what other tests have logged before it.
        records.clear()
        events.log(event)
    finally:
        eliot.remove_destination(records.append)
    (record,) = records
    assert len(str(record)) < 10 * texts.MAX_CHARS
