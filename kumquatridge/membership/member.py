"""One member: a daemon with the worker beside it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Alive:
    """The member was heard of in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """The member was not heard of; `since_ms` is on the local clock."""

    since_ms: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The member said that it takes no new calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dead:
    """The member was suspected for too long, or has left."""

    since_ms: float
    reason: str = ""


State = Alive | Suspected | Leaving | Dead


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a worker tells its daemon about itself.

    `address` is the worker's HTTP address as "host:port" by IP number. A
    worker that does not announce itself again within `lease_ms` is
    withdrawn; 0 stands for no lease.
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

    `incarnation` grows at every restart and whenever the member refutes a
    suspicion; the higher incarnation is the newer update.
    """

    instance: str
    incarnation: int
    data_centre: str
    call_address: str
    control_address: str
    announcement: Announcement | None
    state: State = Alive()


def supersedes(update: Member, known: Member) -> bool:
    """Tells whether an update replaces what is known of the same member.

    The higher incarnation wins; within one incarnation a state only gets
    worse, so that order and repetition of messages don't matter.
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


def is_out(member: Member) -> bool:
    """Tells whether a member takes no new calls for good."""
    match member.state:
        case Leaving() | Dead():
            return True
        case Alive() | Suspected():
            return False


def is_doubted(member: Member) -> bool:
    """Tells whether others believe that a member may be dead."""
    match member.state:
        case Suspected() | Dead():
            return True
        case Alive() | Leaving():
            return False
