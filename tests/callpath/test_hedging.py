"""Hedged requests: which attempt wins, when, and what is closed."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import pytest

from kumquatridge.callpath import hedging
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes

COMPLETED = outcomes.Completed(200, (), call_body.EMPTY, unspent_retries=1)
LOST = outcomes.Unknown("lost")
# The hedge is sent this long after the primary attempt.
DELAY_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class ScriptedAttempt:
    """An attempt with the given outcome `latency_ms` after its start.

    `name` identifies it among the open attempts.
    """

    name: str
    latency_ms: float
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Two attempts, the expected outcome, and the time until it.

    `hedge` is None if it is declined. `after_ms` counts from the start of the
    primary attempt, so a hedge that wins adds its latency to `DELAY_MS`.
    """

    primary: ScriptedAttempt
    hedge: ScriptedAttempt | None
    expected: outcomes.Outcome
    after_ms: float
    is_hedge_sent: bool = True


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            Case(
                ScriptedAttempt("a", 20.0, COMPLETED),
                ScriptedAttempt("b", 1.0, LOST),
                COMPLETED,
                20.0,
                is_hedge_sent=False,
            ),
            id="primary answers before the delay",
        ),
        pytest.param(
            Case(
                ScriptedAttempt("a", 900.0, LOST),
                ScriptedAttempt("b", 20.0, COMPLETED),
                COMPLETED,
                70.0,
            ),
            id="hedge wins",
        ),
        pytest.param(
            Case(
                ScriptedAttempt("a", 100.0, COMPLETED),
                ScriptedAttempt("b", 200.0, COMPLETED),
                COMPLETED,
                100.0,
            ),
            id="primary wins",
        ),
        pytest.param(
            Case(
                ScriptedAttempt("a", 100.0, COMPLETED),
                ScriptedAttempt("b", 10.0, LOST),
                COMPLETED,
                100.0,
            ),
            id="lost hedge is ignored",
        ),
        pytest.param(
            Case(
                ScriptedAttempt("a", 60.0, LOST),
                ScriptedAttempt("b", 50.0, COMPLETED),
                COMPLETED,
                100.0,
            ),
            id="hedge is awaited after a lost primary",
        ),
        pytest.param(
            Case(
                ScriptedAttempt("a", 60.0, COMPLETED),
                None,
                COMPLETED,
                60.0,
                False,  # No hedge is sent.
            ),
            id="hedge declined",
        ),
    ],
)
async def test_first_completed_attempt_wins_and_the_other_is_closed(
    case: Case,
) -> None:
    open_attempts: set[str] = set()

    @contextlib.asynccontextmanager
    async def attempt(
        scripted: ScriptedAttempt,
    ) -> AsyncIterator[outcomes.Outcome]:
        open_attempts.add(scripted.name)
        try:
            await asyncio.sleep(scripted.latency_ms / 1000.0)
            yield scripted.outcome
        finally:
            open_attempts.discard(scripted.name)

    def make_hedge() -> hedging.Attempt | None:
        return attempt(case.hedge) if case.hedge else None

    loop = asyncio.get_running_loop()
    started_s = loop.time()
    async with hedging.HedgedRequest(
        attempt(case.primary), make_hedge, DELAY_MS
    ) as hedged_request:
        after_ms = (loop.time() - started_s) * 1000.0
        assert hedged_request.outcome == case.expected
        assert after_ms == pytest.approx(case.after_ms, abs=1.0)
        assert hedged_request.is_hedge_sent is case.is_hedge_sent
    assert open_attempts == set()


@pytest.mark.looptime
# Before the hedge is sent and after it.
@pytest.mark.parametrize("cancel_after_ms", [10.0, 60.0])
async def test_cancellation_closes_open_attempts(
    cancel_after_ms: float,
) -> None:
    running = 0

    @contextlib.asynccontextmanager
    async def attempt() -> AsyncIterator[outcomes.Outcome]:
        nonlocal running
        running += 1
        try:
            await asyncio.sleep(10.0)
            yield COMPLETED
        finally:
            running -= 1

    async def send_hedged_request() -> None:
        async with hedging.HedgedRequest(attempt(), attempt, DELAY_MS):
            pass

    # Each attempt lasts 10 s, so only the cancellation ends it.
    task = asyncio.create_task(send_hedged_request())
    await asyncio.sleep(cancel_after_ms / 1000.0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert running == 0
