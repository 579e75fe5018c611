"""A store accepts newer versions that are signed by an owner of their path.

Until it has the nodes of the platform, the nodes of the settings file apply.
"""

import dataclasses

import pytest

from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record
from kumquatridge.telemetry import settings_counts
from tests.settings import fixtures

SHORT_DEADLINE = settings_node.NodeSettings(deadline_ms=100)
LONG_DEADLINE = settings_node.NodeSettings(deadline_ms=9_000)


def make_tree(
    version: int, settings: settings_node.NodeSettings
) -> list[settings_record.NodeRecord]:
    """Returns records of service s in a team, with the version and settings."""
    return [
        fixtures.make_record("/"),
        fixtures.make_record("/team"),
        fixtures.make_record("/team/s", version, settings, fixtures.TEAM),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class MergeCase:
    """Batches of records and the resulting deadline of service s.

    The deadline is None if service s does not exist in the end.
    """

    batches: tuple[list[settings_record.NodeRecord], ...]
    deadline_ms: int | None


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            MergeCase((make_tree(1, SHORT_DEADLINE),), 100), id="first version"
        ),
        pytest.param(
            MergeCase(
                (make_tree(1, SHORT_DEADLINE), make_tree(2, LONG_DEADLINE)),
                9_000,
            ),
            id="newer version",
        ),
        pytest.param(
            MergeCase(
                (make_tree(2, SHORT_DEADLINE), make_tree(1, LONG_DEADLINE)), 100
            ),
            id="older version ignored",
        ),
        pytest.param(
            MergeCase(
                (make_tree(2, SHORT_DEADLINE), make_tree(2, LONG_DEADLINE)), 100
            ),
            id="same version ignored",
        ),
        pytest.param(
            MergeCase(
                (
                    make_tree(1, SHORT_DEADLINE),
                    [fixtures.make_tombstone("/team/s", 2)],
                    make_tree(1, SHORT_DEADLINE),
                ),
                None,
            ),
            id="older version does not undo a deletion",
        ),
        pytest.param(
            MergeCase(
                (
                    [fixtures.make_tombstone("/team/s", 2)],
                    make_tree(3, LONG_DEADLINE),
                ),
                9_000,
            ),
            id="created again after deletion",
        ),
        pytest.param(
            MergeCase(
                (
                    make_tree(1, LONG_DEADLINE),
                    [fixtures.make_record("/", 2, SHORT_DEADLINE)],
                ),
                100,
            ),
            id="deadline limited by the root",
        ),
        pytest.param(
            MergeCase(
                (
                    make_tree(1, LONG_DEADLINE),
                    [fixtures.make_tombstone("/team", 2)],
                ),
                None,
            ),
            id="team deleted",
        ),
        pytest.param(
            MergeCase(
                (
                    make_tree(1, LONG_DEADLINE),
                    [
                        fixtures.make_record("/a"),
                        fixtures.make_record("/a/s", 1, SHORT_DEADLINE),
                    ],
                ),
                100,
            ),
            id="same service in two teams, first path wins",
        ),
    ],
)
def test_merge_keeps_the_newest_valid_version(case: MergeCase) -> None:
    store = fixtures.make_store()
    for batch in case.batches:
        store.merge(batch)
    policy = store.policies.find("s", "GET", "/")
    assert (policy and policy.deadline_ms) == case.deadline_ms


@pytest.mark.parametrize(
    ("record", "reason"),
    [
        pytest.param(
            fixtures.make_record("/team/s", credential=fixtures.OTHER_TEAM),
            "not_owner",
            id="node below another team",
        ),
        pytest.param(
            fixtures.make_record("/team", credential=fixtures.TEAM),
            "not_owner",
            id="node of the team itself",
        ),
        pytest.param(
            fixtures.make_record("/teammate/s", credential=fixtures.TEAM),
            "not_owner",
            id="path with the team name as prefix",
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
            dataclasses.replace(
                fixtures.make_record("/team/s"), settings=SHORT_DEADLINE
            ),
            "bad_signature",
            id="changed after signing",
        ),
        pytest.param(
            dataclasses.replace(fixtures.make_record("/team/s"), version=9),
            "bad_signature",
            id="version increased after signing",
        ),
        pytest.param(
            fixtures.make_record("/team/s", 0), "malformed", id="version 0"
        ),
        pytest.param(
            fixtures.make_record("/a/b/c/d"), "malformed", id="path too deep"
        ),
    ],
)
def test_rejected_record_is_ignored_and_counted_once(
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
        pytest.param(
            False, {"old", "s"}, id="file used for nodes without a record"
        ),
        pytest.param(True, {"s"}, id="file not used once complete"),
    ],
)
def test_settings_file_applies_until_store_is_complete(
    complete: bool, services: set[str]
) -> None:
    store = fixtures.make_store()
    assert set(store.policies.services) == {"old"}
    store.merge(make_tree(1, SHORT_DEADLINE))
    if complete:
        store.mark_complete()
    assert set(store.policies.services) == services


def test_empty_platform_keeps_settings_file_in_force() -> None:
    store = fixtures.make_store()
    store.mark_complete()
    assert set(store.policies.services) == {"old"}
