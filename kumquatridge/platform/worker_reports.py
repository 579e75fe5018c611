"""Receives and decodes the heartbeats and deregistrations of workers."""

import msgspec

from kumquatridge import decode_errors
from kumquatridge.calls import body as call_body
from kumquatridge.platform import errors
from kumquatridge.telemetry import events
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http
from kumquatridge.workers import own_worker as own_workers
from kumquatridge.workers import supervisor as worker_supervisor

HEARTBEAT_PATH = "/api/Instances.Heartbeat/"
DEREGISTRATION_PATH = "/api/Instances.Deregister/"
READY = "ready"
DRAINING = "draining"
MS_PER_S = 1000.0
# Larger figures in a report are taken for an error: slots of one worker, a
# warm-up of an hour, and the integers that MessagePack can encode.
MAX_SLOTS = 1_000_000
MAX_WARM_UP_S = 3600.0
MAX_NUMBER = 2**63 - 1
STATUS_OK = 200
STATUS_MALFORMED = 400
STATUS_NOT_FOUND = 404


class _Info(msgspec.Struct, rename="camel"):
    service: str
    # Slots of the worker: calls that it runs at the same time.
    max_concurrency: int


class _Status(msgspec.Struct, rename="camel"):
    # READY or DRAINING.
    state: str
    # Grows with each heartbeat.
    sequence: int
    # Remaining warm-up time after the worker's start.
    warmup_left_s: float = 0.0


class _Heartbeat(msgspec.Struct, rename="camel"):
    # "host:port" at which the worker serves requests.
    address: str
    info: _Info
    status: _Status
    # Start of the worker, in Unix milliseconds.
    born: int = 0


class _Deregistration(msgspec.Struct, rename="camel"):
    # As in a heartbeat.
    born: int = 0


_decoder = msgspec.json.Decoder(_Heartbeat)
_deregistration_decoder = msgspec.json.Decoder(_Deregistration)


def decode_report(worker: str, data: bytes) -> own_workers.WorkerReport:
    """Decodes the heartbeat of a worker.

    Raises:
      MalformedReportError: the heartbeat is not JSON, a field is missing or of
        the wrong type, or a value is out of range.
    """
    try:
        decoded = _decoder.decode(data)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.MalformedReportError(str(error)) from error
    state = decoded.status.state
    if state not in (READY, DRAINING):
        raise errors.MalformedReportError(
            f"state: got {state!r}, expected {READY!r} or {DRAINING!r}"
        )
    if not worker or not 0 < decoded.info.max_concurrency <= MAX_SLOTS:
        raise errors.MalformedReportError(
            f"worker {worker!r} with {decoded.info.max_concurrency} slots:"
            f" expected a name and 1 to {MAX_SLOTS} slots"
        )
    for number in (decoded.born, decoded.status.sequence):
        if not 0 <= number <= MAX_NUMBER:
            raise errors.MalformedReportError(
                f"born or sequence: got {number}, expected 0 to {MAX_NUMBER}"
            )
    warm_up_s = decoded.status.warmup_left_s
    if not warm_up_s <= MAX_WARM_UP_S:
        raise errors.MalformedReportError(
            f"warmupLeftS: got {warm_up_s}, expected at most {MAX_WARM_UP_S}"
        )
    identity = own_workers.WorkerIdentity(
        worker,
        decoded.born,
        decoded.address,
        decoded.info.service,
        decoded.info.max_concurrency,
        round(max(0.0, warm_up_s) * MS_PER_S),
    )
    return own_workers.WorkerReport(
        identity, decoded.status.sequence, state == DRAINING
    )


def _decode_start_ms(body: call_body.Body) -> int:
    """Returns the start time in a deregistration, 0 if it can't be read.

    A worker that leaves gets no more calls, whatever it says of its start.
    """
    match body:
        case call_body.BufferedBody(data) if data:
            pass
        case _:
            return 0
    try:
        started_ms = _deregistration_decoder.decode(data).born
    except decode_errors.DECODE_ERRORS as error:
        events.log(events.DeregistrationUnreadable(str(error)))
        return 0
    return started_ms if 0 <= started_ms <= MAX_NUMBER else 0


class WorkerReportEndpoint:
    """Receives the heartbeats and deregistrations of the local worker."""

    def __init__(self, supervisor: worker_supervisor.WorkerSupervisor) -> None:
        self._supervisor = supervisor

    async def handle(
        self, request: http.Request, responder: http_listener.Responder
    ) -> None:
        """Processes a report and answers with the HTTP status for it."""
        status = self._process(request)
        body = call_body.BufferedBody(b"{}")
        headers = (("Content-Type", "application/json"),)
        await responder.send(http.Answer(status, headers, body))

    def _process(self, request: http.Request) -> int:
        target = request.target.partition("?")[0]
        if request.method != "POST":
            return STATUS_NOT_FOUND
        if target.startswith(DEREGISTRATION_PATH):
            self._supervisor.handle_departure(
                target.removeprefix(DEREGISTRATION_PATH),
                _decode_start_ms(request.body),
            )
            return STATUS_OK
        if not target.startswith(HEARTBEAT_PATH):
            return STATUS_NOT_FOUND
        worker = target.removeprefix(HEARTBEAT_PATH)
        match request.body:
            case call_body.BufferedBody(data):
                pass
            case call_body.StreamedBody():
                # No heartbeat is long enough to be streamed. Without data it is
                # rejected as malformed.
                data = b""
        try:
            report = decode_report(worker, data)
        except errors.MalformedReportError as error:
            self._supervisor.ignore(worker, str(error))
            return STATUS_MALFORMED
        self._supervisor.handle_report(report)
        return STATUS_OK
