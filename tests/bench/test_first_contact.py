"""What an outage of the platform keeps a restarted daemon from learning."""

import asyncio

import pytest

from kumquatridge.bench import deployment_text
from kumquatridge.bench import faults
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
ONE = "fault from 1 s to 2 s restart daemon ordering 1\n"
ALL = "fault from 1 s to 2 s restart data_centre landshut\n"
BEFORE_S = 7.0
AFTER_S = 8.0 + first_contact.ASK_S


def make_fleet() -> product.ProductFleet:
    """Returns the Milchdienst's fleet."""
    deployment = deployment_text.read_deployment(
        library.EXAMPLES, "milchdienst"
    )
    tree = library.EXAMPLES / deployment.name / runner.TREE_FILE
    return product.ProductFleet(
        fleets.Environment(
            deployment,
            network.FakeNetwork(deployment, SEED),
            settings_text.read_tree(tree).compile(),
            jobs.JobBook(),
            records.Records(),
            SEED,
        )
    )


def knows_neighbour(fleet: product.ProductFleet) -> bool:
    """Tells whether the first ordering daemon knows the one beside it."""
    neighbours = fleet.find("ordering-1").members.get_instances("ordering")
    return "ordering-4" in {one.instance for one in neighbours}


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("text", "knows_before"),
    [
        pytest.param(ONE, True, id="one"),
        pytest.param(OUTAGE + ONE, True, id="one, platform down"),
        pytest.param(ALL, True, id="all"),
        pytest.param(OUTAGE + ALL, False, id="all, platform down"),
    ],
)
async def test_neighbour_is_known(text: str, knows_before: bool) -> None:
    script = scenario_text.decode_scenario(
        "s", "s", TEXT + text, library.EXAMPLES
    )
    fleet = make_fleet()
    async with fleet, asyncio.TaskGroup() as group:
        group.create_task(faults.FaultInjector(script, fleet, SEED).run())
        await asyncio.sleep(BEFORE_S)
        assert knows_neighbour(fleet) == knows_before
        await asyncio.sleep(AFTER_S - BEFORE_S)
        assert knows_neighbour(fleet)
