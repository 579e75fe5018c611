"""Draws random candidates from the instances of a service."""

from collections.abc import Set
import dataclasses
import random

from kumquatridge.calls import load_reports
from kumquatridge.routing import instances

# Number of candidates that are compared by cost, unless all of them are slow.
CANDIDATE_COUNT = 2
# Largest number of draws, including those that hit an instance that is skipped.
MAX_DRAWS = 6
# While the cheapest candidate costs at least this, more are drawn. An idle
# instance that is neither slow nor failing costs 1 (see
# `InstanceStats.get_cost_ratio`).
SLOW_COST_RATIO = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """The candidates found by a call of `draw`.

    `best` is the cheapest candidate. `refusing` is a candidate that would
    refuse the call according to its load report, and `report` is that report. A
    field is None if no such candidate was drawn.
    """

    best: instances.InstanceStats | None
    refusing: instances.InstanceStats | None
    report: load_reports.LoadReport | None


NO_DRAW = Draw(None, None, None)


def draw(
    candidates: list[instances.InstanceStats],
    rank: int,
    tried: Set[str],
    now_ms: float,
    rng: random.Random,
) -> Draw:
    """Draws random candidates until two were compared, and finds the cheapest.

    Instances in `tried` are skipped, and so are instances that would refuse a
    call of this rank according to their load report. An instance in slow start
    is skipped at random, but used if nothing else was drawn. While the cheapest
    candidate costs at least `SLOW_COST_RATIO`, more are drawn, at most
    `MAX_DRAWS` in all. If all draws hit tried instances, the first untried one
    is used.
    """
    if not candidates:
        return NO_DRAW
    best = warming = refusing = report = None
    lowest_cost_ratio = 0.0
    compared_count = 0
    for _ in range(MAX_DRAWS):
        stats = candidates[int(rng.random() * len(candidates))]
        if stats is best or stats.member.instance in tried:
            continue
        if (
            refusing_report := stats.get_refusing_report(rank, now_ms)
        ) is not None:
            refusing, report = stats, refusing_report
            continue
        if rng.random() > stats.get_slow_start_ratio(now_ms):
            warming = stats
            continue
        cost_ratio = stats.get_cost_ratio(now_ms)
        if best is None or cost_ratio < lowest_cost_ratio:
            best, lowest_cost_ratio = stats, cost_ratio
        compared_count += 1
        if (
            compared_count >= CANDIDATE_COUNT
            and lowest_cost_ratio < SLOW_COST_RATIO
        ):
            break
    best = best or warming
    if best is None and refusing is None:
        best = find_untried(candidates, tried)
    return Draw(best, refusing, report)


def find_untried(
    candidates: list[instances.InstanceStats], tried: Set[str]
) -> instances.InstanceStats | None:
    """Returns the first instance that is not in `tried`, or None."""
    for stats in candidates:
        if stats.member.instance not in tried:
            return stats
    return None
