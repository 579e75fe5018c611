"""State of the worker that runs beside this daemon.

Only this daemon sends calls to the worker, so this state decides whether the
worker receives calls at all. A worker process that announced its shutdown is
never used again, regardless of later reports.

A daemon keeps departures in memory only. After its restart a late report may
come from a worker that has announced its shutdown to the previous process.
Therefore no report puts a worker into use by itself: a health check has to
confirm it, which a worker fails once it is leaving.

Start times come from the clock of the instance, which may be set back. So a
process with an earlier start time than the known one may be its successor, and
not only an earlier process whose reports are late. Sequence numbers and health
checks tell the two apart.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerIdentity:
    """One process of a worker; `worker` is the name that it reports.

    `started_ms` is the start time that the process reports, by which processes
    are told apart and ordered, whatever their names; it is 0 if the process
    does not report it or is known only from a health check. `address` is the
    "host:port" at which the worker receives calls, and `slots` how many it runs
    at once. `warm_up_ms` is the warm-up time that the worker reported as
    remaining, during which it is still slow.
    """

    worker: str
    started_ms: int
    address: str
    service: str
    slots: int
    warm_up_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A report of a worker on itself.

    `sequence` grows with each report of a process. `is_leaving` tells that the
    worker accepts no new calls.
    """

    identity: WorkerIdentity
    sequence: int
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """No worker has been seen."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """The worker reported that it is ready; no health check confirmed it."""

    identity: WorkerIdentity


@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """The worker accepts calls."""

    identity: WorkerIdentity


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The worker finishes its calls in progress and accepts no new ones."""

    identity: WorkerIdentity


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The worker's address refuses connections, or another worker answers."""

    identity: WorkerIdentity


WorkerState = Unknown | Reported | Serving | Leaving | Lost

# Departed workers are remembered so that late reports do not put them back into
# use. Each has up to two entries, one for reports and one for health checks,
# and an instance has only a handful of departed workers in its lifetime.
MAX_DEPARTED_ENTRIES = 64
# The same for the sequence numbers of earlier processes.
MAX_SEQUENCE_ENTRIES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The report was newer than the known state, which it replaced."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """The report was not newer than the known state, and was ignored."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatched:
    """The report is of another address or service than expected.

    `reason` gives the address or service in the report.
    """

    reason: str


ReportResult = Applied | Stale | Mismatched


class OwnWorker:
    """Tracks the worker beside this daemon over restarts of its process."""

    def __init__(self, service: str, address: str) -> None:
        self._service = service
        self._address = address
        self._sequence = -1
        # Name and start time of departed workers, in the order of departure. An
        # entry with start time 0 applies to health checks, which report no
        # start time.
        self._departed: dict[tuple[str, int], None] = {}
        # The newest sequence number of processes other than the known one, by
        # name and start time.
        self._other_sequences: dict[tuple[str, int], int] = {}
        # Whether a process other than the serving one may be the present one.
        self.is_doubted = False
        self.state: WorkerState = Unknown()

    @property
    def address(self) -> str:
        """The address that the worker listens on."""
        return self._address

    @property
    def service(self) -> str:
        """The service that the worker runs."""
        return self._service

    @property
    def sequence(self) -> int:
        """The sequence number of the newest applied report.

        It is -1 while the present process is known only from health checks, or
        not at all.
        """
        return self._sequence

    @property
    def needs_check(self) -> bool:
        """Returns whether a health check may change the state."""
        match self.state:
            case Unknown() | Reported() | Lost():
                return True
            case Serving():
                return self.is_doubted
            case Leaving():
                return False

    def set_endpoint(self, service: str, address: str) -> None:
        """Sets service and address; a change resets the state to unknown."""
        if (service, address) != (self._service, self._address):
            self._service, self._address = service, address
            self._sequence = -1
            self.state = Unknown()

    def get_identity(self) -> WorkerIdentity | None:
        """Returns the identity of the last known process, in use or not."""
        match self.state:
            case Unknown():
                return None
            case (
                Reported(identity)
                | Serving(identity)
                | Leaving(identity)
                | Lost(identity)
            ):
                return identity

    def get_serving(self) -> WorkerIdentity | None:
        """Returns the identity of the worker if it accepts calls."""
        match self.state:
            case Serving(identity):
                return identity
            case _:
                return None

    def apply_report(self, report: WorkerReport) -> ReportResult:
        """Applies a report unless it is stale or mismatched.

        A report of a process that was started later replaces the known one, and
        so does one with an earlier start time if that process may be newer. A
        process that is not serving yet needs a health check to be put into use.
        A report that is ignored may set `is_doubted`.
        """
        identity = report.identity
        if identity.address != self._address:
            return Mismatched(f"address {identity.address}")
        if identity.service != self._service:
            return Mismatched(f"service {identity.service}")
        if report.sequence <= self._get_sequence(identity):
            return Stale()
        known_identity = self.get_identity()
        if (
            known_identity is not None
            and known_identity.started_ms > identity.started_ms
            and not self._may_be_newer(report)
        ):
            self._record_other_sequence(identity, report.sequence)
            return Stale()
        if (
            known_identity is not None
            and known_identity.started_ms != identity.started_ms
        ):
            self._record_other_sequence(known_identity, self._sequence)
        self._sequence = report.sequence
        if report.is_leaving or self._has_departed(identity):
            self._mark_leaving(identity)
        elif self._is_serving(identity):
            self.state = Serving(identity)
        else:
            self.state = Reported(identity)
        return Applied()

    def apply_departure(self, worker: str, started_ms: int = 0) -> bool:
        """Marks the worker as leaving if it has the name `worker`.

        `started_ms` is the start time of the departing process, 0 if it did not
        say. Otherwise returns False, but remembers the departure, so that
        neither a health check nor a late report puts that worker into use. The
        departure of an earlier process of the same name does not affect the
        present one; if that process is not known, it sets `is_doubted`.
        """
        known_identity = self.get_identity()
        if known_identity is None or known_identity.worker != worker:
            self._record_departed((worker, started_ms))
            self._record_departed((worker, 0))
            return False
        if 0 < started_ms < known_identity.started_ms:
            if (worker, started_ms) not in self._other_sequences:
                self._doubt()
            self._record_departed((worker, started_ms))
            return False
        self._record_departed((worker, started_ms))
        self._mark_leaving(known_identity)
        return True

    def apply_health_check(self, worker: str, slots: int) -> bool:
        """Applies a successful health check; returns whether the state changed.

        `worker` and `slots` are what the worker at the address answered. Has no
        effect unless the known worker is reported, lost, unknown or doubted. If
        the answer has the name of the reported or lost worker, that worker
        becomes serving. Any other worker becomes serving only if `slots` is
        positive and that worker has not announced its shutdown.
        """
        match self.state:
            case Serving(identity) if self.is_doubted:
                self.is_doubted = False
                if identity.worker == worker:
                    return False
                self.state = Lost(identity)
                self.apply_health_check(worker, slots)
                return True
            case Serving() | Leaving():
                return False
            case Reported(identity) | Lost(identity) if (
                identity.worker == worker
            ):
                self.state = Serving(identity)
                return True
            case Reported() | Lost() | Unknown():
                pass
        if (worker, 0) in self._departed or slots <= 0:
            return False
        self._sequence = -1
        self.state = Serving(
            WorkerIdentity(worker, 0, self._address, self._service, slots)
        )
        return True

    def apply_failed_health_check(self) -> bool:
        """Applies a failed health check; returns whether the state changed.

        A doubted worker needs another one to be put into use again.
        """
        match self.state:
            case Serving(identity) if self.is_doubted:
                self.is_doubted = False
                self.state = Reported(identity)
                return True
            case _:
                return False

    def mark_lost(self, worker: str) -> bool:
        """Marks a serving worker as lost; returns whether it was serving."""
        match self.state:
            case Serving(identity) if identity.worker == worker:
                self.state = Lost(identity)
                return True
            case _:
                return False

    def _may_be_newer(self, report: WorkerReport) -> bool:
        """Returns whether a process with an earlier start time may be newer.

        That is so if its reports go on, while no report of the known process
        follows. A worker that is leaving stays so, and one that is serving is
        only replaced by a ready one of its name; else a health check decides.
        """
        identity = report.identity
        if self._has_departed(identity):
            return False
        match self.state:
            case Serving(known_identity):
                if (
                    known_identity.worker == identity.worker
                    and not report.is_leaving
                ):
                    return True
                self._doubt()
                return False
            case Reported() | Lost():
                return True
            case Unknown() | Leaving():
                return False

    def _doubt(self) -> None:
        self.is_doubted = self.get_serving() is not None

    def _get_sequence(self, identity: WorkerIdentity) -> int:
        """Returns the newest sequence number of a process, -1 if unknown."""
        known_identity = self.get_identity()
        if (
            known_identity is not None
            and known_identity.started_ms == identity.started_ms
        ):
            return self._sequence
        key = (identity.worker, identity.started_ms)
        return self._other_sequences.get(key, -1)

    def _record_other_sequence(
        self, identity: WorkerIdentity, sequence: int
    ) -> None:
        key = (identity.worker, identity.started_ms)
        self._other_sequences[key] = sequence
        while len(self._other_sequences) > MAX_SEQUENCE_ENTRIES:
            del self._other_sequences[next(iter(self._other_sequences))]

    def _is_serving(self, identity: WorkerIdentity) -> bool:
        """Returns whether this process is in use.

        A worker in use that is known only from a health check has no start
        time; it is recognised by its name.
        """
        serving = self.get_serving()
        return (
            serving is not None
            and serving.worker == identity.worker
            and serving.started_ms in (0, identity.started_ms)
        )

    def _has_departed(self, identity: WorkerIdentity) -> bool:
        return (identity.worker, identity.started_ms) in self._departed

    def _mark_leaving(self, identity: WorkerIdentity) -> None:
        self._record_departed((identity.worker, identity.started_ms))
        self._record_departed((identity.worker, 0))
        self.state = Leaving(identity)

    def _record_departed(self, departed: tuple[str, int]) -> None:
        self._departed[departed] = None
        while len(self._departed) > MAX_DEPARTED_ENTRIES:
            del self._departed[next(iter(self._departed))]
