"""Hedged requests: a second attempt at a call that is slow to answer.

Source: J. Dean and L. Barroso, "The Tail at Scale", CACM 2013.
"""

import asyncio
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
import dataclasses
import types
from typing import Self

from kumquatridge.calls import outcomes

Attempt = AbstractAsyncContextManager[outcomes.Outcome]


class HedgedRequest:
    """Runs a primary attempt and a delayed hedge; the first answer wins.

    An attempt has answered if its outcome is `outcomes.Completed`. The attempt
    that loses is cancelled. The primary attempt runs in the task that opens the
    context. Unless the primary has an outcome `delay_ms` after that,
    `make_hedge` is called, which may decline by returning None. Only a hedge
    that is sent runs in a task of its own. If a hedge is sent and neither
    attempt answers, `_wait_for_hedge` chooses one of the two outcomes.
    """

    def __init__(
        self,
        primary: Attempt,
        make_hedge: Callable[[], Attempt | None],
        delay_ms: float,
    ) -> None:
        self._primary = primary
        self._make_hedge = make_hedge
        self._delay_ms = delay_ms
        # Set once the context of the primary attempt is open, so that its
        # outcome is known; that may be a failure.
        self._is_primary_open = False
        # Without a deadline until the hedge wins and ends the wait.
        self._primary_timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._hedge_task: asyncio.Task[None] | None = None
        self._hedge_outcome: asyncio.Future[outcomes.Outcome] | None = None

    @property
    def is_hedge_sent(self) -> bool:
        """Tells whether a hedge was sent."""
        return self._hedge_task is not None

    @property
    def outcome(self) -> outcomes.Outcome:
        """The first answer; without one, the outcome that was chosen."""
        return self._outcome

    async def __aenter__(self) -> Self:
        """Waits for the first answer, or for the outcome of every attempt."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            self._delay_ms / 1000.0, self._start_hedge
        )
        try:
            self._outcome = await self._wait_for_outcome()
        except BaseException:
            await self._stop_hedge()
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes the open attempts, the hedge by cancelling its task."""
        await self._stop_hedge()
        if self._is_primary_open:
            await self._primary.__aexit__(error_type, error, traceback)

    async def _wait_for_outcome(self) -> outcomes.Outcome:
        try:
            async with self._primary_timeout:
                outcome = await self._primary.__aenter__()
                self._is_primary_open = True
        except TimeoutError:
            if self._hedge_outcome is None:
                raise
            return await self._hedge_outcome
        if self._hedge_outcome is None or _is_completed(outcome):
            return outcome
        return await self._wait_for_hedge(outcome)

    async def _wait_for_hedge(
        self, primary_outcome: outcomes.Outcome
    ) -> outcomes.Outcome:
        """Waits for the hedge after the primary attempt ended unanswered.

        If the hedge is not answered either, the outcome of the primary is
        returned, except when the primary did not run but the hedge may have. If
        the hedge is answered, its outcome is returned with the unspent retries
        of both attempts.
        """
        assert self._hedge_outcome is not None
        hedge_outcome = await self._hedge_outcome
        match primary_outcome, hedge_outcome:
            case outcomes.NotRun(), outcomes.Failed() | outcomes.Unknown():
                return hedge_outcome
            case _ if not _is_completed(hedge_outcome):
                return primary_outcome
        return dataclasses.replace(
            hedge_outcome,
            unspent_retries=hedge_outcome.unspent_retries
            + primary_outcome.unspent_retries,
        )

    def _start_hedge(self) -> None:
        attempt = None if self._is_primary_open else self._make_hedge()
        if attempt is None:
            return
        loop = asyncio.get_running_loop()
        self._hedge_outcome = loop.create_future()
        self._hedge_task = loop.create_task(
            self._run_hedge(attempt, self._hedge_outcome)
        )

    async def _run_hedge(
        self, attempt: Attempt, hedge_outcome: asyncio.Future[outcomes.Outcome]
    ) -> None:
        async with attempt as outcome:
            hedge_outcome.set_result(outcome)
            if _is_completed(outcome) and not self._is_primary_open:
                # Ends the wait for the primary attempt.
                self._primary_timeout.reschedule(
                    asyncio.get_running_loop().time()
                )
            # Keeps the answer readable until `_stop_hedge` cancels this task.
            await asyncio.Event().wait()

    async def _stop_hedge(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._hedge_task is not None:
            self._hedge_task.cancel()
            await asyncio.gather(self._hedge_task, return_exceptions=True)


def _is_completed(outcome: outcomes.Outcome) -> bool:
    match outcome:
        case outcomes.Completed():
            return True
        case outcomes.NotRun() | outcomes.Failed() | outcomes.Unknown():
            return False
