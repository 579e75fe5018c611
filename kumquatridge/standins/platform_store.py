"""A stand-in for the platform, in memory, with the faults of a real one."""

import asyncio
from collections.abc import AsyncIterator, Iterator, Mapping
import contextlib
import dataclasses

from kumquatridge.platform import errors
from kumquatridge.platform import objects


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFaults:
    """What is wrong with the platform at the moment.

    `down` answers nothing; `busy` refuses every call over HTTP; `stale_reads`
    answers reads and new watches as of the moment when the fault began;
    `lose_answers` drops the answers to that many writes after they took
    effect; `silent_watches` tells open and new watches nothing.
    """

    delay_ms: float = 0.0
    down: bool = False
    stale_reads: bool = False
    lose_answers: int = 0
    silent_watches: bool = False
    busy: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Meter:
    """Calls since the start, and watches that wait now and at most."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    waiting_watches: int = 0
    most_waiting_watches: int = 0


NO_FAULTS = PlatformFaults()


class PlatformStore:
    """Objects with versions; takes any number of watches.

    `writers` maps tokens to the key prefix that each may write; None lets
    everyone write everything.
    """

    def __init__(self, writers: Mapping[str, str] | None = None) -> None:
        self._writers = writers
        self._objects: dict[str, objects.PlatformObject] = {}
        self._stale: dict[str, objects.PlatformObject] = {}
        self._log: list[objects.PlatformObject] = []
        self._changed = asyncio.Event()
        self._faults = NO_FAULTS
        self._history_start = 0
        self.meter = Meter()

    @property
    def faults(self) -> PlatformFaults:
        """What is wrong at the moment."""
        return self._faults

    def set_faults(self, faults: PlatformFaults) -> None:
        """Makes faults begin or end."""
        if faults.stale_reads and not self._faults.stale_reads:
            self._stale = dict(self._objects)
        self._faults = faults
        self._wake_watches()

    def find(self, key: str) -> objects.PlatformObject:
        """Returns an object that exists, without counting a read."""
        return self._objects[key]

    def forget_history(self) -> None:
        """Drops all changes so far; watches from before them fail."""
        self._history_start = len(self._log)
        self._wake_watches()

    async def wait_for_changes(
        self, prefix: str, since_version: int, window_s: float
    ) -> objects.Changes:
        """Returns the first changes after a version, or none in time."""
        found: list[objects.PlatformObject] = []
        async for one in self.watch(prefix, since_version, window_s):
            found = [
                one,
                *self._find_changes(prefix, one.version),
            ]
            break
        version = max(since_version, len(self._log))
        if self._faults.silent_watches or self._faults.stale_reads:
            version = since_version
        return objects.Changes(tuple(found), version)

    def connect(self, token: str | None = None) -> "PlatformConnection":
        """Returns the API as one caller sees it."""
        return PlatformConnection(self, token)

    async def read(self) -> Mapping[str, objects.PlatformObject]:
        """Returns the objects that a read sees; counts the read."""
        self.meter = dataclasses.replace(self.meter, reads=self.meter.reads + 1)
        await self._answer()
        return self._stale if self._faults.stale_reads else self._objects

    async def write(
        self,
        token: str | None,
        key: str,
        value: bytes | None,
        expected_version: int,
    ) -> objects.WriteReply:
        """Stores or deletes an object; counts the write."""
        self.meter = dataclasses.replace(
            self.meter, writes=self.meter.writes + 1
        )
        try:
            await self._answer()
        except errors.PlatformError as error:
            return objects.AnswerLost(str(error))
        denial = self._find_denial(token, key, value)
        if denial is not None:
            return objects.Denied(denial)
        known = self._objects.get(key)
        version = objects.NOT_STORED if known is None else known.version
        if version != expected_version:
            return objects.Conflict(version)
        reply = objects.Stored(self._apply(key, value))
        lost = self._faults.lose_answers
        if lost:
            self._faults = dataclasses.replace(
                self._faults, lose_answers=lost - 1
            )
            return objects.AnswerLost("connection lost after the write")
        return reply

    async def watch(
        self, prefix: str, since_version: int, window_s: float
    ) -> AsyncIterator[objects.PlatformObject]:
        """Yields changes; counts the watch while it waits."""
        await self._answer()
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + window_s
        seen = since_version
        with self._count_watch():
            while True:
                changed = self._changed
                if seen < self._history_start:
                    raise errors.PlatformHistoryLostError(str(seen))
                for one in self._find_changes(prefix, seen):
                    seen = one.version
                    yield one
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
            one
            for one in self._log[since_version:]
            if one.key.startswith(prefix)
        )

    async def _answer(self) -> None:
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000.0)
        if self._faults.down:
            raise errors.PlatformUnreachableError("platform is down")

    def _find_denial(
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
        version = len(self._log) + 1
        one = objects.PlatformObject(key, version, value)
        self._log.append(one)
        if value is None:
            self._objects.pop(key, None)
        else:
            self._objects[key] = one
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
    """The object API without HTTP, for one caller.

    A connection that is `cut` reaches the platform no more.
    """

    def __init__(self, store: PlatformStore, token: str | None) -> None:
        self._store = store
        self._token = token
        self.cut = False

    async def get(self, key: str) -> objects.PlatformObject | None:
        """Returns an object, or None when there is none."""
        self._check_cut()
        return (await self._store.read()).get(key)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> objects.WriteReply:
        """Stores a value if the object has the version expected."""
        return await self._write(key, value, expected_version)

    async def delete(
        self, key: str, expected_version: int
    ) -> objects.WriteReply:
        """Deletes an object if it has the version expected."""
        return await self._write(key, None, expected_version)

    async def list_objects(
        self, prefix: str, *, allow_stale: bool = False
    ) -> objects.Listing:
        """Returns all objects whose keys start with a prefix."""
        self._check_cut()
        known = await self._store.read()
        found = tuple(
            one for key, one in known.items() if key.startswith(prefix)
        )
        version = max((one.version for one in known.values()), default=0)
        return objects.Listing(found, version)

    async def list_versions(
        self, prefix: str
    ) -> tuple[objects.ObjectVersion, ...]:
        """Returns the keys and versions of the objects below a prefix."""
        listing = await self.list_objects(prefix)
        return tuple(
            objects.ObjectVersion(one.key, one.version)
            for one in listing.objects
        )

    async def wait_for_changes(
        self, prefix: str, since_version: int, window_s: float
    ) -> objects.Changes:
        """Returns the changes after a version, none when time is up."""
        self._check_cut()
        return await self._store.wait_for_changes(
            prefix, since_version, window_s
        )

    async def watch(
        self, prefix: str, since_version: int, window_s: float
    ) -> AsyncIterator[objects.PlatformObject]:
        """Yields each change after a version; ends after the window."""
        self._check_cut()
        async for one in self._store.watch(prefix, since_version, window_s):
            self._check_cut()
            yield one

    async def _write(
        self, key: str, value: bytes | None, expected_version: int
    ) -> objects.WriteReply:
        if self.cut:
            return objects.AnswerLost("platform is cut off")
        return await self._store.write(
            self._token, key, value, expected_version
        )

    def _check_cut(self) -> None:
        if self.cut:
            raise errors.PlatformUnreachableError("platform is cut off")
