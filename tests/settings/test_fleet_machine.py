"""Random faults never revert a version, and never lose or repeat a write."""

import asyncio
import collections
from collections.abc import Coroutine, Iterable
from typing import Any

from hypothesis import stateful
from hypothesis import strategies as st

from kumquatridge.encoding import settings_text
from kumquatridge.platform import repository as platform_repository
from kumquatridge.settings import editing
from kumquatridge.settings import in_force
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import reconciliation
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import writer
from kumquatridge.standins import platform_store
from tests import state_machines
from tests.settings import fixtures
from tests.settings import fleet as fleets

DAEMON_COUNT = 4
PATHS = ("/", "/team", "/team/s", "/team/s/r", "/other", "/other/s")
GOSSIP_INTERVAL_S = 1.0
# Longer than the wait of a relay for its next listing, 72 s at most, with the
# gossip and the report after it.
RECOVERY_S = 120.0

_DAEMON = st.sampled_from(
    [f"planning-{number}" for number in range(DAEMON_COUNT)]
)
_PATH = st.sampled_from(PATHS)
_SETTINGS = st.none() | st.builds(
    settings_node.NodeSettings, deadline_ms=st.integers(1, 9)
)
# A value that is listed twice is drawn twice as often.
_FAULTS = st.builds(
    platform_store.PlatformFaults,
    delay_ms=st.sampled_from([0, 0, 20, 900, 2_500]),
    down=st.sampled_from([False, False, True]),
    stale_reads=st.booleans(),
    lose_answers=st.integers(0, 2),
    silent_watches=st.booleans(),
)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Operators, a platform and a fleet of daemons under random faults."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = state_machines.make_loop()
        self.platform = platform_store.PlatformStore()
        self.fleet = fleets.Fleet(
            self.platform,
            DAEMON_COUNT,
            1,  # seed
            GOSSIP_INTERVAL_S,
        )
        # By the name of the writer; each writer makes one write.
        self.outcomes: dict[str, writer.WriteOutcome] = {}
        self.writer_count = 0
        # The versions of each daemon at the last check. A restart makes a new
        # daemon object, whose versions start again.
        self.highest_versions: dict[object, dict[str, int]] = {}
        self.run(self.fleet.__aenter__())

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine to its end in virtual time."""
        return self.loop.run_until_complete(coroutine)

    def teardown(self) -> None:
        """Stops the daemons and closes the loop."""
        self.run(self.fleet.__aexit__(None, None, None))
        self.loop.close()

    @stateful.rule(
        path=_PATH, settings=st.lists(_SETTINGS, min_size=1, max_size=3)
    )
    def write(
        self, path: str, settings: list[settings_node.NodeSettings | None]
    ) -> None:
        """Has up to three operators write one node concurrently."""
        base = self.run(self.read(path))
        self.run(
            self.write_concurrently(
                [writer.Change(path, value, base) for value in settings]
            )
        )

    @stateful.rule(paths=st.lists(_PATH, min_size=2, max_size=2, unique=True))
    def write_two_nodes(self, paths: list[str]) -> None:
        """Has two operators write different nodes concurrently."""
        changes = [
            writer.Change(
                path,
                settings_node.NodeSettings(deadline_ms=5),
                self.run(self.read(path)),
            )
            for path in paths
        ]
        self.run(self.write_concurrently(changes))

    @stateful.rule(faults=_FAULTS)
    def inject_platform_faults(
        self, faults: platform_store.PlatformFaults
    ) -> None:
        """Starts faults of the platform."""
        self.platform.set_faults(faults)

    @stateful.rule()
    def restore_platform(self) -> None:
        """Ends all faults of the platform."""
        self.platform.set_faults(platform_store.NO_FAULTS)

    @stateful.rule(daemon=_DAEMON, cut=st.booleans())
    def set_platform_cut(self, daemon: str, cut: bool) -> None:
        """Cuts a daemon off from the platform, or reconnects it."""
        self.fleet.daemons[daemon].connection.cut = cut

    @stateful.rule(cut_off=st.sets(_DAEMON))
    def partition(self, cut_off: set[str]) -> None:
        """Partitions the data centre into two groups of daemons."""
        self.fleet.cut_off = cut_off

    @stateful.rule(daemon=_DAEMON)
    def restart(self, daemon: str) -> None:
        """Replaces a daemon by one that has only its settings file."""
        self.run(self.fleet.restart(daemon))

    # From less than a gossip interval to about the interval between listings.
    @stateful.rule(duration_s=st.sampled_from([0.05, 0.5, 5.0, 70.0]))
    def pass_time(self, duration_s: float) -> None:
        """Advances the virtual time."""
        self.run(asyncio.sleep(duration_s))

    @stateful.rule()
    def recover(self) -> None:
        """Ends all faults and checks that accepted changes come into force."""
        self.restore_platform()
        self.fleet.cut_off = set()
        for daemon in self.fleet.daemons.values():
            daemon.connection.cut = False
        self.run(asyncio.sleep(RECOVERY_S))
        self.check_everything_in_force()
        self.check_outcomes()

    @stateful.invariant()
    def versions_never_decrease(self) -> None:
        """No version decreases between the start and a restart of a daemon."""
        for daemon in self.fleet.daemons.values():
            versions = dict(daemon.store.get_versions())
            before = self.highest_versions.get(daemon, {})
            for path, version in before.items():
                assert versions.get(path, 0) >= version
            self.highest_versions[daemon] = versions

    @stateful.invariant()
    def policies_match_the_known_versions(self) -> None:
        """The compiled policies cover the services of the known versions."""
        for daemon in self.fleet.daemons.values():
            store = daemon.store
            nodes = list(make_nodes(store.export(PATHS)))
            if not store.is_complete:
                known = store.get_versions()
                nodes += [
                    node
                    for node in fixtures.FILE_NODES
                    if node.path not in known
                ]
            reconciled = reconciliation.reconcile(
                nodes, settings_text.read_defaults()
            )
            assert set(store.policies.services) == {
                settings_node.get_name(node.path)
                for node in reconciled.nodes
                if settings_node.get_depth(node.path)
                == settings_node.SERVICE_DEPTH
            }

    async def read(self, path: str) -> settings_record.StoredNode | None:
        """Returns a stored node, or None if there is none or it is damaged.

        The faults of the platform do not affect this read.
        """
        listing = await self.list_without_faults()
        match editing.index(listing).get(path):
            case settings_record.StoredNode() as stored_node:
                return stored_node
            case _:
                return None

    async def list_without_faults(self) -> Any:
        """Lists all nodes with the faults of the platform suspended."""
        faults = self.platform.faults
        self.platform.set_faults(platform_store.NO_FAULTS)
        listing = await fixtures.connect(self.platform).list_nodes()
        self.platform.set_faults(faults)
        return listing

    async def write_concurrently(self, changes: list[writer.Change]) -> None:
        """Writes changes concurrently, each with a writer of its own."""
        names = [
            f"writer {self.writer_count + index}"
            for index in range(len(changes))
        ]
        self.writer_count += len(changes)
        outcomes = await asyncio.gather(
            *(
                fixtures.make_writer(self.platform, name).write(change)
                for name, change in zip(names, changes, strict=True)
            )
        )
        self.outcomes.update(zip(names, outcomes, strict=True))

    def check_everything_in_force(self) -> None:
        """Every daemon has the platform's versions, and the report says so."""
        current = editing.index(self.run(self.list_without_faults()))
        versions = editing.get_versions(current)
        for daemon in self.fleet.daemons.values():
            assert daemon.store.get_versions() == versions
        reports = self.run(fixtures.connect(self.platform).list_reports())
        if versions:
            (report,) = reports
            assert in_force.find_pending(reports, report.digest, versions) == ()

    def check_outcomes(self) -> None:
        """Each write took effect once or never, as reported to its writer."""
        written = collections.Counter(
            (record.writer, record.path, record.version)
            for record in self.list_platform_records()
        )
        by_writer = collections.Counter(name for name, _, _ in written)
        assert set(written.values()) <= {1}
        assert set(by_writer.values()) <= {1}
        for name, outcome in self.outcomes.items():
            match outcome:
                case writer.Accepted(path, version):
                    assert written[name, path, version] == 1
                case writer.Conflicted() | writer.Refused():
                    assert by_writer[name] == 0
                case writer.Unknown():
                    pass

    def list_platform_records(self) -> Iterable[settings_record.NodeRecord]:
        """Returns each record that was ever the newest of its node."""
        api = self.platform.connect()

        async def collect() -> list[settings_record.NodeRecord]:
            # A watch from revision 0 yields the whole history at once.
            settings_repository = platform_repository.PlatformRepository(api)
            return [
                stored_object.record
                async for stored_object in settings_repository.watch(0, 0.01)
                if type(stored_object) is settings_record.StoredNode
            ]

        records: list[settings_record.NodeRecord] = self.run(collect())
        return records


def make_nodes(
    records: Iterable[settings_record.NodeRecord],
) -> Iterable[settings_node.Node]:
    """Yields the nodes that were not deleted."""
    for record in records:
        node = record.make_node()
        if node is not None:
            yield node


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = state_machines.choose_settings()
