"""The platform's object API: versions, conditional updates and watches."""

from collections.abc import AsyncIterator
import dataclasses
from typing import Protocol

MAX_VALUE_BYTES = 1024 * 1024
NOT_STORED = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformObject:
    """An object; `value` is None for one that was deleted.

    The platform numbers all its writes; `version` is the number of the last
    one of this object.
    """

    key: str
    version: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectVersion:
    """An object without its value."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The objects below a prefix as of a version of the platform."""

    objects: tuple[PlatformObject, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The write took effect and made this version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written: the object has this version by now."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """Nothing was written, because of the writer or the value."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """Whether the write took effect is not known."""

    reason: str


WriteReply = Stored | Conflict | Denied | AnswerLost


class ObjectApi(Protocol):
    """The calls that the platform takes; each has a deadline.

    All but the writes raise PlatformError when they fail.
    """

    async def get(self, key: str) -> PlatformObject | None:
        """Returns an object, or None when there is none."""
        ...

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> WriteReply:
        """Stores a value if the object has the version expected.

        `NOT_STORED` expects that there is no such object.
        """
        ...

    async def delete(self, key: str, expected_version: int) -> WriteReply:
        """Deletes an object if it has the version expected."""
        ...

    async def list_objects(self, prefix: str) -> Listing:
        """Returns all objects whose keys start with a prefix."""
        ...

    async def list_versions(self, prefix: str) -> tuple[ObjectVersion, ...]:
        """Returns the same without values."""
        ...

    def watch(
        self, prefix: str, since_version: int, window_s: float
    ) -> AsyncIterator[PlatformObject]:
        """Yields each change after a version; ends after the window."""
        ...
