"""A store takes what is newer and allowed, and always has policies."""

import dataclasses

import pytest

from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record
from kumquatridge.telemetry import settings_counts
from tests.settings import fixtures

FAST = settings_node.NodeSettings(deadline_ms=100)
SLOW = settings_node.NodeSettings(deadline_ms=9_000)


def make_tree(
    version: int, settings: settings_node.NodeSettings
) -> list[settings_record.NodeRecord]:
    return [
        fixtures.make_record("/"),
        fixtures.make_record("/team"),
        fixtures.make_record("/team/s", version, settings, fixtures.TEAM),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class MergeCase:
    """Batches of records and the deadline that service s has then."""

    batches: tuple[list[settings_record.NodeRecord], ...]
    deadline_ms: int | None


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(MergeCase((make_tree(1, FAST),), 100), id="first"),
        pytest.param(
            MergeCase((make_tree(1, FAST), make_tree(2, SLOW)), 9_000),
            id="newer",
        ),
        pytest.param(
            MergeCase((make_tree(2, FAST), make_tree(1, SLOW)), 100),
            id="older",
        ),
        pytest.param(
            MergeCase((make_tree(2, FAST), make_tree(2, SLOW)), 100),
            id="same version",
        ),
        pytest.param(
            MergeCase(
                (
                    make_tree(1, FAST),
                    [fixtures.make_tombstone("/team/s", 2)],
                    make_tree(1, FAST),
                ),
                None,
            ),
            id="deleted stays deleted",
        ),
        pytest.param(
            MergeCase(
                (
                    [fixtures.make_tombstone("/team/s", 2)],
                    make_tree(3, SLOW),
                ),
                9_000,
            ),
            id="made again",
        ),
        pytest.param(
            MergeCase(
                (
                    make_tree(1, SLOW),
                    [fixtures.make_record("/", 2, FAST)],
                ),
                100,
            ),
            id="tightened above",
        ),
        pytest.param(
            MergeCase(
                (
                    make_tree(1, SLOW),
                    [fixtures.make_tombstone("/team", 2)],
                ),
                None,
            ),
            id="team deleted",
        ),
        pytest.param(
            MergeCase(
                (
                    make_tree(1, SLOW),
                    [
                        fixtures.make_record("/a"),
                        fixtures.make_record("/a/s", 1, FAST),
                    ],
                ),
                100,
            ),
            id="same service in two teams: the first path",
        ),
    ],
)
def test_merge(case: MergeCase) -> None:
    store = fixtures.make_store()
    for batch in case.batches:
        store.merge(batch)
    found = store.policies.find("s", "GET", "/")
    assert (found and found.deadline_ms) == case.deadline_ms


@pytest.mark.parametrize(
    ("record", "reason"),
    [
        pytest.param(
            fixtures.make_record("/team/s", credential=fixtures.OTHER_TEAM),
            "not_owner",
            id="below another team",
        ),
        pytest.param(
            fixtures.make_record("/team", credential=fixtures.TEAM),
            "not_owner",
            id="the team's own bounds",
        ),
        pytest.param(
            fixtures.make_record("/teammate/s", credential=fixtures.TEAM),
            "not_owner",
            id="name that starts alike",
        ),
        pytest.param(
            dataclasses.replace(
                fixtures.make_record("/team/s", credential=fixtures.OTHER_TEAM),
                owner="/team",
            ),
            "bad_signature",
            id="signed by another team",
        ),
        pytest.param(
            dataclasses.replace(fixtures.make_record("/team/s"), settings=FAST),
            "bad_signature",
            id="changed after signing",
        ),
        pytest.param(
            dataclasses.replace(fixtures.make_record("/team/s"), version=9),
            "bad_signature",
            id="version raised after signing",
        ),
        pytest.param(
            fixtures.make_record("/team/s", 0), "malformed", id="version 0"
        ),
        pytest.param(
            fixtures.make_record("/a/b/c/d"), "malformed", id="too deep"
        ),
    ],
)
def test_record_outside_the_rule_is_counted_and_left_out(
    record: settings_record.NodeRecord, reason: str
) -> None:
    counts = settings_counts.SettingsCounts()
    store = fixtures.make_store(counts=counts)
    store.merge([record])
    store.merge([record])
    assert store.get_versions() == {}
    assert counts.rejections == {reason: 1}


@pytest.mark.parametrize(
    ("complete", "services"),
    [
        pytest.param(False, {"old", "s"}, id="file stands in for the rest"),
        pytest.param(True, {"s"}, id="file is out when all is known"),
    ],
)
def test_settings_file(complete: bool, services: set[str]) -> None:
    store = fixtures.make_store()
    assert set(store.policies.services) == {"old"}
    store.merge(make_tree(1, FAST))
    if complete:
        store.mark_complete()
    assert set(store.policies.services) == services


def test_empty_platform_leaves_the_file_in_force() -> None:
    store = fixtures.make_store()
    store.mark_complete()
    assert set(store.policies.services) == {"old"}
