"""What a pool needs of the connections that it keeps."""

import abc
import asyncio


class KeptConnection(asyncio.Protocol, abc.ABC):
    """A connection that is kept between uses.

    `idle_since_ms` is the end of its last use, on the event loop's clock.
    """

    idle_since_ms: float

    @property
    @abc.abstractmethod
    def is_reusable(self) -> bool:
        """Tells whether it may be used again."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes it, which cancels what is in progress."""
