"""Writes nodes with conditional updates and determines the outcome.

Every write carries a nonce. If its answer is lost, the writer reads the node
again. Its own nonce, in the newest record or in the history, shows that the
write took effect. A later version without the nonce shows that it never will,
because the update was conditional. A retry has the same condition, so that the
write can't take effect twice.
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
    """The writer's identity, and the time-out and backoff of a write.

    `writer` is the name that is stored with each version. `write_timeout_ms`
    limits a write with all its retries and reads; the wait between these
    doubles from `first_backoff_ms` up to `max_backoff_ms`.
    """

    writer: str
    credential: credentials.Credential
    write_timeout_ms: int = 10_000
    first_backoff_ms: int = 50
    max_backoff_ms: int = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A node to be written; `base` is the stored node that it replaces.

    `settings` is None to delete the node, `base` None to create it.
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
    """Nothing was changed: another writer changed the node first.

    `version` and `writer` are those of the newest version of the node.
    """

    path: str
    version: int
    writer: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was changed: the writer has no permission for it."""

    path: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The outcome is not known: the change may or may not take effect."""

    path: str
    reason: str


WriteOutcome = Accepted | Conflicted | Refused | Unknown


def are_accepted(outcomes: Iterable[WriteOutcome]) -> bool:
    """Returns whether all changes took effect."""
    return all(map(_is_accepted, outcomes))


def _is_accepted(outcome: WriteOutcome) -> bool:
    match outcome:
        case Accepted():
            return True
        case Conflicted() | Refused() | Unknown():
            return False


def describe(outcome: WriteOutcome) -> str:
    """Returns a description of an outcome for operators."""
    match outcome:
        case Accepted(path, version):
            return f"{path}: accepted as version {version}"
        case Conflicted(path, version, winner):
            return (
                f"{path}: conflict, not changed: {winner} wrote version "
                f"{version} meanwhile"
            )
        case Refused(path, reason):
            return f"{path}: refused, not changed: {reason}"
        case Unknown(path, reason):
            return f"{path}: unknown whether changed: {reason}"


class NodeWriter:
    """Writes nodes with one credential, of the operators or of a team."""

    def __init__(
        self,
        settings: WriterSettings,
        node_repository: repository.NodeRepository,
    ) -> None:
        self._settings = settings
        self._node_repository = node_repository

    async def write(self, change: Change) -> WriteOutcome:
        """Writes a change at most once and returns its outcome.

        Raises:
          SettingsError: the stored object to be replaced is damaged.
        """
        if not self._settings.credential.covers(change.path):
            owner = self._settings.credential.owner
            return Refused(
                change.path, f"the credential of {owner} does not cover it"
            )
        attempt = _WriteAttempt(self._settings, self._node_repository, change)
        try:
            async with asyncio.timeout(
                self._settings.write_timeout_ms / 1000.0
            ):
                return await attempt.run()
        except TimeoutError:
            return attempt.make_timeout_outcome()

    async def write_all(
        self, changes: Iterable[Change]
    ) -> tuple[WriteOutcome, ...]:
        """Writes changes in order; stops after the first not accepted.

        Raises:
          SettingsError: a stored object to be replaced is damaged.
        """
        outcomes: list[WriteOutcome] = []
        for change in changes:
            outcomes.append(await self.write(change))
            if not _is_accepted(outcomes[-1]):
                break
        return tuple(outcomes)


class _WriteAttempt:
    """A write with its retries, and the reads after lost answers."""

    def __init__(
        self,
        settings: WriterSettings,
        node_repository: repository.NodeRepository,
        change: Change,
    ) -> None:
        self._settings = settings
        self._node_repository = node_repository
        self._path = change.path
        # The node to store; its revision is that of the node it replaces.
        self._stored = _make_stored(settings, change)
        # Whether a write request was sent; it may take effect unanswered.
        self._is_sent = False
        # Why the outcome is unknown if the attempt times out now.
        self._reason = (
            "no conclusive answer from the platform within "
            f"{settings.write_timeout_ms} ms"
        )
        self._backoff_ms = settings.first_backoff_ms

    async def run(self) -> WriteOutcome:
        while True:
            # True for a retry: an earlier request may have taken effect.
            maybe_written = self._is_sent
            self._is_sent = True
            match await self._node_repository.write(self._stored):
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
            outcome = await self._check_outcome()
            if outcome is not None:
                return outcome
            await self._back_off()

    def make_timeout_outcome(self) -> WriteOutcome:
        """Returns the outcome of an attempt that has timed out."""
        return Unknown(self._path, self._reason)

    async def _resolve(self, revision: int) -> WriteOutcome:
        """Returns the outcome after a conflict.

        Reads may be stale, so the node is read until its revision is at least
        the conflicting one.
        """
        while True:
            stored_object = await self._read()
            if stored_object is not None and stored_object.revision >= revision:
                return self._classify(stored_object)
            await self._back_off()

    async def _check_outcome(self) -> WriteOutcome | None:
        """Returns the outcome if a read shows it, or None for a stale read."""
        stored_object = await self._read()
        if (
            stored_object is None
            or stored_object.revision <= self._stored.revision
        ):
            return None
        return self._classify(stored_object)

    async def _read(self) -> repository.StoredObject | None:
        try:
            return await self._node_repository.read(self._path)
        except errors.RepositoryError as error:
            self._reason = str(error)
            return None

    def _classify(self, stored_object: repository.StoredObject) -> WriteOutcome:
        match stored_object:
            case repository.Damaged():
                return Unknown(self._path, stored_object.reason)
            case settings_record.StoredNode(record=newest):
                own_record = stored_object.find_write(self._stored.record.nonce)
                if own_record is not None:
                    return Accepted(self._path, own_record.version)
                if not stored_object.history_reaches(
                    self._stored.record.version
                ):
                    return Unknown(
                        self._path,
                        "the stored history does not reach back to "
                        f"version {self._stored.record.version}",
                    )
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
            return change.base.make_successor(
                _make_record(settings, change, newest.version + 1)
            )
        case repository.Damaged():
            raise errors.SettingsError(
                f"can't change {change.path}: the stored object is damaged: "
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
