"""Disruptions of a soak test, drawn from a seed."""

import dataclasses
import random

# Disruptions happen in this time from the start of the load.
DISRUPTED_S = 9.0
DAEMONS = 4
# Disruptions of one run.
FEWEST = 4
MOST = 10


@dataclasses.dataclass(frozen=True)
class Kill:
    """A daemon is killed and started again `down_s` later."""

    at_s: float
    daemon: int
    down_s: float


@dataclasses.dataclass(frozen=True)
class Stop:
    """A daemon gets SIGTERM and is started again once it has ended."""

    at_s: float
    daemon: int


@dataclasses.dataclass(frozen=True)
class HangUp:
    """A daemon gets SIGHUP."""

    at_s: float
    daemon: int


@dataclasses.dataclass(frozen=True)
class Pause:
    """A daemon stands still for `for_s`."""

    at_s: float
    daemon: int
    for_s: float


@dataclasses.dataclass(frozen=True)
class Depart:
    """A worker leaves, serves on, ends, and is followed by another one.

    With `reports_draining` it says so in a report first. A report from before
    arrives `late_s` after the acknowledgement.
    """

    at_s: float
    daemon: int
    reports_draining: bool
    late_s: float


@dataclasses.dataclass(frozen=True)
class Crash:
    """A worker ends without notice and is followed by another one."""

    at_s: float
    daemon: int
    down_s: float


@dataclasses.dataclass(frozen=True)
class StoreDown:
    """The store answers no call for `for_s`."""

    at_s: float
    for_s: float


@dataclasses.dataclass(frozen=True)
class ChangeRoutes:
    """The operator moves a route to the other service, for good."""

    at_s: float


Disruption = (
    Kill | Stop | HangUp | Pause | Depart | Crash | StoreDown | ChangeRoutes
)


@dataclasses.dataclass(frozen=True)
class AnswerRatios:
    """How often a worker's answers are faulty, as ratios of its answers."""

    refused: float = 0.0
    copied: float = 0.0
    cut: float = 0.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """What happens in a run; `is_planned` if nothing but planned work."""

    disruptions: tuple[Disruption, ...]
    ratios: AnswerRatios
    is_planned: bool


def make_plan(seed: int) -> Plan:
    """Draws a plan; each fourth seed has planned work only."""
    source = random.Random(seed)
    is_planned = seed % 4 == 0
    kinds: tuple[str, ...] = ("stop", "hang_up", "depart")
    if not is_planned:
        kinds = (*kinds, "kill", "kill", "pause", "crash", "store_down")
    drawn = [
        _draw(source, source.choice(kinds))
        for _ in range(source.randint(FEWEST, MOST))
    ]
    drawn.append(ChangeRoutes(_draw_time_s(source)))
    drawn.sort(key=lambda disruption: disruption.at_s)
    ratios = AnswerRatios()
    if not is_planned:
        ratios = AnswerRatios(
            source.choice((0.0, 0.2, 0.45)),
            source.choice((0.0, 0.05, 0.3)),
            source.choice((0.0, 0.02)),
        )
    return Plan(tuple(drawn), ratios, is_planned)


def _draw_time_s(source: random.Random) -> float:
    return source.uniform(0.5, DISRUPTED_S)


def _draw(source: random.Random, kind: str) -> Disruption:
    at_s = _draw_time_s(source)
    daemon = source.randrange(DAEMONS)
    match kind:
        case "kill":
            return Kill(at_s, daemon, source.uniform(0.1, 1.5))
        case "stop":
            return Stop(at_s, daemon)
        case "hang_up":
            return HangUp(at_s, daemon)
        case "pause":
            return Pause(at_s, daemon, source.uniform(0.2, 2.0))
        case "depart":
            return Depart(
                at_s, daemon, source.random() < 0.5, source.uniform(0.5, 3.0)
            )
        case "crash":
            return Crash(at_s, daemon, source.uniform(0.3, 2.0))
        case "store_down":
            return StoreDown(at_s, source.uniform(0.3, 2.0))
    raise AssertionError(kind)
