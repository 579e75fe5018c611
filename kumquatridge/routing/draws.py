"""Draws candidates from the instances of a service."""

from collections.abc import Set
import dataclasses
import random

from kumquatridge.calls import load_reports
from kumquatridge.routing import instances

CANDIDATES = 2
MAX_DRAWS = 6
SLOW_COST_RATIO = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """The better candidate, and one whose report refuses the call."""

    best: instances.InstanceStats | None
    refusing: instances.InstanceStats | None
    report: load_reports.LoadReport | None


NO_DRAW = Draw(None, None, None)


def draw(
    found: list[instances.InstanceStats],
    rank: int,
    tried: Set[str],
    now_ms: float,
    rng: random.Random,
) -> Draw:
    """Draws two candidates that may take a call and returns the better one.

    More are drawn, up to a bound, while the better one looks slow.
    """
    if not found:
        return NO_DRAW
    best = cold = refusing = report = None
    least = 0.0
    valid = 0
    for _ in range(MAX_DRAWS):
        stats = found[int(rng.random() * len(found))]
        if stats is best or stats.member.instance in tried:
            continue
        if (refused := stats.get_refusing_report(rank, now_ms)) is not None:
            refusing, report = stats, refused
            continue
        if rng.random() > stats.get_ramp_ratio(now_ms):
            cold = stats
            continue
        cost = stats.get_cost_ratio(now_ms)
        if best is None or cost < least:
            best, least = stats, cost
        valid += 1
        if valid >= CANDIDATES and least < SLOW_COST_RATIO:
            break
    best = best or cold
    if best is None and refusing is None:
        best = find_untried(found, tried)
    return Draw(best, refusing, report)


def find_untried(
    found: list[instances.InstanceStats], tried: Set[str]
) -> instances.InstanceStats | None:
    """Returns the first instance that was not tried, if any."""
    for stats in found:
        if stats.member.instance not in tried:
            return stats
    return None
