"""Objects of the platform's store, and the interface to them."""

from collections.abc import AsyncIterator
import dataclasses
from typing import Protocol

# Longest value that the store accepts.
MAX_VALUE_BYTES = 1024 * 1024
# Version of an object that does not exist.
NOT_STORED = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformObject:
    """An object; `value` is JSON, None for a deleted object.

    `key` is "kind/name". The store numbers all its writes; `version` is the
    number of the last write of this object.
    """

    key: str
    version: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectVersion:
    """Key and version of an object, without its value."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The objects whose keys have a prefix.

    `version` is that of the whole store: the number of its last write.
    """

    objects: tuple[PlatformObject, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changed objects, oldest change first.

    `version` is the store's version to watch from next.
    """

    objects: tuple[PlatformObject, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The write took effect; the object has this version now."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written: the object does not have the expected version.

    `version` is the one it has, `NOT_STORED` if it does not exist.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """Nothing was written: the store rejected the credential or value."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """No usable answer arrived; the write may have taken effect."""

    reason: str


WriteReply = Stored | Conflict | Denied | AnswerLost


class ObjectApi(Protocol):
    """Operations of the platform's store; each has a time-out.

    All but the writes raise PlatformError on failure. A prefix starts with a
    complete kind, as in "kind/" or "kind/na".
    """

    async def get(
        self, key: str, *, allow_stale: bool = False
    ) -> PlatformObject | None:
        """Returns an object, None if it does not exist.

        `allow_stale` is explained at `list_objects`.
        """
        ...

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> WriteReply:
        """Stores a value if the object has the expected version.

        With `NOT_STORED` the object must not exist yet.
        """
        ...

    async def delete(self, key: str, expected_version: int) -> WriteReply:
        """Deletes an object if it has the expected version."""
        ...

    async def list_objects(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Listing:
        """Returns all objects whose keys start with a prefix.

        With `allow_stale` the call costs the store less, and the objects may
        be seconds old.
        """
        ...

    async def list_versions(self, prefix: str) -> tuple[ObjectVersion, ...]:
        """Returns keys and versions of the objects whose keys have a prefix."""
        ...

    async def wait_for_changes(
        self, prefix: str, since_version: int, window_s: float
    ) -> Changes:
        """Returns the changes after a version; none if `window_s` passes first.

        Raises:
          PlatformHistoryLostError: the store no longer has these changes.
        """
        ...

    def watch(
        self, prefix: str, since_version: int, window_s: float
    ) -> AsyncIterator[PlatformObject]:
        """Yields each change after a version; ends after `window_s`."""
        ...
