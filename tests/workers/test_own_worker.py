"""Which reports make a worker usable, and which must not."""

import dataclasses

import pytest

from kumquatridge.workers import own_worker

ADDRESS = "10.0.0.1:80"
A = own_worker.WorkerIdentity("a", 100, ADDRESS, "shop", 8)
A_AGAIN = dataclasses.replace(A, born_ms=200)
B = dataclasses.replace(A, worker="b", born_ms=300)


@dataclasses.dataclass(frozen=True)
class Report:
    """The worker reports on itself."""

    identity: own_worker.WorkerIdentity
    sequence: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Departs:
    """The worker says that it ends."""

    worker: str


@dataclasses.dataclass(frozen=True)
class Health:
    """A health check succeeds."""

    worker: str
    slots: int = 8


@dataclasses.dataclass(frozen=True)
class Lose:
    """The worker is found gone."""

    worker: str


Step = Report | Departs | Health | Lose


def take(worker: own_worker.OwnWorker, step: Step) -> None:
    match step:
        case Report(identity, sequence, leaving):
            worker.take_report(
                own_worker.WorkerReport(identity, sequence, leaving)
            )
        case Departs(name):
            worker.take_departure(name)
        case Health(name, slots):
            worker.take_health(name, slots)
        case Lose(name):
            worker.lose(name)


@pytest.mark.parametrize(
    ("steps", "serving"),
    [
        pytest.param((), None, id="nothing heard"),
        pytest.param((Report(A, 1),), "a", id="ready"),
        pytest.param((Report(A, 1), Report(A, 2, True)), None, id="leaving"),
        pytest.param(
            (Report(A, 1), Report(A, 3, True), Report(A, 2)),
            None,
            id="late report after leaving",
        ),
        pytest.param(
            (Report(A, 1), Report(A, 2, True), Report(A, 3)),
            None,
            id="says ready again after leaving",
        ),
        pytest.param((Report(A, 1), Departs("a")), None, id="departs"),
        pytest.param(
            (Report(A, 1), Departs("b")), "a", id="another one departs"
        ),
        pytest.param(
            (Report(A, 1), Departs("a"), Health("a")),
            None,
            id="healthy after departing",
        ),
        pytest.param(
            (Report(A, 9, True), Report(A_AGAIN, 1)),
            "a",
            id="started again under its name",
        ),
        pytest.param((Report(A, 9), Report(B, 1)), "b", id="replaced"),
        pytest.param(
            (Report(B, 1), Report(A, 9, True)),
            "b",
            id="report of an earlier start",
        ),
        pytest.param((Health("a"),), "a", id="healthy before any report"),
        pytest.param((Health("a", 0),), None, id="healthy without slots"),
        pytest.param((Departs("a"), Health("a")), None, id="departed first"),
        pytest.param((Report(A, 1), Lose("a")), None, id="lost"),
        pytest.param((Report(B, 1), Lose("a")), "b", id="an earlier one lost"),
        pytest.param(
            (Report(A, 1), Lose("a"), Health("a")), "a", id="back by health"
        ),
        pytest.param(
            (Report(A, 1), Lose("a"), Report(A, 2)), "a", id="back by report"
        ),
        pytest.param(
            (Report(A, 1), Lose("a"), Report(A, 1)),
            None,
            id="repeated report after the loss",
        ),
        pytest.param(
            (Report(dataclasses.replace(A, service="other"), 1),),
            None,
            id="another service",
        ),
        pytest.param(
            (Report(dataclasses.replace(A, address="10.0.0.2:80"), 1),),
            None,
            id="another address",
        ),
    ],
)
def test_who_serves(steps: tuple[Step, ...], serving: str | None) -> None:
    worker = own_worker.OwnWorker("shop", ADDRESS)
    for step in steps:
        take(worker, step)
    found = worker.get_serving()
    assert (found.worker if found else None) == serving
