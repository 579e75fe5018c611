"""The versions of all nodes that a daemon knows, and what is in force."""

from collections.abc import Callable, Iterable, Iterator, Mapping
import dataclasses
import itertools

from kumquatridge.settings import credentials
from kumquatridge.settings import digests
from kumquatridge.settings import errors
from kumquatridge.settings import fitting
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import policy
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import recorder as settings_recorder
from kumquatridge.settings import signals
from kumquatridge.settings import tree
from kumquatridge.telemetry import events

SOURCE = "settings in force"
MAX_REMEMBERED_REJECTIONS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class FromFile:
    """Nothing but the settings file is in force, as version 0."""


@dataclasses.dataclass(frozen=True, slots=True)
class Partial:
    """Some versions are known; the file stands in for the other nodes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """All versions that the platform kept at some moment are known."""


Origin = FromFile | Partial | Complete


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """What a store starts with.

    `file_nodes` are in force until versions are known; `defaults` stand in
    for what the root does not set.
    """

    file_nodes: tuple[settings_node.Node, ...]
    defaults: settings_node.NodeSettings
    rule: credentials.RecordRule


@dataclasses.dataclass(frozen=True, slots=True)
class StoreStatus:
    """What operators see of a store."""

    origin: str
    digest: int
    nodes: int
    rejected: int
    adjustments: tuple[str, ...]
    fault: str | None


class NodeStore:
    """Takes only higher versions and keeps the compiled policies.

    `changes` wakes those who pass versions on.
    """

    def __init__(
        self,
        settings: StoreSettings,
        recorder: settings_recorder.SettingsRecorder,
    ) -> None:
        """Puts the settings file in force.

        Raises:
          SettingsError: the settings file is not valid.
        """
        self._settings = settings
        self._recorder = recorder
        self._records: dict[str, settings_record.NodeRecord] = {}
        self._digest = 0
        self._revision = 0
        self._on_applied: list[Callable[[], None]] = []
        self._complete = False
        self.changes = signals.Broadcast()
        self._rejections: dict[tuple[str, int, str], None] = {}
        self._adjustments: tuple[str, ...] = ()
        self._fault: str | None = None
        self._policies = tree.SettingsTree(
            SOURCE, settings.file_nodes, settings.defaults
        ).compile()

    @property
    def digest(self) -> int:
        """Stands for all versions known; equal digests, equal versions."""
        return self._digest

    @property
    def revision(self) -> int:
        """Changes whenever a version is taken."""
        return self._revision

    @property
    def is_complete(self) -> bool:
        """Tells whether all that the platform keeps has been known."""
        return self._complete

    @property
    def policies(self) -> policy.PolicyLookup:
        """The policies in force."""
        return self._policies

    @property
    def origin(self) -> Origin:
        """Where the settings in force come from."""
        if not self._records:
            return FromFile()
        return Complete() if self._complete else Partial()

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each node known, deleted ones included."""
        return {path: one.version for path, one in self._records.items()}

    def export(
        self, keys: Iterable[str]
    ) -> tuple[settings_record.NodeRecord, ...]:
        """Returns the records of those paths that are known."""
        return tuple(self._records[key] for key in keys if key in self._records)

    def on_applied(self, callback: Callable[[], None]) -> None:
        """Calls back whenever other versions are in force."""
        self._on_applied.append(callback)

    def list_newest(self, count: int) -> Iterator[tuple[str, int]]:
        """Yields path and version of the nodes that changed last."""
        newest = itertools.islice(reversed(self._records.values()), count)
        for record in newest:
            yield record.path, record.version

    def get_status(self) -> StoreStatus:
        """Returns what operators see."""
        return StoreStatus(
            type(self.origin).__name__.lower(),
            self._digest,
            len(self._records),
            len(self._rejections),
            self._adjustments,
            self._fault,
        )

    def merge(self, entries: Iterable[settings_record.NodeRecord]) -> None:
        """Takes the records that are newer than its own."""
        newer = [record for record in entries if self._accepts(record)]
        for record in newer:
            self._put(record)
        if not newer:
            return
        self._recorder.record_applied(len(newer))
        events.log(
            events.SettingsApplied(
                tuple(f"{one.path} {one.version}" for one in newer)
            )
        )
        self._rebuild()

    def mark_complete(self) -> None:
        """Notes that all versions of the platform are known from now on."""
        if self._complete or not self._records:
            return
        self._complete = True
        self._rebuild()

    def _accepts(self, record: settings_record.NodeRecord) -> bool:
        known = self._records.get(record.path)
        if known is not None and known.version >= record.version:
            return False
        fault = self._settings.rule.find_fault(record)
        if fault is None:
            return True
        self._note_rejection(record, fault)
        return False

    def _note_rejection(
        self, record: settings_record.NodeRecord, fault: str
    ) -> None:
        key = (record.path, record.version, fault)
        if key in self._rejections:
            return
        self._rejections[key] = None
        if len(self._rejections) > MAX_REMEMBERED_REJECTIONS:
            del self._rejections[next(iter(self._rejections))]
        self._recorder.record_rejection(fault)
        events.log(
            events.SettingsRejected(
                record.path, record.version, record.writer, fault
            )
        )

    def _put(self, record: settings_record.NodeRecord) -> None:
        known = self._records.pop(record.path, None)
        if known is not None:
            self._digest ^= digests.hash_entry(known.path, known.version)
        self._digest ^= digests.hash_entry(record.path, record.version)
        self._records[record.path] = record

    def _rebuild(self) -> None:
        self._revision += 1
        self._compile()
        for callback in self._on_applied:
            callback()
        self.changes.notify()

    def _compile(self) -> None:
        fitted = fitting.fit(self._list_nodes(), self._settings.defaults)
        try:
            policies = tree.SettingsTree(
                SOURCE, fitted.nodes, self._settings.defaults
            ).compile()
        except errors.SettingsError as error:
            self._note_fault(str(error))
            return
        self._fault = None
        self._note_adjustments(fitted.adjustments)
        self._policies = policies

    def _list_nodes(self) -> Iterator[settings_node.Node]:
        if not self._complete:
            for node in self._settings.file_nodes:
                if node.path not in self._records:
                    yield node
        for record in self._records.values():
            made = record.make_node()
            if made is not None:
                yield made

    def _note_fault(self, fault: str) -> None:
        self._fault = fault
        self._recorder.record_rejection("broken_tree")
        events.log(events.SettingsBroken(fault))

    def _note_adjustments(
        self, adjustments: tuple[fitting.Adjustment, ...]
    ) -> None:
        described = tuple(map(fitting.describe, adjustments))
        if described and described != self._adjustments:
            events.log(events.SettingsAdjusted(described))
        self._adjustments = described


def rank_origin(origin: Origin) -> int:
    """Returns how much is known, as a number for gauges."""
    match origin:
        case FromFile():
            return 0
        case Partial():
            return 1
        case Complete():
            return 2
