"""A write is reported truly, whatever becomes of its answer."""

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
OWN = settings_node.NodeSettings(deadline_ms=100)
OTHER = settings_node.NodeSettings(deadline_ms=200)

Faults = platform_store.PlatformFaults


def change(
    base: settings_record.StoredNode | None = None,
    settings: settings_node.NodeSettings | None = OWN,
) -> writer.Change:
    return writer.Change(PATH, settings, base)


async def read(
    platform: platform_store.PlatformStore,
) -> settings_record.StoredNode:
    found = await fixtures.connect(platform).read(PATH)
    match found:
        case settings_record.StoredNode():
            return found
        case _:
            raise AssertionError(f"{PATH} is not stored")


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCase:
    """Faults during a write and after a second, and what is reported."""

    faults: platform_store.PlatformFaults
    outcome: type[writer.WriteOutcome]
    applied: bool
    later: platform_store.PlatformFaults = platform_store.NO_FAULTS


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
            id="answer lost and reads stale",
        ),
        pytest.param(
            WriteCase(Faults(down=True), writer.Accepted, True),
            id="down for a second",
        ),
        pytest.param(
            WriteCase(
                Faults(down=True), writer.Unknown, False, Faults(down=True)
            ),
            id="down",
        ),
        pytest.param(
            WriteCase(Faults(delay_ms=900), writer.Accepted, True), id="slow"
        ),
    ],
)
async def test_faults(case: WriteCase) -> None:
    platform = platform_store.PlatformStore()
    platform.set_faults(case.faults)
    asyncio.get_running_loop().call_later(1, platform.set_faults, case.later)
    outcome = await fixtures.make_writer(platform).write(change())
    assert type(outcome) is case.outcome
    platform.set_faults(platform_store.NO_FAULTS)
    stored = await fixtures.connect(platform).list_nodes()
    assert [
        one.record.version
        for one in stored.objects
        if type(one) is settings_record.StoredNode
    ] == [1] * case.applied


@pytest.mark.looptime
async def test_own_write_is_found_below_those_of_others() -> None:
    platform = platform_store.PlatformStore()
    platform.set_faults(Faults(lose_answers=1, stale_reads=True))
    own = asyncio.create_task(fixtures.make_writer(platform).write(change()))
    await asyncio.sleep(0.01)
    platform.set_faults(platform_store.NO_FAULTS)
    other = await fixtures.make_writer(platform, "bea").write(
        change(await read(platform), OTHER)
    )
    assert other == writer.Accepted(PATH, 2)
    assert await own == writer.Accepted(PATH, 1)
    assert (await read(platform)).record.settings == OTHER


@pytest.mark.looptime
async def test_history_too_short_to_tell_is_unknown() -> None:
    platform = platform_store.PlatformStore()
    platform.set_faults(Faults(lose_answers=1, stale_reads=True))
    own = asyncio.create_task(fixtures.make_writer(platform).write(change()))
    await asyncio.sleep(0.01)
    platform.set_faults(platform_store.NO_FAULTS)
    other = fixtures.make_writer(platform, "bea")
    for _ in range(settings_record.HISTORY_LENGTH + 1):
        await other.write(change(await read(platform), OTHER))
    assert type(await own) is writer.Unknown


@pytest.mark.looptime
@pytest.mark.parametrize("count", [2, 5])
async def test_race_has_one_winner_and_clear_conflicts(count: int) -> None:
    platform = platform_store.PlatformStore()
    platform.set_faults(Faults(delay_ms=5))
    names = [f"writer {number}" for number in range(count)]
    outcomes = await asyncio.gather(
        *(
            fixtures.make_writer(platform, name).write(change())
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
async def test_other_nodes_never_conflict() -> None:
    platform = platform_store.PlatformStore()
    platform.set_faults(Faults(delay_ms=5))
    node_writer = fixtures.make_writer(platform)
    outcomes = await asyncio.gather(
        *(
            node_writer.write(writer.Change(f"/team/s{number}", OWN, None))
            for number in range(20)
        )
    )
    assert writer.are_accepted(outcomes)


@pytest.mark.looptime
async def test_deleted_node_goes_on_counting() -> None:
    platform = platform_store.PlatformStore()
    node_writer = fixtures.make_writer(platform)
    for number in range(1, settings_record.HISTORY_LENGTH * 2):
        base = None if number == 1 else await read(platform)
        settings = None if number % 2 == 0 else OWN
        outcome = await node_writer.write(change(base, settings))
        assert outcome == writer.Accepted(PATH, number)
    stored = await read(platform)
    assert len(stored.history) == settings_record.HISTORY_LENGTH


@pytest.mark.parametrize(
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
            id="platform refuses",
        ),
    ],
)
async def test_wrong_writer_is_refused(
    credential: credentials.Credential,
    tokens: dict[str, str] | None,
    reason: str,
) -> None:
    platform = platform_store.PlatformStore(tokens)
    outcome = await fixtures.make_writer(platform, "eve", credential).write(
        change()
    )
    assert outcome == writer.Refused(PATH, reason)
    assert await fixtures.connect(platform).read(PATH) is None
