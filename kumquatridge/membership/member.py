"""A member of a data centre: a daemon and its co-located worker."""

import dataclasses

# The reason of `Dead` for a member that announced its departure.
DEPARTED = "left"


@dataclasses.dataclass(frozen=True, slots=True)
class Alive:
    """The member answers, or no failure of it is known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """The member did not answer, or a peer reports that it did not.

    `since_ms` is when this daemon found it out or was told, on the local clock.
    """

    since_ms: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The member announced that it accepts no new calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dead:
    """The member did not refute a suspicion in time, or it has left.

    `since_ms` is when this daemon found it out or was told, on the local clock.
    """

    since_ms: float
    reason: str = ""


State = Alive | Suspected | Leaving | Dead


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a worker reports to its daemon about itself.

    `address` is the worker's HTTP address as "host:port" with an IP address,
    `slots` the number of calls that it runs at once, `connections` the number
    of connections that it states (only passed on), and `warm_up_ms` the time
    for which it is still slow, 0 if it is not. The daemon withdraws the
    announcement if the worker does not repeat it within `lease_ms`; 0 means no
    lease.
    """

    service: str
    address: str
    slots: int
    connections: int
    warm_up_ms: int = 0
    lease_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A daemon of a data centre, with its worker's announcement if any.

    `incarnation` grows at every restart, whenever the member changes its own
    entry, and whenever it refutes a suspicion; the update with the higher
    incarnation is the newer one. Other daemons send calls to `call_address` and
    membership messages to `control_address`.
    """

    instance: str
    incarnation: int
    data_centre: str
    call_address: str
    control_address: str
    announcement: Announcement | None
    state: State = Alive()


def supersedes(update: Member, known: Member) -> bool:
    """Returns whether an update replaces the known state of its member.

    The higher incarnation wins. Within one incarnation the state only advances
    in the order alive, suspected, leaving, dead, so that reordered and
    repeated messages do no harm.
    """
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _rank(update.state) > _rank(known.state)


def _rank(state: State) -> int:
    match state:
        case Alive():
            return 0
        case Suspected():
            return 1
        case Leaving():
            return 2
        case Dead():
            return 3


def is_leaving_or_dead(member: Member) -> bool:
    """Returns whether a member must get no new calls."""
    match member.state:
        case Leaving() | Dead():
            return True
        case Alive() | Suspected():
            return False


def is_suspected_or_dead(member: Member) -> bool:
    """Returns whether a member is suspected or dead."""
    match member.state:
        case Suspected() | Dead():
            return True
        case Alive() | Leaving():
            return False


def has_left(member: Member) -> bool:
    """Returns whether a member has announced its departure."""
    match member.state:
        case Leaving():
            return True
        case Dead(_, reason):
            return reason == DEPARTED
        case _:
            return False
