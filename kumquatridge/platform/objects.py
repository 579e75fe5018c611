"""The platform's objects as the product uses them."""

from collections.abc import AsyncIterator
import dataclasses
from typing import Protocol

MAX_VALUE_BYTES = 1024 * 1024
NOT_STORED = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformObject:
    """An object; `value` is JSON, None for an object that was deleted.

    `key` is "kind/name". The platform numbers all its writes; `version` is
    the number of the last one of this object.
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
class Changes:
    """Changes in their order, and the version to watch from next."""

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

    All but the writes raise PlatformError when they fail. Prefixes begin
    with a whole kind, as in "kind/" or "kind/na".
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

    async def list_objects(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Listing:
        """Returns all objects whose keys start with a prefix.

        With `allow_stale` the call is cheaper and the objects may be seconds
        old.
        """
        ...

    async def list_versions(self, prefix: str) -> tuple[ObjectVersion, ...]:
        """Returns the same without values."""
        ...

    async def wait_for_changes(
        self, prefix: str, since_version: int, window_s: float
    ) -> Changes:
        """Returns the changes after a version, none when time is up.

        Raises PlatformHistoryLostError when the version is too old.
        """
        ...

    def watch(
        self, prefix: str, since_version: int, window_s: float
    ) -> AsyncIterator[PlatformObject]:
        """Yields each change after a version; ends after the window."""
        ...
