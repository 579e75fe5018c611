"""Owners of one task that runs for as long as their context is open."""

import abc
import asyncio
import types
from typing import Self

from kumquatridge.telemetry import events

RESTART_S = 1.0


class BackgroundOwner(abc.ABC):
    """Runs its one task while its context is open.

    A task that ends by an error is logged and started again, so that a fault
    met once does not silence the owner for good.
    """

    _task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Starts the task."""
        self._task = asyncio.create_task(self._keep_running())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the task and waits for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @abc.abstractmethod
    async def _run(self) -> None:
        """Does the owner's work until it is cancelled."""

    async def _keep_running(self) -> None:
        while True:
            try:
                await self._run()
            except Exception as error:
                events.log(
                    events.BackgroundTaskFailed(
                        type(self).__name__, repr(error)
                    )
                )
                await asyncio.sleep(RESTART_S)
            else:
                return
