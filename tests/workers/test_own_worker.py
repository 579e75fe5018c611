"""Which events put a worker into use, and which must not."""

import dataclasses

import pytest

from kumquatridge.workers import own_worker

ADDRESS = "10.0.0.1:80"
# Started at 100 ms, with 8 slots. The two processes below were started later;
# a lower sequence number does not make their reports stale.
WORKER_A = own_worker.WorkerIdentity("a", 100, ADDRESS, "shop", 8)
RESTARTED_WORKER_A = dataclasses.replace(WORKER_A, started_ms=200)
WORKER_B = dataclasses.replace(WORKER_A, worker="b", started_ms=300)
# Started after A, when the clock had been set back.
SET_BACK_WORKER_A = dataclasses.replace(WORKER_A, started_ms=50)
SET_BACK_WORKER_B = dataclasses.replace(WORKER_B, started_ms=50)


@dataclasses.dataclass(frozen=True)
class ReportReceived:
    """A worker reports on itself; the fields are as in `WorkerReport`."""

    identity: own_worker.WorkerIdentity
    sequence: int
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True)
class DepartureReceived:
    """A worker announces its shutdown, with the start time of its process.

    The start time is 0 if it is not known.
    """

    worker: str
    started_ms: int = 0


@dataclasses.dataclass(frozen=True)
class HealthCheckPassed:
    """A health check succeeds; the worker answers with name and slots."""

    worker: str
    slots: int = 8


@dataclasses.dataclass(frozen=True)
class HealthCheckFailed:
    """A health check fails; a leaving worker's does."""


@dataclasses.dataclass(frozen=True)
class WorkerLost:
    """A worker's address refuses connections, or another worker answers."""

    worker: str


Step = (
    ReportReceived
    | DepartureReceived
    | HealthCheckPassed
    | HealthCheckFailed
    | WorkerLost
)


IN_USE_A = (ReportReceived(WORKER_A, 1), HealthCheckPassed("a"))
IN_USE_B = (ReportReceived(WORKER_B, 1), HealthCheckPassed("b"))


def apply_step(worker: own_worker.OwnWorker, step: Step) -> None:
    match step:
        case ReportReceived(identity, sequence, is_leaving):
            worker.apply_report(
                own_worker.WorkerReport(identity, sequence, is_leaving)
            )
        case DepartureReceived(worker_name, started_ms):
            worker.apply_departure(worker_name, started_ms)
        case HealthCheckPassed(worker_name, slots):
            worker.apply_health_check(worker_name, slots)
        case HealthCheckFailed():
            worker.apply_failed_health_check()
        case WorkerLost(worker_name):
            worker.mark_lost(worker_name)


@pytest.mark.parametrize(
    ("steps", "serving_worker"),
    [
        pytest.param((), None, id="no events"),
        # Guards against a worker that left before a restart of its daemon and
        # is used again after a late report.
        pytest.param((ReportReceived(WORKER_A, 1),), None, id="reported ready"),
        pytest.param(IN_USE_A, "a", id="reported ready and healthy"),
        pytest.param(
            (*IN_USE_A, ReportReceived(WORKER_A, 2)), "a", id="reported again"
        ),
        pytest.param(
            (*IN_USE_A, ReportReceived(WORKER_A, 2, True)),
            None,
            id="reported leaving",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(WORKER_A, 3, True),
                ReportReceived(WORKER_A, 2),
                HealthCheckPassed("a"),
            ),
            None,
            id="late report after leaving",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(WORKER_A, 2, True),
                ReportReceived(WORKER_A, 3),
                HealthCheckPassed("a"),
            ),
            None,
            id="reported ready again after leaving",
        ),
        pytest.param((*IN_USE_A, DepartureReceived("a")), None, id="departed"),
        pytest.param(
            (*IN_USE_A, DepartureReceived("b")),
            "a",
            id="another worker departed",
        ),
        pytest.param(
            (*IN_USE_A, DepartureReceived("a"), HealthCheckPassed("a")),
            None,
            id="healthy after departure",
        ),
        pytest.param(
            (
                ReportReceived(WORKER_A, 1),
                DepartureReceived("a"),
                HealthCheckPassed("a"),
            ),
            None,
            id="departed before the first health check",
        ),
        pytest.param(
            (
                ReportReceived(WORKER_A, 9, True),
                ReportReceived(RESTARTED_WORKER_A, 1),
                HealthCheckPassed("a"),
            ),
            "a",
            id="restarted under the same name",
        ),
        pytest.param(
            (*IN_USE_A, ReportReceived(WORKER_B, 1), HealthCheckPassed("b")),
            "b",
            id="replaced by another worker",
        ),
        pytest.param(
            (*IN_USE_A, ReportReceived(WORKER_B, 1)),
            None,
            id="replaced by a worker that is not yet healthy",
        ),
        pytest.param(
            (*IN_USE_A, ReportReceived(RESTARTED_WORKER_A, 1)),
            None,
            id="restarted in use, not yet healthy",
        ),
        pytest.param(
            (*IN_USE_B, ReportReceived(WORKER_A, 9, True)),
            "b",
            id="report of an earlier process",
        ),
        pytest.param(
            (ReportReceived(WORKER_A, 9), HealthCheckPassed("b")),
            "b",
            id="another worker answers the health check",
        ),
        pytest.param(
            (HealthCheckPassed("a"),), "a", id="healthy before any report"
        ),
        pytest.param(
            (HealthCheckPassed("a"), ReportReceived(WORKER_A, 9)),
            "a",
            id="reported after a health check",
        ),
        pytest.param(
            (HealthCheckPassed("a", 0),), None, id="healthy without slots"
        ),
        pytest.param(
            (ReportReceived(WORKER_A, 1), HealthCheckPassed("a", 0)),
            "a",
            id="slots known from the report only",
        ),
        pytest.param(
            (DepartureReceived("a"), HealthCheckPassed("a")),
            None,
            id="healthy after the departure of an unknown worker",
        ),
        pytest.param(
            (
                DepartureReceived("a", 100),
                ReportReceived(WORKER_A, 9),
                HealthCheckPassed("a"),
            ),
            None,
            id="late report after a departure before any report",
        ),
        pytest.param(
            (DepartureReceived("a"), ReportReceived(WORKER_A, 9)),
            None,
            id="late report after a departure without start time",
        ),
        pytest.param(
            (
                DepartureReceived("a", 100),
                ReportReceived(RESTARTED_WORKER_A, 1),
                HealthCheckPassed("a"),
            ),
            "a",
            id="restarted after a departure before any report",
        ),
        pytest.param(
            (
                ReportReceived(RESTARTED_WORKER_A, 1),
                HealthCheckPassed("a"),
                DepartureReceived("a", 100),
            ),
            "a",
            id="late departure of an earlier process of the same name",
        ),
        pytest.param(
            (
                HealthCheckPassed("a"),
                DepartureReceived("a", 100),
                ReportReceived(WORKER_A, 9),
                HealthCheckPassed("a"),
            ),
            None,
            id="late report after a departure known from health checks only",
        ),
        pytest.param((*IN_USE_A, WorkerLost("a")), None, id="lost"),
        pytest.param(
            (*IN_USE_B, WorkerLost("a")), "b", id="another worker lost"
        ),
        pytest.param(
            (*IN_USE_A, WorkerLost("a"), HealthCheckPassed("a")),
            "a",
            id="restored by health check",
        ),
        pytest.param(
            (*IN_USE_A, WorkerLost("a"), ReportReceived(WORKER_A, 2)),
            None,
            id="reported after the loss",
        ),
        pytest.param(
            (
                *IN_USE_A,
                WorkerLost("a"),
                ReportReceived(WORKER_A, 2),
                HealthCheckPassed("a"),
            ),
            "a",
            id="restored by report and health check",
        ),
        pytest.param(
            (*IN_USE_A, WorkerLost("a"), ReportReceived(WORKER_A, 1)),
            None,
            id="repeated report after the loss",
        ),
        # Guards against a report of leaving that is acknowledged and ignored,
        # because the clock was set back before the process was started.
        pytest.param(
            (
                *IN_USE_A,
                WorkerLost("a"),
                HealthCheckPassed("a"),
                ReportReceived(SET_BACK_WORKER_A, 1),
                HealthCheckPassed("a"),
                ReportReceived(SET_BACK_WORKER_A, 2, True),
            ),
            None,
            id="leaving after a restart with the clock set back",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(SET_BACK_WORKER_A, 1),
                HealthCheckPassed("a"),
                ReportReceived(SET_BACK_WORKER_A, 2, True),
            ),
            None,
            id="the same, the restart unnoticed",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(SET_BACK_WORKER_A, 1),
                HealthCheckPassed("a"),
                DepartureReceived("a", 50),
            ),
            None,
            id="departed after a restart with the clock set back",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(SET_BACK_WORKER_A, 1, True),
                HealthCheckFailed(),
            ),
            None,
            id="leaving in the first report, clock set back",
        ),
        pytest.param(
            (*IN_USE_A, DepartureReceived("a", 50), HealthCheckFailed()),
            None,
            id="departed before any report, clock set back",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(SET_BACK_WORKER_B, 1),
                HealthCheckPassed("b"),
                ReportReceived(SET_BACK_WORKER_B, 2, True),
            ),
            None,
            id="leaving under another name, clock set back",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(SET_BACK_WORKER_A, 1),
                HealthCheckPassed("a"),
            ),
            "a",
            id="restarted with the clock set back",
        ),
        pytest.param(
            (
                *IN_USE_A,
                WorkerLost("a"),
                ReportReceived(SET_BACK_WORKER_B, 1),
                HealthCheckPassed("b"),
            ),
            "b",
            id="replaced with the clock set back",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(SET_BACK_WORKER_A, 9, True),
                HealthCheckPassed("a"),
            ),
            "a",
            id="late leaving of an unknown process, still healthy",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(RESTARTED_WORKER_A, 1),
                HealthCheckPassed("a"),
                ReportReceived(WORKER_A, 1, True),
                HealthCheckFailed(),
            ),
            "a",
            id="copy of a report of an earlier process",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(RESTARTED_WORKER_A, 1),
                HealthCheckPassed("a"),
                DepartureReceived("a", 100),
                HealthCheckFailed(),
            ),
            "a",
            id="late departure of a known earlier process",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(SET_BACK_WORKER_A, 1),
                HealthCheckPassed("a"),
                ReportReceived(WORKER_A, 2),
                HealthCheckPassed("a"),
                ReportReceived(WORKER_A, 3, True),
            ),
            None,
            id="leaving after a late report of an earlier process",
        ),
        pytest.param(
            (
                *IN_USE_A,
                ReportReceived(WORKER_A, 2, True),
                ReportReceived(SET_BACK_WORKER_A, 9),
                HealthCheckPassed("a"),
            ),
            None,
            id="late report of an earlier process while leaving",
        ),
        pytest.param(
            (*IN_USE_A, HealthCheckFailed()),
            "a",
            id="failed health check of a worker beyond doubt",
        ),
        pytest.param(
            (
                ReportReceived(
                    dataclasses.replace(WORKER_A, service="other"), 1
                ),
                HealthCheckPassed("a", 0),
            ),
            None,
            id="another service",
        ),
        pytest.param(
            (
                ReportReceived(
                    dataclasses.replace(WORKER_A, address="10.0.0.2:80"), 1
                ),
                HealthCheckPassed("a", 0),
            ),
            None,
            id="another address",
        ),
    ],
)
def test_worker_serving_after_events(
    steps: tuple[Step, ...], serving_worker: str | None
) -> None:
    """`serving_worker` is the name of the worker in use after the steps."""
    worker = own_worker.OwnWorker("shop", ADDRESS)
    for step in steps:
        apply_step(worker, step)
    identity = worker.get_serving()
    assert (identity.worker if identity else None) == serving_worker
