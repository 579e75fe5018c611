"""Writes nodes with conditional updates and reports truly what became of it.

Every write carries a nonce. When its answer is lost, the writer reads the
node again: its own nonce, in the newest record or in the history, shows that
the write took effect; a later version without it shows that it never will,
because the update was conditional. A second try uses the same condition, so
the write can't take effect twice.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import secrets
import time

from kumquatridge.settings import credentials
from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import repository

NONCE_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class WriterSettings:
    """Who writes, and for how long an answer is sought."""

    writer: str
    credential: credentials.Credential
    write_timeout_ms: int = 10_000
    first_backoff_ms: int = 50
    max_backoff_ms: int = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A node to be written; `base` is the node that the change was made of.

    `settings` is None to delete the node.
    """

    path: str
    settings: settings_node.NodeSettings | None
    base: repository.StoredObject | None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change took effect, exactly once, as this version."""

    path: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """Nothing was changed: another writer was first, with this version."""

    path: str
    version: int
    writer: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was changed: the writer may not do it."""

    path: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The platform gave no answer; the change may take effect or not."""

    path: str
    reason: str


WriteOutcome = Accepted | Conflicted | Refused | Unknown


def are_accepted(outcomes: Iterable[WriteOutcome]) -> bool:
    """Tells whether all changes took effect."""
    return all(map(_is_accepted, outcomes))


def _is_accepted(outcome: WriteOutcome) -> bool:
    match outcome:
        case Accepted():
            return True
        case Conflicted() | Refused() | Unknown():
            return False


def describe(outcome: WriteOutcome) -> str:
    """Returns an outcome in words for operators."""
    match outcome:
        case Accepted(path, version):
            return f"{path}: accepted as version {version}"
        case Conflicted(path, version, other):
            return (
                f"{path}: conflict, not changed: {other} wrote version "
                f"{version} meanwhile"
            )
        case Refused(path, reason):
            return f"{path}: refused, not changed: {reason}"
        case Unknown(path, reason):
            return f"{path}: unknown whether changed: {reason}"


class NodeWriter:
    """Writes nodes on behalf of one operator."""

    def __init__(
        self, settings: WriterSettings, nodes: repository.NodeRepository
    ) -> None:
        self._settings = settings
        self._nodes = nodes

    async def write(self, change: Change) -> WriteOutcome:
        """Makes a change once and finds out what became of it."""
        if not self._settings.credential.covers(change.path):
            owner = self._settings.credential.owner
            return Refused(
                change.path, f"the credential of {owner} does not cover it"
            )
        attempt = _Attempt(self._settings, self._nodes, change)
        try:
            async with asyncio.timeout(
                self._settings.write_timeout_ms / 1000.0
            ):
                return await attempt.run()
        except TimeoutError:
            return attempt.give_up()

    async def write_all(
        self, changes: Iterable[Change]
    ) -> tuple[WriteOutcome, ...]:
        """Makes changes in order; stops after the first that fails."""
        outcomes: list[WriteOutcome] = []
        for change in changes:
            outcomes.append(await self.write(change))
            if not _is_accepted(outcomes[-1]):
                break
        return tuple(outcomes)


class _Attempt:
    """One write with everything that its lost answers make necessary."""

    def __init__(
        self,
        settings: WriterSettings,
        nodes: repository.NodeRepository,
        change: Change,
    ) -> None:
        self._settings = settings
        self._nodes = nodes
        self._path = change.path
        self._stored = _make_stored(settings, change)
        self._sent = False
        self._reason = "no answer in time"
        self._backoff_ms = settings.first_backoff_ms

    async def run(self) -> WriteOutcome:
        while True:
            maybe_written = self._sent
            self._sent = True
            match await self._nodes.write(self._stored):
                case repository.Stored():
                    return Accepted(self._path, self._stored.record.version)
                case repository.Denied(reason) if not maybe_written:
                    return Refused(self._path, reason)
                case repository.Denied(reason):
                    return Unknown(self._path, reason)
                case repository.Conflict(revision):
                    return await self._resolve(revision)
                case repository.AnswerLost(reason):
                    self._reason = reason
            outcome = await self._look()
            if outcome is not None:
                return outcome
            await self._back_off()

    def give_up(self) -> WriteOutcome:
        """Returns what is known when the time is over."""
        return Unknown(self._path, self._reason)

    async def _resolve(self, revision: int) -> WriteOutcome:
        """Reads until the read is as fresh as the conflict."""
        while True:
            found = await self._read()
            if found is not None and found.revision >= revision:
                return self._judge(found)
            await self._back_off()

    async def _look(self) -> WriteOutcome | None:
        """Returns the outcome if a read shows it; stale reads show nothing."""
        found = await self._read()
        if found is None or found.revision <= self._stored.revision:
            return None
        return self._judge(found)

    async def _read(self) -> repository.StoredObject | None:
        try:
            return await self._nodes.read(self._path)
        except errors.RepositoryError as error:
            self._reason = str(error)
            return None

    def _judge(self, found: repository.StoredObject) -> WriteOutcome:
        match found:
            case repository.Damaged():
                return Unknown(self._path, found.reason)
            case settings_record.StoredNode(record=newest):
                own = found.find_write(self._stored.record.nonce)
                if own is not None:
                    return Accepted(self._path, own.version)
                if not found.remembers(self._stored.record.version):
                    return Unknown(self._path, "the history is too short")
                return Conflicted(self._path, newest.version, newest.writer)

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_ms / 1000.0)
        self._backoff_ms = min(
            self._backoff_ms * 2, self._settings.max_backoff_ms
        )


def _make_stored(
    settings: WriterSettings, change: Change
) -> settings_record.StoredNode:
    match change.base:
        case None:
            return settings_record.StoredNode(_make_record(settings, change, 1))
        case settings_record.StoredNode(record=newest):
            return change.base.succeed(
                _make_record(settings, change, newest.version + 1)
            )
        case repository.Damaged():
            raise errors.SettingsError(
                f"{change.path}: the platform's object is damaged: "
                f"{change.base.reason}"
            )


def _make_record(
    settings: WriterSettings, change: Change, version: int
) -> settings_record.NodeRecord:
    record = settings_record.NodeRecord(
        path=change.path,
        version=version,
        settings=change.settings,
        owner=settings.credential.owner,
        writer=settings.writer,
        nonce=secrets.token_hex(NONCE_BYTES),
        written_at_ms=time.time_ns() // 1_000_000,
    )
    return settings.credential.sign(record)
