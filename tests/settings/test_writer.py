"""The reported outcome of a write is correct even if its answer is lost."""

import asyncio
import dataclasses

import pytest

from kumquatridge.settings import credentials
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import writer
from kumquatridge.standins import platform_store
from tests.settings import fixtures

PATH = "/team/s"
# Written by the writer under test, and by a later writer.
OWN_SETTINGS = settings_node.NodeSettings(deadline_ms=100)
OTHER_SETTINGS = settings_node.NodeSettings(deadline_ms=200)

Faults = platform_store.PlatformFaults


def make_change(
    base: settings_record.StoredNode | None = None,
    settings: settings_node.NodeSettings | None = OWN_SETTINGS,
) -> writer.Change:
    return writer.Change(PATH, settings, base)


async def read(
    platform: platform_store.PlatformStore,
) -> settings_record.StoredNode:
    stored_object = await fixtures.connect(platform).read(PATH)
    match stored_object:
        case settings_record.StoredNode():
            return stored_object
        case _:
            raise AssertionError(f"{PATH} is not stored")


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCase:
    """Faults at first and after one second, and the expected outcome.

    `is_applied` is whether the platform stores the change in the end.
    """

    faults: platform_store.PlatformFaults
    outcome: type[writer.WriteOutcome]
    is_applied: bool
    later_faults: platform_store.PlatformFaults = platform_store.NO_FAULTS


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(WriteCase(Faults(), writer.Accepted, True), id="no fault"),
        pytest.param(
            WriteCase(Faults(lose_answers=1), writer.Accepted, True),
            id="answer lost",
        ),
        pytest.param(
            WriteCase(
                Faults(lose_answers=1, stale_reads=True), writer.Accepted, True
            ),
            id="answer lost and reads stale for a second",
        ),
        pytest.param(
            WriteCase(
                Faults(lose_answers=1, stale_reads=True),
                writer.Unknown,
                True,
                Faults(stale_reads=True),
            ),
            id="answer lost and reads stale permanently",
        ),
        pytest.param(
            WriteCase(Faults(down=True), writer.Accepted, True),
            id="platform down for a second",
        ),
        pytest.param(
            WriteCase(
                Faults(down=True), writer.Unknown, False, Faults(down=True)
            ),
            id="platform down permanently",
        ),
        pytest.param(
            WriteCase(Faults(delay_ms=900), writer.Accepted, True),
            id="platform answers slowly",
        ),
    ],
)
async def test_write_outcome_under_platform_faults(case: WriteCase) -> None:
    platform = platform_store.PlatformStore()
    platform.set_faults(case.faults)
    asyncio.get_running_loop().call_later(
        1, platform.set_faults, case.later_faults
    )
    outcome = await fixtures.make_writer(platform).write(make_change())
    assert type(outcome) is case.outcome
    platform.set_faults(platform_store.NO_FAULTS)
    stored = await fixtures.connect(platform).list_nodes()
    # One node in version 1 if the change was applied, else none.
    assert [
        stored_node.record.version
        for stored_node in stored.objects
        if type(stored_node) is settings_record.StoredNode
    ] == [1] * case.is_applied


@pytest.mark.looptime
async def test_own_write_is_found_in_history_below_a_later_write() -> None:
    platform = platform_store.PlatformStore()
    platform.set_faults(Faults(lose_answers=1, stale_reads=True))
    unanswered_write = asyncio.create_task(
        fixtures.make_writer(platform).write(make_change())
    )
    # Until the write has been applied and its answer lost.
    await asyncio.sleep(0.01)
    platform.set_faults(platform_store.NO_FAULTS)
    later_outcome = await fixtures.make_writer(platform, "bea").write(
        make_change(await read(platform), OTHER_SETTINGS)
    )
    assert later_outcome == writer.Accepted(PATH, 2)
    assert await unanswered_write == writer.Accepted(PATH, 1)
    assert (await read(platform)).record.settings == OTHER_SETTINGS


@pytest.mark.looptime
async def test_outcome_is_unknown_if_history_is_too_short() -> None:
    platform = platform_store.PlatformStore()
    platform.set_faults(Faults(lose_answers=1, stale_reads=True))
    unanswered_write = asyncio.create_task(
        fixtures.make_writer(platform).write(make_change())
    )
    # Until the write has been applied and its answer lost.
    await asyncio.sleep(0.01)
    platform.set_faults(platform_store.NO_FAULTS)
    later_writer = fixtures.make_writer(platform, "bea")
    for _ in range(settings_record.HISTORY_LENGTH + 1):
        await later_writer.write(
            make_change(await read(platform), OTHER_SETTINGS)
        )
    assert type(await unanswered_write) is writer.Unknown


@pytest.mark.looptime
@pytest.mark.parametrize("count", [2, 5])
async def test_concurrent_writes_have_one_winner_and_conflicts(
    count: int,
) -> None:
    platform = platform_store.PlatformStore()
    # The delay makes the writes overlap.
    platform.set_faults(Faults(delay_ms=5))
    names = [f"writer {number}" for number in range(count)]
    outcomes = await asyncio.gather(
        *(
            fixtures.make_writer(platform, name).write(make_change())
            for name in names
        )
    )
    winner = (await read(platform)).record.writer
    for name, outcome in zip(names, outcomes, strict=True):
        if name == winner:
            assert outcome == writer.Accepted(PATH, 1)
        else:
            assert outcome == writer.Conflicted(PATH, 1, winner)


@pytest.mark.looptime
async def test_writes_to_different_nodes_never_conflict() -> None:
    platform = platform_store.PlatformStore()
    # The delay makes the writes overlap.
    platform.set_faults(Faults(delay_ms=5))
    node_writer = fixtures.make_writer(platform)
    outcomes = await asyncio.gather(
        *(
            node_writer.write(
                writer.Change(f"/team/s{number}", OWN_SETTINGS, None)
            )
            for number in range(20)
        )
    )
    assert writer.are_accepted(outcomes)


@pytest.mark.looptime
async def test_versions_continue_after_deletion() -> None:
    platform = platform_store.PlatformStore()
    node_writer = fixtures.make_writer(platform)
    for number in range(1, settings_record.HISTORY_LENGTH * 2):
        base = None if number == 1 else await read(platform)
        settings = None if number % 2 == 0 else OWN_SETTINGS
        outcome = await node_writer.write(make_change(base, settings))
        assert outcome == writer.Accepted(PATH, number)
    stored = await read(platform)
    assert len(stored.history) == settings_record.HISTORY_LENGTH


@pytest.mark.parametrize(
    # `tokens` maps each token that the platform knows to the prefix of the keys
    # that it may write; with None every client may write.
    ("credential", "tokens", "reason"),
    [
        pytest.param(
            fixtures.OTHER_TEAM,
            None,
            "the credential of /other does not cover it",
            id="credential of another team",
        ),
        pytest.param(
            fixtures.TEAM,
            {"token": "settings/other/"},
            "the platform doesn't know this credential",
            id="token unknown to the platform",
        ),
    ],
)
async def test_write_without_permission_is_refused(
    credential: credentials.Credential,
    tokens: dict[str, str] | None,
    reason: str,
) -> None:
    platform = platform_store.PlatformStore(tokens)
    outcome = await fixtures.make_writer(platform, "eve", credential).write(
        make_change()
    )
    assert outcome == writer.Refused(PATH, reason)
    assert await fixtures.connect(platform).read(PATH) is None
