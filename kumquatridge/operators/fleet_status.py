"""Status of the fleet as one daemon sees it, for operators.

Relays are the members that talk to the platform or to another data centre on
behalf of their own data centre (see `membership.relays`).
"""

import dataclasses

from kumquatridge import clock
from kumquatridge.membership import member as members
from kumquatridge.membership import relays
from kumquatridge.membership import remote
from kumquatridge.membership import table
from kumquatridge.settings import instances
from kumquatridge.settings import platform_reach

REACHABLE = "reachable"
CUT_OFF = "cut off"
NEVER_ANSWERED = "never answered"
NOT_ASKED = "not asked"


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member of this data centre.

    `incarnation` is described in `membership.member.Member`. `service` is that
    of the member's worker, None without a worker. If the member is suspected or
    dead, `reason` says why and `since_s` is how long it has been so; otherwise
    `reason` is empty and `since_s` is None.
    """

    instance: str
    incarnation: int
    service: str | None
    state: str
    reason: str = ""
    since_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreStatus:
    """A remote data centre.

    `since_s` is how long it has been reachable or cut off. `instances` is the
    number of its instances. `relays` are the members of this data centre that
    exchange summaries of services with it.
    """

    name: str
    reachable: bool
    since_s: float
    instances: int
    relays: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformRelayStatus:
    """Whether the platform answers one relay.

    `instance` is that of the relay. `reach` is `REACHABLE`, `CUT_OFF` or
    `NEVER_ANSWERED`, and `since_s` is how long it has been so.
    """

    instance: str
    reach: str
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformStatus:
    """Whether the platform answers the relays of this data centre.

    `reach` is `REACHABLE` if any relay gets answers, and `since_s` is then the
    longest time for which a relay has been getting them. `reach` is `CUT_OFF`
    if no relay gets an answer; `since_s` is then the time since the last answer
    to any relay or, if there was none, since the first failed call. `reach` is
    `NOT_ASKED` and `since_s` None if no live member calls the platform.
    """

    reach: str
    since_s: float | None
    relays: tuple[PlatformRelayStatus, ...]


def describe_members(
    members_table: table.MemberTable,
) -> tuple[MemberStatus, ...]:
    """Returns the status of each member of this data centre."""
    return tuple(_describe_member(member) for member in members_table)


def describe_data_centres(
    members_table: table.MemberTable,
) -> tuple[DataCentreStatus, ...]:
    """Returns the status of each known remote data centre."""
    remote_instances = members_table.remote
    return tuple(
        DataCentreStatus(
            data_centre.name,
            remote.is_reachable(data_centre),
            _get_age_s(remote_instances.get_reach_since_ms(data_centre)),
            sum(service.instances for service in data_centre.services),
            tuple(
                relay.instance
                for relay in relays.pick_live_members(
                    members_table, purpose=data_centre.name
                )
            ),
        )
        for data_centre in remote_instances.data_centres
    )


def describe_platform(
    members_table: table.MemberTable, instance_table: instances.InstanceTable
) -> PlatformStatus:
    """Returns whether the platform is cut off, and for how long."""
    relay_statuses = tuple(
        status
        for relay_reach in instance_table.get_platform_reaches()
        if _is_live(members_table, relay_reach.instance)
        if (status := _describe_relay(relay_reach)) is not None
    )
    reachable_s = [
        relay.since_s for relay in relay_statuses if relay.reach == REACHABLE
    ]
    if reachable_s:
        return PlatformStatus(REACHABLE, max(reachable_s), relay_statuses)
    cut_off_s = [
        relay.since_s for relay in relay_statuses if relay.reach == CUT_OFF
    ]
    if cut_off_s:
        return PlatformStatus(CUT_OFF, min(cut_off_s), relay_statuses)
    never_answered_s = [relay.since_s for relay in relay_statuses]
    if never_answered_s:
        return PlatformStatus(CUT_OFF, max(never_answered_s), relay_statuses)
    return PlatformStatus(NOT_ASKED, None, ())


def get_platform_cut_off_s(platform: PlatformStatus) -> float:
    """Returns for how many seconds the platform has been cut off.

    The value is 0 if the platform is not cut off, or if no relay calls it.
    """
    if platform.reach != CUT_OFF or platform.since_s is None:
        return 0.0
    return platform.since_s


def get_data_centre_cut_off_s(
    members_table: table.MemberTable,
) -> dict[str, float]:
    """Returns for how long each remote data centre has been cut off.

    The values are in seconds, 0 for a reachable data centre.
    """
    return {
        data_centre.name: 0.0 if data_centre.reachable else data_centre.since_s
        for data_centre in describe_data_centres(members_table)
    }


def _is_live(members_table: table.MemberTable, instance: str) -> bool:
    member = members_table.get(instance)
    return member is not None and not members.is_leaving_or_dead(member)


def _describe_relay(
    relay_reach: instances.RelayReach,
) -> PlatformRelayStatus | None:
    match relay_reach.reach:
        case platform_reach.NotAsked():
            return None
        case platform_reach.Answering(since_ms):
            reach = REACHABLE
        case platform_reach.Silent(since_ms):
            reach = CUT_OFF
        case platform_reach.NeverAnswered(since_ms):
            reach = NEVER_ANSWERED
    return PlatformRelayStatus(
        relay_reach.instance, reach, _get_age_s(since_ms)
    )


def _describe_member(member: members.Member) -> MemberStatus:
    announcement = member.announcement
    reason, since_s = _describe_failure(member.state)
    return MemberStatus(
        member.instance,
        member.incarnation,
        announcement.service if announcement else None,
        type(member.state).__name__.lower(),
        reason,
        since_s,
    )


def _describe_failure(state: members.State) -> tuple[str, float | None]:
    match state:
        case members.Suspected(since_ms, reason):
            return reason, _get_age_s(since_ms)
        case members.Dead(since_ms, reason):
            return reason, _get_age_s(since_ms)
        case members.Alive() | members.Leaving():
            return "", None


def _get_age_s(since_ms: float) -> float:
    """Returns the time since `since_ms`, a time on the local clock."""
    return round((clock.get_now_ms() - since_ms) / 1000.0, 1)
