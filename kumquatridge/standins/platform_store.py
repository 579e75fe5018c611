"""In-memory stand-in for the platform's object store, with fault injection."""

import asyncio
from collections.abc import AsyncIterator, Iterator, Mapping
import contextlib
import dataclasses

from kumquatridge.platform import errors
from kumquatridge.platform import objects


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Faults that the stand-in injects.

    Every call is delayed by `delay_ms`. With `down`, no call is answered.
    With `busy`, every call over HTTP is refused. With `stale_reads`, reads
    return the objects as they were when the fault began, and watches report no
    changes. `lose_answers` is the number of writes that take effect but whose
    answers are lost. With `silent_watches`, watches report no changes, also
    those that are already open.
    """

    delay_ms: float = 0.0
    down: bool = False
    stale_reads: bool = False
    lose_answers: int = 0
    silent_watches: bool = False
    busy: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Meter:
    """Counts of calls since the start, and numbers of open watches.

    `waiting_watches` are open now; `most_waiting_watches` is the most that
    were open at once.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    waiting_watches: int = 0
    most_waiting_watches: int = 0


NO_FAULTS = PlatformFaults()


class PlatformStore:
    """Versioned objects, their change history and watches of their changes.

    All objects share one sequence of versions: the version of a change is its
    position in the history, counted from 1. `writers` maps each token to the
    key prefix that it may write; with None every client may write every key.
    """

    def __init__(self, writers: Mapping[str, str] | None = None) -> None:
        self._writers = writers
        self._objects: dict[str, objects.PlatformObject] = {}
        self._stale_objects: dict[str, objects.PlatformObject] = {}
        self._history: list[objects.PlatformObject] = []
        # Set, and replaced by a new event, at each change of objects, faults or
        # `_history_start`.
        self._changed = asyncio.Event()
        self._faults = NO_FAULTS
        # The history up to this version counts as discarded: a watch that
        # starts from an earlier version fails.
        self._history_start = 0
        # Rises each time the store comes back from an older copy.
        self.era = 1
        self.meter = Meter()

    @property
    def faults(self) -> PlatformFaults:
        """The faults that are injected at present."""
        return self._faults

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replaces the injected faults and wakes open watches."""
        if faults.stale_reads and not self._faults.stale_reads:
            self._stale_objects = dict(self._objects)
        self._faults = faults
        self._wake_watches()

    def find(self, key: str) -> objects.PlatformObject:
        """Returns a stored object without counting a read.

        Raises:
          KeyError: no such object is stored.
        """
        return self._objects[key]

    def forget_history(self) -> None:
        """Discards the change history.

        Watches that start from a version before that of the store at this call
        then fail.
        """
        self._history_start = len(self._history)
        self._wake_watches()

    def return_from_copy(self, version: int) -> None:
        """Comes back with the objects as they were at a version.

        Later changes are lost, and their versions are given out again.
        """
        del self._history[version:]
        newest = {change.key: change for change in self._history}
        self._objects = {
            key: change
            for key, change in newest.items()
            if change.value is not None
        }
        self.era += 1
        self._wake_watches()

    async def wait_for_changes(
        self, prefix: str, since_version: int, window_s: float
    ) -> objects.Changes:
        """Returns the changes after a version as soon as there is one.

        Returns none if there is no change within `window_s`. The version of
        the result is the `since_version` for the next call.
        """
        changes: list[objects.PlatformObject] = []
        async for change in self.watch(prefix, since_version, window_s):
            changes = [
                change,
                *self._find_changes(prefix, change.version),
            ]
            break
        version = max(since_version, len(self._history))
        if self._faults.silent_watches or self._faults.stale_reads:
            version = since_version
        return objects.Changes(tuple(changes), version)

    def connect(self, token: str | None = None) -> "PlatformConnection":
        """Returns a connection of one client, identified by its token."""
        return PlatformConnection(self, token)

    async def read(self) -> Mapping[str, objects.PlatformObject]:
        """Counts a read and returns the objects visible to it.

        Raises:
          PlatformUnreachableError: the platform is down.
        """
        self.meter = dataclasses.replace(self.meter, reads=self.meter.reads + 1)
        await self._inject_faults()
        return (
            self._stale_objects if self._faults.stale_reads else self._objects
        )

    async def write(
        self,
        token: str | None,
        key: str,
        value: bytes | None,
        expected_version: int,
    ) -> objects.WriteReply:
        """Counts a write and stores a value, or deletes the object on None.

        The write conflicts unless the stored object has `expected_version`.
        With `objects.NOT_STORED` it conflicts if the object exists.
        """
        self.meter = dataclasses.replace(
            self.meter, writes=self.meter.writes + 1
        )
        try:
            await self._inject_faults()
        except errors.PlatformError as error:
            return objects.AnswerLost(str(error))
        denial_reason = self._get_denial_reason(token, key, value)
        if denial_reason is not None:
            return objects.Denied(denial_reason)
        stored = self._objects.get(key)
        version = objects.NOT_STORED if stored is None else stored.version
        if version != expected_version:
            return objects.Conflict(version)
        reply = objects.Stored(self._apply(key, value))
        answers_to_lose = self._faults.lose_answers
        if answers_to_lose:
            self._faults = dataclasses.replace(
                self._faults, lose_answers=answers_to_lose - 1
            )
            return objects.AnswerLost("connection lost after the write")
        return reply

    async def watch(
        self, prefix: str, since_version: int, window_s: float
    ) -> AsyncIterator[objects.PlatformObject]:
        """Counts a watch and yields the changes after a version for `window_s`.

        Raises:
          PlatformHistoryLostError: the history after the version is discarded,
            or the store does not have the version.
          PlatformUnreachableError: the platform is down.
        """
        await self._inject_faults()
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + window_s
        seen_version = since_version
        with self._count_watch():
            while True:
                changed = self._changed
                if not (
                    self._history_start <= seen_version <= len(self._history)
                ):
                    raise errors.PlatformHistoryLostError(str(seen_version))
                for change in self._find_changes(prefix, seen_version):
                    seen_version = change.version
                    yield change
                if self._faults.down:
                    raise errors.PlatformUnreachableError("platform is down")
                try:
                    async with asyncio.timeout_at(ends_at_s):
                        await changed.wait()
                except TimeoutError:
                    return

    def _find_changes(
        self, prefix: str, since_version: int
    ) -> tuple[objects.PlatformObject, ...]:
        if self._faults.silent_watches or self._faults.stale_reads:
            return ()
        return tuple(
            change
            for change in self._history[since_version:]
            if change.key.startswith(prefix)
        )

    async def _inject_faults(self) -> None:
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000.0)
        if self._faults.down:
            raise errors.PlatformUnreachableError("platform is down")

    def _get_denial_reason(
        self, token: str | None, key: str, value: bytes | None
    ) -> str | None:
        if value is not None and len(value) > objects.MAX_VALUE_BYTES:
            return f"{key}: the value has more than a megabyte"
        if self._writers is None:
            return None
        prefix = self._writers.get(token or "")
        if prefix is None:
            return "the platform doesn't know this credential"
        if not key.startswith(prefix):
            return f"this credential may write only below {prefix}"
        return None

    def _apply(self, key: str, value: bytes | None) -> int:
        """Stores a value, or deletes the object; returns the version."""
        version = len(self._history) + 1
        changed_object = objects.PlatformObject(key, version, value)
        self._history.append(changed_object)
        if value is None:
            self._objects.pop(key, None)
        else:
            self._objects[key] = changed_object
        self._wake_watches()
        return version

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @contextlib.contextmanager
    def _count_watch(self) -> Iterator[None]:
        waiting = self.meter.waiting_watches + 1
        self.meter = dataclasses.replace(
            self.meter,
            watches=self.meter.watches + 1,
            waiting_watches=waiting,
            most_waiting_watches=max(waiting, self.meter.most_waiting_watches),
        )
        try:
            yield
        finally:
            self.meter = dataclasses.replace(
                self.meter, waiting_watches=self.meter.waiting_watches - 1
            )


class PlatformConnection:
    """Connection of one client to the store, an `ObjectApi` without HTTP.

    While `cut` is set, the platform cannot be reached over this connection.
    """

    def __init__(self, store: PlatformStore, token: str | None) -> None:
        self._store = store
        self._token = token
        self.cut = False

    async def get(
        self, key: str, *, allow_stale: bool = False
    ) -> objects.PlatformObject | None:
        """Returns an object, or None if it is not stored.

        `allow_stale` has no effect, as in `list_objects`.
        """
        self._check_reachable()
        return (await self._store.read()).get(key)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> objects.WriteReply:
        """Stores a value if the object has the expected version."""
        return await self._write(key, value, expected_version)

    async def delete(
        self, key: str, expected_version: int
    ) -> objects.WriteReply:
        """Deletes an object if it has the expected version."""
        return await self._write(key, None, expected_version)

    async def list_objects(
        self, prefix: str, *, allow_stale: bool = False
    ) -> objects.Listing:
        """Returns all objects whose keys start with a prefix.

        `allow_stale` has no effect: only the fault `stale_reads` makes objects
        stale.
        """
        self._check_reachable()
        visible = await self._store.read()
        listed = tuple(
            stored for key, stored in visible.items() if key.startswith(prefix)
        )
        version = max(
            (stored.version for stored in visible.values()), default=0
        )
        return objects.Listing(listed, version)

    async def list_versions(
        self, prefix: str
    ) -> tuple[objects.ObjectVersion, ...]:
        """Returns the keys and versions of the objects below a prefix."""
        listing = await self.list_objects(prefix)
        return tuple(
            objects.ObjectVersion(stored.key, stored.version)
            for stored in listing.objects
        )

    async def wait_for_changes(
        self, prefix: str, since_version: int, window_s: float
    ) -> objects.Changes:
        """Returns changes; see `PlatformStore.wait_for_changes`."""
        self._check_reachable()
        return await self._store.wait_for_changes(
            prefix, since_version, window_s
        )

    async def watch(
        self, prefix: str, since_version: int, window_s: float
    ) -> AsyncIterator[objects.PlatformObject]:
        """Yields each change after a version; ends after `window_s`."""
        self._check_reachable()
        async for change in self._store.watch(prefix, since_version, window_s):
            self._check_reachable()
            yield change

    async def _write(
        self, key: str, value: bytes | None, expected_version: int
    ) -> objects.WriteReply:
        if self.cut:
            return objects.AnswerLost("platform is cut off")
        return await self._store.write(
            self._token, key, value, expected_version
        )

    def _check_reachable(self) -> None:
        if self.cut:
            raise errors.PlatformUnreachableError("platform is cut off")
