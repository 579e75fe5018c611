"""Which members act for all, and in which order updates are passed on."""

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
def test_a_loss_moves_only_the_places_of_the_lost(removed: int) -> None:
    before = relays.pick_relays(FLEET)
    rest = [one for one in FLEET if one is not FLEET[removed]]
    after = relays.pick_relays(rest)
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
def test_an_update_is_sent_a_bounded_number_of_times(member_count: int) -> None:
    queue = updates.UpdateQueue()
    queue.put(FLEET[0])
    told = 0
    while queue.take(8, member_count):
        told += 1
    assert told == updates.get_retransmits(member_count)


def test_a_death_goes_before_arrivals() -> None:
    queue = updates.UpdateQueue()
    for member in FLEET:
        queue.put(member)
    dead = make_member(99, members.Dead(0.0))
    queue.put(dead)
    assert queue.take(8, len(FLEET))[0] == dead
