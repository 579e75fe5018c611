"""What a step holds from its result on until the result is no longer needed.

The call path is five such steps deep. A class costs a fifth of what
`contextlib.asynccontextmanager` does, whose generators the event loop also
keeps track of (benchmarks/decisions.py).
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
