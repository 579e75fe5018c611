"""Selection of relays, and the order in which updates are sent."""

import pytest

from kumquatridge.membership import member as members
from kumquatridge.membership import relays
from kumquatridge.membership import updates


def make_member(
    index: int, state: members.State | None = None
) -> members.Member:
    return members.Member(
        f"n{index}", 1, "landshut", "c", "a", None, state or members.Alive()
    )


FLEET = [make_member(index) for index in range(68)]


@pytest.mark.parametrize("removed", range(0, 68, 9))
def test_lost_member_changes_only_its_own_relay_place(removed: int) -> None:
    before = relays.pick_live_members(FLEET)
    remaining = [member for member in FLEET if member is not FLEET[removed]]
    after = relays.pick_live_members(remaining)
    assert set(before) - {FLEET[removed]} <= set(after)


@pytest.mark.parametrize(
    ("state", "is_picked"),
    [
        pytest.param(members.Alive(), True, id="alive"),
        pytest.param(members.Suspected(0.0, ""), True, id="suspected"),
        pytest.param(members.Leaving(), False, id="leaving"),
        pytest.param(members.Dead(0.0), False, id="dead"),
    ],
)
def test_only_live_members_are_picked(
    state: members.State, is_picked: bool
) -> None:
    member = make_member(0, state)
    assert relays.is_relay(member, [member]) is is_picked


@pytest.mark.parametrize("member_count", [1, 2, 68, 1500])
def test_update_is_sent_a_bounded_number_of_times(member_count: int) -> None:
    queue = updates.UpdateQueue()
    queue.put(FLEET[0])
    sent_count = 0
    while queue.take(8, member_count):
        sent_count += 1
    assert sent_count == updates.get_retransmit_limit(member_count)


def test_death_is_sent_before_joins() -> None:
    queue = updates.UpdateQueue()
    for member in FLEET:
        queue.put(member)
    dead = make_member(99, members.Dead(0.0))
    queue.put(dead)
    assert queue.take(8, len(FLEET))[0] == dead
