"""Base class of objects that run one task while their context is open."""

import abc
import asyncio
import types
from typing import Self

from kumquatridge.telemetry import events

# Time from the failure of a task to its restart.
RESTART_DELAY_S = 1.0


class BackgroundOwner(abc.ABC):
    """Runs one task while its context is open.

    If the task fails, the error is logged and the task is restarted after
    RESTART_DELAY_S, so that an error does not end the work for good.
    """

    _task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Starts the task."""
        self._task = asyncio.create_task(self._run_with_restarts())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Cancels the task and waits until it has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @abc.abstractmethod
    async def _run(self) -> None:
        """Runs the work of the task until it is cancelled.

        If it returns without an error, it is not started again.
        """

    async def _run_with_restarts(self) -> None:
        while True:
            try:
                await self._run()
            except Exception as error:
                events.log(
                    events.BackgroundTaskFailed(
                        type(self).__name__, repr(error)
                    )
                )
                await asyncio.sleep(RESTART_DELAY_S)
            else:
                return
