"""Stateful test: after any sequence of faults all members agree again.

Members whose seeds are all dead can find each other through the platform only.
"""

import asyncio
from collections.abc import Coroutine

from hypothesis import stateful
from hypothesis import strategies

from kumquatridge.membership import bootstrap
from kumquatridge.membership import member as members
from kumquatridge.membership import recorder
from kumquatridge.platform import contact_repository
from kumquatridge.standins import platform_store
from tests import state_machines
from tests.membership import fleet

NODES = 5
# Longer than the longest wait before a call to the platform, 90 s with jitter
# after failures.
HEAL_BOUND_S = 120.0

indexes = strategies.integers(0, NODES - 1)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Crashes, restarts and pauses nodes, cuts links and loses messages."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = state_machines.make_loop()
        self.network = fleet.Network(1)
        self.platform = platform_store.PlatformStore()
        self.bootstraps: dict[str, bootstrap.Bootstrap] = {}
        # The newest incarnation that a node has had in its table of a member.
        self.seen_incarnations: dict[tuple[str, str], int] = {}
        self.nodes: dict[str, fleet.Node] = {}
        # The incarnation of the node that started last.
        self.incarnation = 0
        for index in range(NODES):
            self.start(f"n{index}")
        # Until the nodes have joined.
        self.run(asyncio.sleep(3.0))

    def run(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine in virtual time."""
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(work)

    def start(self, name: str) -> None:
        """Starts a node with a new incarnation."""
        self.incarnation += 1
        for key in [key for key in self.seen_incarnations if key[0] == name]:
            del self.seen_incarnations[key]
        node = fleet.Node(self.network, name, incarnation=self.incarnation)
        self.nodes[name] = node
        self.run(self.open(node))

    async def open(self, node: fleet.Node) -> None:
        """Starts a node and its bootstrap through the platform."""
        await node.start(seeds=("n0", "n1"))
        self.bootstraps[node.name] = bootstrap.Bootstrap(
            bootstrap.BootstrapSettings(),
            node.table,
            contact_repository.PlatformContactRepository(
                self.platform.connect()
            ),
            recorder.NoRecorder(),
            self.incarnation,  # seed
            join_local=node.gossip.join_once,
            join_remote=node.remote.join,
        )
        await self.bootstraps[node.name].__aenter__()

    async def close(self, node: fleet.Node) -> None:
        """Stops the bootstrap and the node without notifying its peers."""
        node_bootstrap = self.bootstraps.pop(node.name)
        await node_bootstrap.__aexit__(None, None, None)
        await node.crash()

    @stateful.rule(index=indexes)
    def crash(self, index: int) -> None:
        """Stops a node without notifying its peers."""
        node = self.nodes.pop(f"n{index}", None)
        if node is not None:
            self.run(self.close(node))

    @stateful.rule(index=indexes)
    def restart(self, index: int) -> None:
        """Starts a crashed node again."""
        if f"n{index}" not in self.nodes:
            self.start(f"n{index}")

    @stateful.rule(index=indexes, pause_s=strategies.floats(0.1, 20.0))
    def pause(self, index: int, pause_s: float) -> None:
        """Pauses a node for `pause_s`."""
        node = self.nodes.get(f"n{index}")
        if node is not None:
            node.pause()
            self.run(asyncio.sleep(pause_s))
            node.resume()

    @stateful.rule(side=strategies.sets(indexes, min_size=1, max_size=2))
    def cut(self, side: set[int]) -> None:
        """Cuts some nodes off from the others."""
        names = {f"n{index}" for index in range(NODES)}
        side_names = {f"n{index}" for index in side}
        self.network.cut_between(side_names, names - side_names)

    @stateful.rule()
    def heal(self) -> None:
        """Removes all cuts."""
        self.network.cut.clear()

    @stateful.rule(ratio=strategies.sampled_from((0.0, 0.1, 0.3)))
    def lose(self, ratio: float) -> None:
        """Sets the share of lost messages; a tenth of requests is repeated."""
        self.network.faults = fleet.Faults(drop_ratio=ratio, repeat_ratio=0.1)

    @stateful.rule(down=strategies.booleans())
    def break_platform(self, down: bool) -> None:
        """Takes the platform down, or up again."""
        self.platform.set_faults(platform_store.PlatformFaults(down=down))

    @stateful.rule(wait_s=strategies.floats(0.1, 30.0))
    def wait(self, wait_s: float) -> None:
        """Lets `wait_s` pass."""
        self.run(asyncio.sleep(wait_s))

    @stateful.invariant()
    def incarnations_never_decrease(self) -> None:
        """The incarnation of a member never decreases in a table."""
        for node in self.nodes.values():
            for member in node.table:
                key = (node.name, member.instance)
                assert member.incarnation >= self.seen_incarnations.get(key, 0)
                self.seen_incarnations[key] = member.incarnation

    def teardown(self) -> None:
        """Removes all faults, then expects that all nodes agree."""
        self.network.cut.clear()
        self.network.faults = fleet.Faults()
        self.platform.set_faults(platform_store.NO_FAULTS)
        expected = set(self.nodes)
        try:
            self.run(self.check_agreement(expected))
        finally:
            for node in self.nodes.values():
                self.run(self.close(node))
            self.loop.close()

    async def check_agreement(self, expected: set[str]) -> None:
        """Waits until exactly `expected` are alive in every node's table."""
        await fleet.wait_until(
            lambda: all(
                self.list_alive(node) == expected
                for node in self.nodes.values()
            ),
            HEAL_BOUND_S,
        )

    def list_alive(self, node: fleet.Node) -> set[str]:
        """Returns the members that are alive in the table of a node."""
        return {
            member.instance
            for member in node.table
            if member.state == members.Alive()
        }


TestMembership = MembershipMachine.TestCase
TestMembership.settings = state_machines.choose_settings()
