"""A second attempt at a slow call: who wins, and what it costs."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import pytest

from kumquatridge.callpath import hedging
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes

GOOD = outcomes.Completed(200, (), call_body.EMPTY, unspent_retries=1)
BAD = outcomes.Unknown("lost")
DELAY_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Attempted:
    """How long an attempt takes and what comes of it."""

    name: str
    latency_ms: float
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Two attempts, the outcome, and when it is here."""

    first: Attempted
    second: Attempted | None
    expected: outcomes.Outcome
    after_ms: float
    is_second_made: bool = True


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            Case(
                Attempted("a", 20.0, GOOD),
                Attempted("b", 1.0, BAD),
                GOOD,
                20.0,
                is_second_made=False,
            ),
            id="quick first",
        ),
        pytest.param(
            Case(
                Attempted("a", 900.0, BAD),
                Attempted("b", 20.0, GOOD),
                GOOD,
                70.0,
            ),
            id="second wins",
        ),
        pytest.param(
            Case(
                Attempted("a", 100.0, GOOD),
                Attempted("b", 200.0, GOOD),
                GOOD,
                100.0,
            ),
            id="first wins",
        ),
        pytest.param(
            Case(
                Attempted("a", 100.0, GOOD),
                Attempted("b", 10.0, BAD),
                GOOD,
                100.0,
            ),
            id="bad second is passed over",
        ),
        pytest.param(
            Case(
                Attempted("a", 60.0, BAD),
                Attempted("b", 50.0, GOOD),
                GOOD,
                100.0,
            ),
            id="bad first waits for the second",
        ),
        pytest.param(
            Case(Attempted("a", 60.0, GOOD), None, GOOD, 60.0, False),
            id="no second to be had",
        ),
    ],
)
async def test_outcome_and_release(case: Case) -> None:
    opened: set[str] = set()

    @contextlib.asynccontextmanager
    async def attempt(
        attempted: Attempted,
    ) -> AsyncIterator[outcomes.Outcome]:
        opened.add(attempted.name)
        try:
            await asyncio.sleep(attempted.latency_ms / 1000.0)
            yield attempted.outcome
        finally:
            opened.discard(attempted.name)

    def make_second() -> hedging.Attempt | None:
        return attempt(case.second) if case.second else None

    loop = asyncio.get_running_loop()
    started_s = loop.time()
    async with hedging.Hedge(
        attempt(case.first), make_second, DELAY_MS
    ) as hedge:
        after_ms = (loop.time() - started_s) * 1000.0
        assert hedge.outcome == case.expected
        assert after_ms == pytest.approx(case.after_ms, abs=1.0)
        assert hedge.is_second_made is case.is_second_made
    assert opened == set()


@pytest.mark.looptime
@pytest.mark.parametrize("cancel_after_ms", [10.0, 60.0])
async def test_cancellation_reaches_both(cancel_after_ms: float) -> None:
    running = 0

    @contextlib.asynccontextmanager
    async def attempt() -> AsyncIterator[outcomes.Outcome]:
        nonlocal running
        running += 1
        try:
            await asyncio.sleep(10.0)
            yield GOOD
        finally:
            running -= 1

    async def hold() -> None:
        async with hedging.Hedge(attempt(), attempt, DELAY_MS):
            pass

    task = asyncio.create_task(hold())
    await asyncio.sleep(cancel_after_ms / 1000.0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert running == 0
