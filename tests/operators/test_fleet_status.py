"""Tests that status and gauges show what is cut off, and for how long."""

import asyncio
import dataclasses

import pytest

from kumquatridge.admission import controller
from kumquatridge.daemon import daemon_gauges
from kumquatridge.membership import member as members
from kumquatridge.membership import messages
from kumquatridge.membership import table
from kumquatridge.operators import fleet_status
from kumquatridge.settings import instances
from kumquatridge.settings import platform_reach
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import metric_recorder
from kumquatridge.telemetry import metrics
from tests.settings import fixtures

# Digest 1, no services, and the address of one contact.
ANSWER = messages.SummaryAnswer("passau", 1, (), ("b0",))
HOUR_S = 3600.0
ALIVE = members.Alive()


def make_table(*peers: members.Member) -> table.MemberTable:
    """Returns the member table of n1 after updates about other members."""
    members_table = table.MemberTable(make_member("n1"))
    for peer in peers:
        members_table.apply_update(peer)
    return members_table


def make_member(
    instance: str, state: members.State | None = None
) -> members.Member:
    """Returns a member of data centre landshut, without a worker.

    It is alive by default. Its incarnation is 1; its addresses are
    placeholders.
    """
    return members.Member(
        instance, 1, "landshut", "c", "a", None, state or members.Alive()
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformCase:
    """Reach of the platform from relays n1 and n2, and the status at 100 s.

    `expected` and `since_s` are the fields `reach` and `since_s` of the status,
    `cut_off_s` is the value of the gauge. The status is computed by n1, which
    sees n2 in the state `n2_state`.
    """

    n1: platform_reach.PlatformReach
    n2: platform_reach.PlatformReach
    expected: str
    since_s: float | None
    cut_off_s: float
    n2_state: members.State = ALIVE


# Times in milliseconds on the virtual clock, which starts at 0.
ANSWERING = platform_reach.Answering(40_000.0)
SILENT = platform_reach.Silent(10_000.0)
LATER_SILENT = platform_reach.Silent(70_000.0)
NEVER_ANSWERED = platform_reach.NeverAnswered(80_000.0)
NOT_ASKED = platform_reach.NotAsked()


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            PlatformCase(ANSWERING, NOT_ASKED, "reachable", 60.0, 0.0),
            id="one relay, got an answer",
        ),
        pytest.param(
            PlatformCase(ANSWERING, SILENT, "reachable", 60.0, 0.0),
            id="cut off from one relay only",
        ),
        pytest.param(
            PlatformCase(SILENT, LATER_SILENT, "cut off", 30.0, 30.0),
            id="cut off since the last answer to any relay",
        ),
        pytest.param(
            PlatformCase(SILENT, NEVER_ANSWERED, "cut off", 90.0, 90.0),
            id="relay that started later and never got an answer is ignored",
        ),
        pytest.param(
            PlatformCase(NOT_ASKED, NEVER_ANSWERED, "cut off", 20.0, 20.0),
            id="no relay ever got an answer",
        ),
        pytest.param(
            PlatformCase(
                SILENT, ANSWERING, "cut off", 90.0, 90.0, members.Dead(0.0)
            ),
            id="state reported by a dead relay is ignored",
        ),
        pytest.param(
            PlatformCase(NOT_ASKED, NOT_ASKED, "not asked", None, 0.0),
            id="no platform",
        ),
    ],
)
async def test_platform_status_combines_reports_of_relays(
    case: PlatformCase,
) -> None:
    members_table = make_table(
        make_member("n2"), make_member("n2", case.n2_state)
    )
    instance_table = instances.InstanceTable("n1", fixtures.make_store())
    n2_instance_table = instances.InstanceTable("n2", fixtures.make_store())
    instance_table.set_platform_reach(case.n1)
    n2_instance_table.set_platform_reach(case.n2)
    instance_table.merge(n2_instance_table.export(["n2"]))
    await asyncio.sleep(100.0)
    status = fleet_status.describe_platform(members_table, instance_table)
    assert (status.reach, status.since_s) == (case.expected, case.since_s)
    assert fleet_status.get_platform_cut_off_s(status) == case.cut_off_s


@pytest.mark.looptime
async def test_data_centre_is_cut_off_since_its_last_answer() -> None:
    members_table = make_table()
    members_table.remote.record_answer(ANSWER)
    await asyncio.sleep(10.0)
    # A new summary doesn't change since when the data centre is reachable.
    members_table.remote.record_answer(dataclasses.replace(ANSWER, digest=2))
    (reachable,) = fleet_status.describe_data_centres(members_table)
    assert (reachable.reachable, reachable.since_s) == (True, 10.0)
    await asyncio.sleep(HOUR_S)
    # The last answer came 10 s after the start, an hour ago.
    members_table.remote.record_cut_off("passau", since_ms=10_000.0)
    (cut_off,) = fleet_status.describe_data_centres(members_table)
    assert (cut_off.reachable, cut_off.since_s) == (False, HOUR_S)
    members_table.remote.record_answer(ANSWER)
    (reachable_again,) = fleet_status.describe_data_centres(members_table)
    assert (reachable_again.reachable, reachable_again.since_s) == (True, 0.0)


@pytest.mark.looptime
async def test_gauges_report_for_how_long_peers_are_cut_off() -> None:
    members_table = make_table()
    instance_table = instances.InstanceTable("n1", fixtures.make_store())
    recorder = metric_recorder.MetricRecorder(decisions.DecisionLog())
    with metrics.MetricExporter(recorder) as exporter:
        daemon_gauges.add_gauges(
            exporter,
            controller.AdmissionController(slots=1),
            members_table,
            instance_table,
        )
        members_table.remote.record_answer(ANSWER)
        instance_table.set_platform_reach(platform_reach.Silent(0.0))
        members_table.remote.record_cut_off("passau", since_ms=0.0)
        await asyncio.sleep(HOUR_S)
        lines = exporter.render().decode().splitlines()
    assert "kumquatridge_platform_cut_off_s 3600.0" in lines
    assert (
        'kumquatridge_data_centre_cut_off_s{data_centre="passau"} 3600.0'
        in lines
    )
