"""What is believed of the worker beside this daemon.

The daemon is the only one that reaches its worker, so its belief decides
whether any call is sent there. A worker that has said that it leaves is never
used again under the same start, whatever arrives later.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerIdentity:
    """One start of a worker; `born_ms` is 0 while only its health told of it.

    `warm_up_ms` is for how much longer the worker said that it is slow.
    """

    worker: str
    born_ms: int
    address: str
    service: str
    slots: int
    warm_up_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker said of itself; `sequence` grows with each report."""

    identity: WorkerIdentity
    sequence: int
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """No worker was heard of."""


@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """The worker takes calls."""

    identity: WorkerIdentity


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The worker finishes what it has and takes nothing new."""

    identity: WorkerIdentity


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The worker's address refuses connections, or another worker has it."""

    identity: WorkerIdentity


WorkerState = Unknown | Serving | Leaving | Lost

# Workers that left, whose late reports must not bring them back; a machine
# sees a handful of them in its life.
MAX_DEPARTED = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The report was newer than what was known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """The report is older than what is known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Foreign:
    """The report is about a worker that doesn't stand beside this daemon."""

    reason: str


Verdict = Taken | Stale | Foreign


class OwnWorker:
    """The worker beside this daemon, one start after the other."""

    def __init__(self, service: str, address: str) -> None:
        self._service = service
        self._address = address
        self._sequence = -1
        self._departed: dict[tuple[str, int], None] = {}
        self.state: WorkerState = Unknown()

    @property
    def address(self) -> str:
        """Where the worker listens."""
        return self._address

    @property
    def service(self) -> str:
        """The service that the worker runs."""
        return self._service

    @property
    def sequence(self) -> int:
        """The number of the newest report, -1 before any."""
        return self._sequence

    def set_place(self, service: str, address: str) -> None:
        """Takes another service or address, where a new worker is awaited."""
        if (service, address) != (self._service, self._address):
            self._service, self._address = service, address
            self._sequence = -1
            self.state = Unknown()

    def get_identity(self) -> WorkerIdentity | None:
        """Returns the start that was heard of last."""
        match self.state:
            case Unknown():
                return None
            case Serving(identity) | Leaving(identity) | Lost(identity):
                return identity

    def get_serving(self) -> WorkerIdentity | None:
        """Returns the start that takes calls, if any."""
        match self.state:
            case Serving(identity):
                return identity
            case _:
                return None

    def take_report(self, report: WorkerReport) -> Verdict:
        """Takes what a worker said of itself."""
        identity = report.identity
        if identity.address != self._address:
            return Foreign(f"address {identity.address}")
        if identity.service != self._service:
            return Foreign(f"service {identity.service}")
        known = self.get_identity()
        if known is not None and known.born_ms > identity.born_ms:
            return Stale()
        is_same = known is not None and known.born_ms == identity.born_ms
        if is_same and report.sequence <= self._sequence:
            return Stale()
        self._sequence = report.sequence
        if report.is_leaving or self._has_departed(identity):
            self._depart(identity)
        else:
            self.state = Serving(identity)
        return Taken()

    def take_departure(self, worker: str) -> bool:
        """Takes the word of a worker that it ends; False if it is unknown."""
        known = self.get_identity()
        if known is None or known.worker != worker:
            self._remember((worker, 0))
            return False
        self._depart(known)
        return True

    def take_health(self, worker: str, slots: int) -> bool:
        """Takes a good health check; returns whether a start became known."""
        match self.state:
            case Serving() | Leaving():
                return False
            case Lost(identity) if identity.worker == worker:
                self.state = Serving(identity)
                return True
            case Lost() | Unknown():
                pass
        if (worker, 0) in self._departed or slots <= 0:
            return False
        self._sequence = -1
        self.state = Serving(
            WorkerIdentity(worker, 0, self._address, self._service, slots)
        )
        return True

    def lose(self, worker: str) -> bool:
        """Takes note that a start is gone; returns whether it was in use."""
        match self.state:
            case Serving(identity) if identity.worker == worker:
                self.state = Lost(identity)
                return True
            case _:
                return False

    def _has_departed(self, identity: WorkerIdentity) -> bool:
        return (identity.worker, identity.born_ms) in self._departed

    def _depart(self, identity: WorkerIdentity) -> None:
        self._remember((identity.worker, identity.born_ms))
        self._remember((identity.worker, 0))
        self.state = Leaving(identity)

    def _remember(self, departed: tuple[str, int]) -> None:
        self._departed[departed] = None
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
