"""The node versions known to a daemon, and the settings in force."""

from collections.abc import Callable, Iterable, Iterator, Mapping
import dataclasses
import itertools

from kumquatridge.settings import change_notifier
from kumquatridge.settings import credentials
from kumquatridge.settings import digests
from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import policy
from kumquatridge.settings import reconciliation
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import recorder as settings_recorder
from kumquatridge.settings import tree
from kumquatridge.telemetry import events

# Names the stored nodes in error messages.
SOURCE = "settings in force"
MAX_REMEMBERED_REJECTIONS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class FromFile:
    """Only the settings file is in force, as version 0."""


@dataclasses.dataclass(frozen=True, slots=True)
class Partial:
    """Some versions are known; the settings file provides the other nodes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The store has had all nodes that the platform stored at some moment."""


Origin = FromFile | Partial | Complete


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """The initial content of a store and its verifier of records.

    `file_nodes` are in force until the versions of the platform are known;
    `defaults` apply where the root node sets no value.
    """

    file_nodes: tuple[settings_node.Node, ...]
    defaults: settings_node.NodeSettings
    record_verifier: credentials.RecordVerifier


@dataclasses.dataclass(frozen=True, slots=True)
class StoreStatus:
    """The state of a store as shown to operators.

    `origin` is the name of an `Origin` in lower case. `nodes` counts the known
    nodes, including deleted ones, and `rejected` the rejected records that are
    remembered, at most `MAX_REMEMBERED_REJECTIONS`. `adjustments` describes how
    conflicts between nodes were resolved; see `reconciliation`. `fault` is why
    the newest known versions could not be compiled; the previous policies then
    stay in force. It is None if they could be.
    """

    origin: str
    digest: int
    nodes: int
    rejected: int
    adjustments: tuple[str, ...]
    fault: str | None


class NodeStore:
    """Accepts only higher versions of nodes and holds the compiled policies.

    `changes` wakes the tasks that report the versions in force.
    """

    def __init__(
        self,
        settings: StoreSettings,
        recorder: settings_recorder.SettingsRecorder,
    ) -> None:
        """Puts the nodes of the settings file in force.

        Raises:
          SettingsError: the nodes of the settings file are not valid.
        """
        self._settings = settings
        self._recorder = recorder
        # By path, in the order in which the newest versions arrived.
        self._records: dict[str, settings_record.NodeRecord] = {}
        self._digest = 0
        self._revision = 0
        self._subscribers: list[Callable[[], None]] = []
        self._complete = False
        self.changes = change_notifier.ChangeNotifier()
        # An ordered set of path, version and reason, oldest first.
        self._rejections: dict[tuple[str, int, str], None] = {}
        self._adjustments: tuple[str, ...] = ()
        self._fault: str | None = None
        self._policies = tree.SettingsTree(
            SOURCE, settings.file_nodes, settings.defaults
        ).compile()

    @property
    def digest(self) -> int:
        """The digest of all known versions; equal ones mean equal versions."""
        return self._digest

    @property
    def revision(self) -> int:
        """A counter, increased whenever the settings in force are rebuilt."""
        return self._revision

    @property
    def is_complete(self) -> bool:
        """Whether all nodes of the platform were known; see `mark_complete`."""
        return self._complete

    @property
    def policies(self) -> policy.PolicyLookup:
        """The lookup of the policies in force."""
        return self._policies

    @property
    def origin(self) -> Origin:
        """The source of the settings in force."""
        if not self._records:
            return FromFile()
        return Complete() if self._complete else Partial()

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each known node, including deleted ones."""
        return {path: record.version for path, record in self._records.items()}

    def export(
        self, keys: Iterable[str]
    ) -> tuple[settings_record.NodeRecord, ...]:
        """Returns the records of the given paths, skipping unknown ones."""
        return tuple(self._records[key] for key in keys if key in self._records)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each rebuild of the settings in force."""
        self._subscribers.append(callback)

    def list_newest(self, count: int) -> Iterator[tuple[str, int]]:
        """Yields path and version of the `count` nodes that changed last."""
        newest = itertools.islice(reversed(self._records.values()), count)
        for record in newest:
            yield record.path, record.version

    def get_status(self) -> StoreStatus:
        """Returns the state of the store as shown to operators."""
        return StoreStatus(
            type(self.origin).__name__.lower(),
            self._digest,
            len(self._records),
            len(self._rejections),
            self._adjustments,
            self._fault,
        )

    def merge(self, entries: Iterable[settings_record.NodeRecord]) -> None:
        """Applies the accepted records that are newer than the known ones."""
        newer = [record for record in entries if self._accepts(record)]
        for record in newer:
            self._insert(record)
        if not newer:
            return
        self._recorder.record_applied(len(newer))
        events.log(
            events.SettingsApplied(
                tuple(f"{applied.path} {applied.version}" for applied in newer)
            )
        )
        self._rebuild()

    def mark_complete(self) -> None:
        """Records that all nodes that the platform stores are known.

        From then on the settings file is not used. Has no effect while the
        store is empty, so that the settings file stays in force.
        """
        if self._complete or not self._records:
            return
        self._complete = True
        self._rebuild()

    def _accepts(self, record: settings_record.NodeRecord) -> bool:
        known = self._records.get(record.path)
        if known is not None and known.version >= record.version:
            return False
        reason = self._settings.record_verifier.find_rejection_reason(record)
        if reason is None:
            return True
        self._record_rejection(record, reason)
        return False

    def _record_rejection(
        self, record: settings_record.NodeRecord, reason: str
    ) -> None:
        """Counts and logs a rejection once, even if the record comes again."""
        key = (record.path, record.version, reason)
        if key in self._rejections:
            return
        self._rejections[key] = None
        if len(self._rejections) > MAX_REMEMBERED_REJECTIONS:
            del self._rejections[next(iter(self._rejections))]
        self._recorder.record_rejection(reason)
        events.log(
            events.SettingsRejected(
                record.path, record.version, record.writer, reason
            )
        )

    def _insert(self, record: settings_record.NodeRecord) -> None:
        known = self._records.pop(record.path, None)
        if known is not None:
            self._digest ^= digests.hash_entry(known.path, known.version)
        self._digest ^= digests.hash_entry(record.path, record.version)
        self._records[record.path] = record

    def _rebuild(self) -> None:
        self._revision += 1
        self._compile()
        for callback in self._subscribers:
            callback()
        self.changes.notify()

    def _compile(self) -> None:
        reconciled = reconciliation.reconcile(
            self._list_nodes(), self._settings.defaults
        )
        try:
            policies = tree.SettingsTree(
                SOURCE, reconciled.nodes, self._settings.defaults
            ).compile()
        except errors.SettingsError as error:
            self._record_fault(str(error))
            return
        self._fault = None
        self._record_adjustments(reconciled.adjustments)
        self._policies = policies

    def _list_nodes(self) -> Iterator[settings_node.Node]:
        if not self._complete:
            for node in self._settings.file_nodes:
                if node.path not in self._records:
                    yield node
        for record in self._records.values():
            record_node = record.make_node()
            if record_node is not None:
                yield record_node

    def _record_fault(self, fault: str) -> None:
        self._fault = fault
        self._recorder.record_rejection("broken_tree")
        events.log(events.SettingsBroken(fault))

    def _record_adjustments(
        self, adjustments: tuple[reconciliation.Adjustment, ...]
    ) -> None:
        descriptions = tuple(map(reconciliation.describe, adjustments))
        if descriptions and descriptions != self._adjustments:
            events.log(events.SettingsAdjusted(descriptions))
        self._adjustments = descriptions


def get_origin_gauge_value(origin: Origin) -> int:
    """Returns the gauge value of an origin: 0 file, 1 partial, 2 complete."""
    match origin:
        case FromFile():
            return 0
        case Partial():
            return 1
        case Complete():
            return 2
