"""What a daemon knows of the fleet, for operators."""

import dataclasses

from kumquatridge import clock
from kumquatridge.membership import member as members
from kumquatridge.membership import relays
from kumquatridge.membership import remote
from kumquatridge.membership import table


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member; `reason` and `since_s` say why it is doubted."""

    instance: str
    incarnation: int
    service: str | None
    state: str
    reason: str = ""
    since_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreStatus:
    """Another data centre and for how long it has been like this.

    `relays` are the members that exchange summaries with it.
    """

    name: str
    reachable: bool
    since_s: float
    instances: int
    relays: tuple[str, ...]


def describe_members(
    members_table: table.MemberTable,
) -> tuple[MemberStatus, ...]:
    """Returns the members of the own data centre."""
    return tuple(_describe_member(member) for member in members_table)


def describe_data_centres(
    members_table: table.MemberTable,
) -> tuple[DataCentreStatus, ...]:
    """Returns the other data centres that are known."""
    known = members_table.remote
    return tuple(
        DataCentreStatus(
            one.name,
            one.reach == remote.Reachable(),
            _get_age_s(known.get_changed_at_ms(one.name)),
            sum(service.instances for service in one.services),
            tuple(
                relay.instance
                for relay in relays.pick_relays(members_table, purpose=one.name)
            ),
        )
        for one in known.data_centres
    )


def _describe_member(member: members.Member) -> MemberStatus:
    announcement = member.announcement
    reason, since_s = _describe_doubt(member.state)
    return MemberStatus(
        member.instance,
        member.incarnation,
        announcement.service if announcement else None,
        type(member.state).__name__.lower(),
        reason,
        since_s,
    )


def _describe_doubt(state: members.State) -> tuple[str, float | None]:
    match state:
        case members.Suspected(since_ms, reason):
            return reason, _get_age_s(since_ms)
        case members.Dead(since_ms, reason):
            return reason, _get_age_s(since_ms)
        case members.Alive() | members.Leaving():
            return "", None


def _get_age_s(since_ms: float) -> float:
    return round((clock.get_now_ms() - since_ms) / 1000.0, 1)
