"""Control planes of many daemons in one process, connected over loopback.

Besides membership updates, the daemons gossip versioned entries that stand for
the nodes of a settings tree. They have no call path.
"""

from collections.abc import AsyncIterator, Iterable, Mapping
import contextlib
import dataclasses

from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.membership import member as members
from kumquatridge.membership import recorder
from kumquatridge.membership import table
from kumquatridge.peers import control
from kumquatridge.peers import topic_codec

# Not used by any topic of the product.
TOPIC_ID = 99
ENTRY_COUNT = 1050
ENTRY_BYTES = 300
SERVICE_COUNT = 10
HOSTS_PER_OCTET = 250
CALL_PORT = 7401
CONTROL_PORT = 7402


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A versioned entry of about the size of a settings node."""

    key: str
    version: int
    body: str


class EntryStore:
    """A gossip source with as many entries as a fleet has settings nodes."""

    def __init__(self) -> None:
        self._entries = {
            f"/team/service-{index}": Entry(
                f"/team/service-{index}", 1, "x" * ENTRY_BYTES
            )
            for index in range(ENTRY_COUNT)
        }
        self._revision = 0

    @property
    def revision(self) -> int:
        """A number that increases with each change of an entry."""
        return self._revision

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each entry."""
        return {one.key: one.version for one in self._entries.values()}

    def export(self, keys: Iterable[str]) -> tuple[Entry, ...]:
        """Returns the entries of the given keys."""
        return tuple(self._entries[key] for key in keys)

    def merge(self, entries: Iterable[Entry]) -> None:
        """Stores the entries that are newer than the known ones."""
        for entry in entries:
            if entry.version > self._entries[entry.key].version:
                self._entries[entry.key] = entry
                self._revision += 1


class ByteCounter(recorder.NoRecorder):
    """Counts the control messages of all planes and their bytes."""

    def __init__(self) -> None:
        self.messages = 0
        self.size_bytes = 0

    def record_control_bytes(self, direction: str, size_bytes: int) -> None:
        """Counts one message."""
        self.messages += 1
        self.size_bytes += size_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PartialDaemon:
    """Control plane of one daemon, with its members and entries."""

    table: table.MemberTable
    plane: control.ControlPlane
    entries: EntryStore


def make_settings(
    index: int, seeds: tuple[str, ...]
) -> daemon_settings.DaemonSettings:
    """Returns settings of one daemon.

    Each daemon has a loopback address of its own, so that all use the same
    ports.
    """
    third, fourth = divmod(index, HOSTS_PER_OCTET)
    host = f"127.1.{third}.{fourth + 1}"
    return daemon_settings.DaemonSettings(
        instance=f"instance-{index:04}",
        data_centre="landshut",
        caller_address=f"{host}:{CALL_PORT}",
        call_address=f"{host}:{CALL_PORT}",
        control_address=f"{host}:{CONTROL_PORT}",
        operator_address=f"{host}:{CALL_PORT}",
        peer_key="benchmark",
        tree_file="",
        seeds=seeds,
    )


def make_daemon(
    settings: daemon_settings.DaemonSettings,
    index: int,
    counter: recorder.Recorder,
) -> PartialDaemon:
    """Returns a daemon that announces a worker, though none runs."""
    own = members.Member(
        settings.instance,
        1,
        settings.data_centre,
        settings.call_address,
        settings.control_address,
        members.Announcement(
            f"service-{index % SERVICE_COUNT}",
            settings.caller_address,
            100,
            400,
        ),
    )
    member_table = table.MemberTable(own)
    plane = control.ControlPlane(settings, member_table, counter)
    entries = EntryStore()
    plane.gossip.add_topic(topic_codec.make_topic(TOPIC_ID, entries, Entry))
    return PartialDaemon(member_table, plane, entries)


@contextlib.asynccontextmanager
async def run_daemons(
    indexes: Iterable[int], counter: ByteCounter
) -> AsyncIterator[list[PartialDaemon]]:
    """Runs control planes that join through the first one as seed."""
    seeds = (make_settings(0, ()).control_address,)
    daemons = [
        make_daemon(make_settings(index, seeds), index, counter)
        for index in indexes
    ]
    async with contextlib.AsyncExitStack() as stack:
        for daemon in daemons:
            await stack.enter_async_context(daemon.plane)
        yield daemons
