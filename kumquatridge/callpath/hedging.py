"""A second attempt at a call whose answer takes unusually long.

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


class Hedge:
    """Holds the attempt that answered first; the other one is cancelled.

    The first attempt runs in the task that opens the context. The second is
    made after `delay_ms` by `make_second`, which may decline; only then is
    there a second task.
    """

    def __init__(
        self,
        first: Attempt,
        make_second: Callable[[], Attempt | None],
        delay_ms: float,
    ) -> None:
        self._first = first
        self._make_second = make_second
        self._delay_ms = delay_ms
        self._holds_first = False
        self._gate = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._second: asyncio.Task[None] | None = None
        self._second_outcome: asyncio.Future[outcomes.Outcome] | None = None

    @property
    def is_second_made(self) -> bool:
        """Tells whether there was a second attempt."""
        return self._second is not None

    @property
    def outcome(self) -> outcomes.Outcome:
        """The outcome that stands."""
        return self._outcome

    async def __aenter__(self) -> Self:
        """Waits for the first good outcome, or for the last of both."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._delay_ms / 1000.0, self._start)
        try:
            self._outcome = await self._wait()
        except BaseException:
            await self._stop_second()
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes the attempt that stands and cancels the other."""
        await self._stop_second()
        if self._holds_first:
            await self._first.__aexit__(error_type, error, traceback)

    async def _wait(self) -> outcomes.Outcome:
        try:
            async with self._gate:
                outcome = await self._first.__aenter__()
                self._holds_first = True
        except TimeoutError:
            if self._second_outcome is None:
                raise
            return await self._second_outcome
        if self._second_outcome is None or _is_good(outcome):
            return outcome
        return await self._wait_for_second(outcome)

    async def _wait_for_second(
        self, first: outcomes.Outcome
    ) -> outcomes.Outcome:
        assert self._second_outcome is not None
        second = await self._second_outcome
        match first, second:
            case outcomes.NotRun(), outcomes.Failed() | outcomes.Unknown():
                return second
            case _ if not _is_good(second):
                return first
        return dataclasses.replace(
            second,
            unspent_retries=second.unspent_retries + first.unspent_retries,
        )

    def _start(self) -> None:
        attempt = None if self._holds_first else self._make_second()
        if attempt is None:
            return
        loop = asyncio.get_running_loop()
        self._second_outcome = loop.create_future()
        self._second = loop.create_task(
            self._run_second(attempt, self._second_outcome)
        )

    async def _run_second(
        self, attempt: Attempt, decided: asyncio.Future[outcomes.Outcome]
    ) -> None:
        async with attempt as outcome:
            decided.set_result(outcome)
            if _is_good(outcome) and not self._holds_first:
                self._gate.reschedule(asyncio.get_running_loop().time())
            await asyncio.Event().wait()

    async def _stop_second(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._second is not None:
            self._second.cancel()
            await asyncio.gather(self._second, return_exceptions=True)


def _is_good(outcome: outcomes.Outcome) -> bool:
    match outcome:
        case outcomes.Completed():
            return True
        case outcomes.NotRun() | outcomes.Failed() | outcomes.Unknown():
            return False
