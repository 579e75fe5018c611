"""Instances of other data centres, known from summaries only."""

from collections.abc import Iterable, Mapping
import dataclasses
import hashlib

from kumquatridge import clock
from kumquatridge.membership import member as members
from kumquatridge.membership import messages

CONTENT_HASH_BITS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Reachable:
    """A daemon of the other data centre answers the relays of this one."""


@dataclasses.dataclass(frozen=True, slots=True)
class CutOff:
    """No daemon of the other data centre answers the relays.

    `since_ms` is when the last answer came, on the local clock.
    """

    since_ms: float


Reach = Reachable | CutOff


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteDataCentre:
    """Summary and reachability of another data centre.

    `version` has a count of changes in its high bits and a hash of the content
    in its low `CONTENT_HASH_BITS`. If two relays assign the same count to
    different contents, the hash decides which of them all daemons keep.
    `digest` is the one that the data centre sent with its summary. `contacts`
    are control addresses of some daemons of the data centre.
    """

    name: str
    version: int
    digest: int
    reach: Reach
    services: tuple[messages.ServiceSummary, ...]
    contacts: tuple[str, ...]


class RemoteInstances:
    """Instances of other data centres, from the newest summary of each.

    Also the gossip source by which the daemons of this data centre exchange the
    summaries.
    """

    def __init__(self, own_data_centre: str) -> None:
        self._own_data_centre = own_data_centre
        # By the name of the data centre.
        self._known: dict[str, RemoteDataCentre] = {}
        # When each data centre became reachable; not used while it is cut off.
        self._reachable_since_ms: dict[str, float] = {}
        self._by_service: dict[str, tuple[members.Member, ...]] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """A counter that is incremented at every change of an entry."""
        return self._revision

    @property
    def data_centres(self) -> tuple[RemoteDataCentre, ...]:
        """The other data centres that are known."""
        return tuple(self._known.values())

    def get(self, name: str) -> RemoteDataCentre | None:
        """Returns the entry of a data centre, if known."""
        return self._known.get(name)

    def get_reach_since_ms(self, known: RemoteDataCentre) -> float:
        """Returns since when `known.reach` has lasted, on the local clock.

        If cut off, that is the time of the last answer, else the time at which
        this daemon learnt that the data centre is reachable.
        """
        match known.reach:
            case CutOff(since_ms):
                return since_ms
            case Reachable():
                return self._reachable_since_ms[known.name]

    def get_instances(self, service: str) -> tuple[members.Member, ...]:
        """Returns instances of a service in reachable data centres."""
        return self._by_service.get(service, ())

    def record_answer(self, answer: messages.SummaryAnswer) -> bool:
        """Records a summary; returns whether the entry changed.

        Marks the data centre as reachable. An answer leaves the services out
        when they are unchanged; the known ones are then kept.
        """
        known = self._known.get(answer.data_centre)
        if answer.data_centre == self._own_data_centre:
            return False
        services = answer.services
        if services is None:
            services = known.services if known is not None else ()
        update = RemoteDataCentre(
            answer.data_centre,
            known.version if known is not None else 0,
            answer.digest,
            Reachable(),
            services,
            answer.contacts,
        )
        if update == known:
            return False
        self._put(_assign_version(update))
        return True

    def record_cut_off(self, name: str, since_ms: float) -> bool:
        """Marks a data centre as cut off; returns whether the entry changed."""
        known = self._known.get(name)
        if known is None or not is_reachable(known):
            return False
        reach = CutOff(since_ms)
        self._put(_assign_version(dataclasses.replace(known, reach=reach)))
        return True

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of the entry of each data centre."""
        return {name: known.version for name, known in self._known.items()}

    def export(self, keys: Iterable[str]) -> tuple[RemoteDataCentre, ...]:
        """Returns the entries of the data centres in `keys`, if known."""
        return tuple(self._known[key] for key in keys if key in self._known)

    def merge(self, entries: Iterable[RemoteDataCentre]) -> None:
        """Stores the entries that are newer than the known ones.

        They come from another daemon of this data centre.
        """
        for entry in entries:
            known = self._known.get(entry.name)
            if entry.name == self._own_data_centre:
                continue
            if known is None or entry.version > known.version:
                self._put(entry)

    def _put(self, entry: RemoteDataCentre) -> None:
        known = self._known.get(entry.name)
        if known is None or not is_reachable(known):
            self._reachable_since_ms[entry.name] = clock.get_now_ms()
        self._known[entry.name] = entry
        self._revision += 1
        self._rebuild_index()

    def _rebuild_index(self) -> None:
        by_service: dict[str, list[members.Member]] = {}
        for known in self._known.values():
            if not is_reachable(known):
                continue
            for summary in known.services:
                by_service.setdefault(summary.service, []).extend(
                    _make_members(known.name, summary)
                )
        self._by_service = {
            service: tuple(instances)
            for service, instances in by_service.items()
        }


def is_reachable(known: RemoteDataCentre) -> bool:
    """Returns whether calls may be sent to a data centre."""
    match known.reach:
        case Reachable():
            return True
        case CutOff():
            return False


def _assign_version(update: RemoteDataCentre) -> RemoteDataCentre:
    """Returns the entry with its next version."""
    count = (update.version >> CONTENT_HASH_BITS) + 1
    content = repr(
        (update.digest, update.reach, update.services, update.contacts)
    )
    digest = hashlib.blake2b(
        content.encode(), digest_size=CONTENT_HASH_BITS // 8
    ).digest()
    version = count << CONTENT_HASH_BITS | int.from_bytes(digest, "big")
    return dataclasses.replace(update, version=version)


def _make_members(
    data_centre: str, summary: messages.ServiceSummary
) -> list[members.Member]:
    """Returns the gateways of a service as members.

    Gateways are instances that accept calls from other data centres. They
    exchange no heartbeats with this one, and so need no incarnation and no
    control address. A summary has only the total of the slots; each gateway
    gets the mean over all instances.
    """
    slots = summary.slots // max(1, summary.instances)
    return [
        members.Member(
            instance=gateway.instance,
            incarnation=0,
            data_centre=data_centre,
            call_address=gateway.call_address,
            control_address="",
            announcement=members.Announcement(
                summary.service, "", slots, connections=0
            ),
        )
        for gateway in summary.gateways
    ]
