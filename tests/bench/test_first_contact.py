"""How restarted daemons rejoin their data centre, also without the platform.

A restarted daemon is contacted by the running daemons of its data centre that
still have it as a member. If all of them restarted there are none, and each
needs the addresses that the platform sends. While the platform is down, they
then stay without contact.
"""

import asyncio

import pytest

from kumquatridge.bench import deployment_text
from kumquatridge.bench import fault_injector
from kumquatridge.bench import first_contact
from kumquatridge.bench import fleets
from kumquatridge.bench import jobs
from kumquatridge.bench import library
from kumquatridge.bench import network
from kumquatridge.bench import product
from kumquatridge.bench import records
from kumquatridge.bench import runner
from kumquatridge.bench import scenario_text
from kumquatridge.encoding import settings_text

SEED = "1"
TEXT = """
title "t" deployment milchdienst duration 9 s
demand from 0 s to 1 s 1 x lookup 1
"""
OUTAGE = "fault from 0 s to 8 s platform down\n"
RESTART_ONE = "fault from 1 s to 2 s restart daemon ordering 1\n"
RESTART_ALL = "fault from 1 s to 2 s restart data_centre landshut\n"
# The outage ends at 8 s; a daemon without contact then has to wait for at most
# one query interval until it tries again.
# At 7 s, the restarts of 1 s to 2 s have long ended.
DURING_OUTAGE_S = 7.0
AFTER_OUTAGE_S = 8.0 + first_contact.QUERY_INTERVAL_S


def make_fleet() -> product.ProductFleet:
    """Returns the fleet of the Milchdienst example."""
    deployment = deployment_text.read_deployment(
        library.EXAMPLES, "milchdienst"
    )
    tree = library.EXAMPLES / deployment.name / runner.TREE_FILE
    return product.ProductFleet(
        fleets.Environment(
            deployment,
            network.FakeNetwork(deployment, SEED),
            settings_text.read_tree(tree).compile(),
            jobs.JobRegistry(),
            records.Records(),
            SEED,
        )
    )


def has_neighbour_as_member(fleet: product.ProductFleet) -> bool:
    """Returns whether ordering-1 has ordering-4 as a member.

    Both are in the data centre landshut; the service has no others there.
    """
    known_members = fleet.find("ordering-1").members.get_instances("ordering")
    return "ordering-4" in {member.instance for member in known_members}


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("text", "is_member_during_outage"),
    [
        pytest.param(RESTART_ONE, True, id="one daemon"),
        pytest.param(
            OUTAGE + RESTART_ONE, True, id="one daemon, platform down"
        ),
        pytest.param(RESTART_ALL, True, id="data centre"),
        pytest.param(
            OUTAGE + RESTART_ALL, False, id="data centre, platform down"
        ),
    ],
)
async def test_restarted_daemon_has_its_neighbour_as_member(
    text: str, is_member_during_outage: bool
) -> None:
    script = scenario_text.decode_scenario(
        "s", "s", TEXT + text, library.EXAMPLES
    )
    fleet = make_fleet()
    async with fleet, asyncio.TaskGroup() as group:
        group.create_task(
            fault_injector.FaultInjector(script, fleet, SEED).run()
        )
        await asyncio.sleep(DURING_OUTAGE_S)
        assert has_neighbour_as_member(fleet) == is_member_during_outage
        await asyncio.sleep(AFTER_OUTAGE_S - DURING_OUTAGE_S)
        assert has_neighbour_as_member(fleet)
