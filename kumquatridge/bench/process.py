"""A stand-in for a process that can be lost or stand still."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from kumquatridge import clock
from kumquatridge.bench import errors
from kumquatridge.idempotency import stalls

T = TypeVar("T")


class ProcessDownError(errors.BenchError):
    """The process took nothing in, because it is not there."""


class ProcessLostError(errors.BenchError):
    """The process was lost while it ran what it had taken in."""


class FakeProcess:
    """Runs work in tasks of its own and can be lost with all of them.

    The tasks are kept in the order of their start, so that a loss cancels
    them in the same order in every run of a seed.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_up = True
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._lost: set[asyncio.Task[Any]] = set()
        self._going = asyncio.Event()
        self._going.set()
        self._paused_ms = 0.0
        self._resumed_ms = float("-inf")

    async def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Runs work to its end.

        Raises:
          ProcessDownError: the process is not there; nothing was run.
          ProcessLostError: the process was lost on the way.
        """
        if not self.is_up:
            work.close()
            raise ProcessDownError(self.name)
        task = asyncio.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)
        try:
            return await task
        except asyncio.CancelledError:
            own = asyncio.current_task()
            if task not in self._lost or (own and own.cancelling()):
                raise
            raise ProcessLostError(self.name) from None
        finally:
            self._lost.discard(task)

    def lose(self) -> None:
        """Loses the process and everything that it runs."""
        self.is_up = False
        self._going.set()
        self._lost.update(self._tasks)
        for task in tuple(self._tasks):
            task.cancel()

    def start(self) -> None:
        """Brings the process back, with nothing in progress."""
        self.is_up = True

    def pause(self) -> None:
        """Makes the process stand still."""
        self._going.clear()
        self._paused_ms = clock.get_now_ms()

    def resume(self) -> None:
        """Lets the process go on."""
        self._going.set()
        self._resumed_ms = clock.get_now_ms()

    def get_lost_ms(self) -> float:
        """Returns the length of a pause that ended just now, or 0."""
        if clock.get_now_ms() - self._resumed_ms > stalls.RECENT_MS:
            return 0.0
        return self._resumed_ms - self._paused_ms

    async def wait_while_paused(self) -> None:
        """Returns once the process does not stand still."""
        if not self._going.is_set():
            await self._going.wait()
