"""Two daemons that do not know each other do not both become first homes.

Both would if a daemon ignored contacts that it has not reached or read yet.
"First" is short for the first home here; see `first_contact`.
"""

import asyncio
import contextlib
import dataclasses

import pytest

from kumquatridge.membership import bootstrap
from kumquatridge.membership import first_contact
from kumquatridge.membership import recorder
from kumquatridge.platform import contact_repository
from kumquatridge.standins import platform_store
from tests.membership import fleet

NODES = ("n0", "n1")
UNREACHABLE = "n9"
# Several rounds of bootstrap: the first starts within 12 s, and the interval is
# 10 s on average.
SETTLE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Conditions when two daemons start, and how many may become first.

    `expected_first` is that number. `stored` are the contacts that the platform
    has, none if they were never written. With `is_cut` the daemons
    can't reach each other; with `is_down` the platform does not answer.
    """

    expected_first: int
    stored: tuple[str, ...] = ()
    is_cut: bool = False
    is_down: bool = False


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case(2), id="first start"),
        pytest.param(Case(1, is_cut=True), id="first start, cut"),
        pytest.param(Case(2, NODES), id="restart of both"),
        pytest.param(Case(0, NODES, is_cut=True), id="restart of both, cut"),
        pytest.param(Case(0, is_down=True), id="platform down"),
        pytest.param(Case(0, (UNREACHABLE,)), id="unreachable contact stored"),
    ],
)
async def test_daemon_may_be_first_only_if_it_knows_all_contacts(
    case: Case,
) -> None:
    network = fleet.Network(1)
    if case.is_cut:
        network.cut_between(NODES[:1], NODES[1:])
    store = platform_store.PlatformStore()
    contacts = contact_repository.PlatformContactRepository(store.connect())
    if case.stored:
        await contacts.write(
            "landshut", bootstrap.Contacts(case.stored, bootstrap.NOT_STORED)
        )
    store.set_faults(platform_store.PlatformFaults(down=case.is_down))
    async with contextlib.AsyncExitStack() as stack:
        nodes = [fleet.Node(network, name) for name in NODES]
        bootstraps = []
        for seed, node in enumerate(nodes):
            await node.start()
            stack.push_async_callback(node.crash)
            bootstraps.append(
                await stack.enter_async_context(
                    make_bootstrap(node, contacts, seed)
                )
            )
        await asyncio.sleep(SETTLE_S)
        may_be_first = [
            first_contact.knows_all_contacts(
                first_contact.PlatformContacts(node_bootstrap.contacts),
                node.table,
            )
            for node_bootstrap, node in zip(bootstraps, nodes, strict=True)
        ]
        store.set_faults(platform_store.NO_FAULTS)
        stored_contacts = await contacts.read("landshut")
    assert sum(may_be_first) == case.expected_first
    assert set(case.stored) <= set(stored_contacts.addresses)


def make_bootstrap(
    node: fleet.Node,
    contacts: contact_repository.PlatformContactRepository,
    seed: int,
) -> bootstrap.Bootstrap:
    return bootstrap.Bootstrap(
        bootstrap.BootstrapSettings(),
        node.table,
        contacts,
        recorder.NoRecorder(),
        seed,
        join_local=node.gossip.join_once,
        join_remote=node.remote.join,
    )


@pytest.mark.parametrize(
    ("contacts", "known"),
    [
        pytest.param(first_contact.Seeds(frozenset()), True, id="no seeds"),
        pytest.param(
            first_contact.Seeds(frozenset(("n0",))),
            True,
            id="only the own address",
        ),
        pytest.param(
            first_contact.Seeds(frozenset(("n0", "n1"))),
            False,
            id="an unknown seed",
        ),
        pytest.param(
            first_contact.PlatformContacts(None),
            False,
            id="platform not read yet",
        ),
    ],
)
async def test_contacts_are_known_when_all_are_in_the_table(
    contacts: first_contact.FirstContacts, known: bool
) -> None:
    node = fleet.Node(fleet.Network(1), "n0")
    assert first_contact.knows_all_contacts(contacts, node.table) == known
