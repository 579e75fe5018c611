"""Stand-in for a process that can be killed or paused."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from kumquatridge import clock
from kumquatridge.bench import errors
from kumquatridge.idempotency import stalls

T = TypeVar("T")


class ProcessDownError(errors.BenchError):
    """The process is down and did not start the work."""


class ProcessKilledError(errors.BenchError):
    """The process was killed while it ran the work."""


class FakeProcess:
    """Runs work in tasks that end when the process is killed.

    The tasks are stored in the order of their start, so that they are
    cancelled in the same order in every run with the same seed.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_up = True
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._killed_tasks: set[asyncio.Task[Any]] = set()
        self._not_paused = asyncio.Event()
        self._not_paused.set()
        self._paused_at_ms = 0.0
        self._resumed_at_ms = float("-inf")

    async def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Runs work in a task and returns its result.

        Raises:
          ProcessDownError: the process is down; nothing was run.
          ProcessKilledError: the process was killed while it ran the work.
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
            # Only the kill of this process is reported as an error; a
            # cancellation of the task that called `run` is passed on.
            current = asyncio.current_task()
            if task not in self._killed_tasks or (
                current and current.cancelling()
            ):
                raise
            raise ProcessKilledError(self.name) from None
        finally:
            self._killed_tasks.discard(task)

    def kill(self) -> None:
        """Kills the process and cancels everything that it runs."""
        self.is_up = False
        self._not_paused.set()
        self._killed_tasks.update(self._tasks)
        for task in tuple(self._tasks):
            task.cancel()

    def start(self) -> None:
        """Starts the process after a kill, with nothing in progress."""
        self.is_up = True

    def pause(self) -> None:
        """Pauses the process."""
        self._not_paused.clear()
        self._paused_at_ms = clock.get_now_ms()

    def resume(self) -> None:
        """Resumes the process."""
        self._not_paused.set()
        self._resumed_at_ms = clock.get_now_ms()

    def get_stall_ms(self) -> float:
        """Returns the length of the last pause, in ms.

        Returns 0 if no pause ended within the last `stalls.STALL_MEMORY_MS`.
        Implements `idempotency.stalls.StallSource`.
        """
        if clock.get_now_ms() - self._resumed_at_ms > stalls.STALL_MEMORY_MS:
            return 0.0
        return self._resumed_at_ms - self._paused_at_ms

    async def wait_while_paused(self) -> None:
        """Returns once the process is not paused."""
        if not self._not_paused.is_set():
            await self._not_paused.wait()
