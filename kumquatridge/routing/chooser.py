"""Choice of an instance by two random candidates.

A candidate's cost comes from this daemon's own calls in flight and answer
times, and from the reports that ride on answers; a worker's announced load
is never used. The work for a choice doesn't depend on the number of
instances.

Sources: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", 2001; B. Wydrowski et al., "Load is not what you should balance:
Introducing Prequal", NSDI 2024.
"""

from collections.abc import Iterator, Set
import contextlib
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.admission import levels
from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals
from kumquatridge.calls import reports
from kumquatridge.membership import table
from kumquatridge.routing import choices
from kumquatridge.routing import flights
from kumquatridge.routing import instances
from kumquatridge.routing import pools
from kumquatridge.routing import typical_times

RETRY_AFTER_MS = 1000
CANDIDATES = 2
MAX_DRAWS = 6
SLOW_COST_RATIO = 2.5
TRICKLE_RATIO = 1 / 16
SPILL_RATIO = 0.5
MAX_SPILL_CREDIT = 32.0
SPARE_LOAD_RATIO = 0.8
HEDGE_RATIO = 0.1
MAX_HEDGE_CREDIT = 32.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Draw:
    best: instances.InstanceStats | None
    refusing: instances.InstanceStats | None
    report: reports.InstanceReport | None


_NO_DRAW = _Draw(None, None, None)


class InstanceChooser:
    """Chooses instances and keeps what their answers tell."""

    def __init__(self, members: table.MemberTable, seed: int) -> None:
        self._members = members
        self._random = random.Random(seed)
        self._pools: dict[str, pools.ServicePool] = {}
        self._times: dict[tuple[str, str], typical_times.RouteTimes] = {}
        self._spill_credit = MAX_SPILL_CREDIT
        self._hedge_credit = MAX_HEDGE_CREDIT

    def choose(self, call: calls.Call, tried: Set[str]) -> choices.Choice:
        """Chooses an instance that is not in `tried`."""
        now_ms = clock.get_now_ms()
        pool = self._get_pool(call.service, now_ms)
        if pool.ejected and not tried:
            tested = pool.find_due_test(call.policy.idempotent, now_ms)
            if tested is not None:
                return choices.Chosen(tested.member)
        rank = levels.get_rank(call.chain)
        self._earn_credits()
        near = self._draw(pool.near, rank, tried, now_ms)
        if near.best is not None and near.best.get_load_ratio(now_ms) < 1.0:
            return choices.Chosen(near.best.member)
        is_free = rank >= levels.CRITICAL_RANK or (
            near.best is None and near.refusing is None
        )
        far = self._draw_far(pool, rank, tried, is_free, now_ms)
        if far is not None:
            return choices.Chosen(far.member)
        if near.best is not None:
            return choices.Chosen(near.best.member)
        if near.refusing is not None and near.report is not None:
            return self._refuse_early(near.refusing, near.report)
        return self._choose_last(pool, call, tried)

    def get_hedge_delay_ms(self, call: calls.Call) -> float | None:
        """Returns when a second instance is asked too, or None for never."""
        times = self._times.get((call.service, call.policy.route))
        pool = self._pools.get(call.service)
        if times is None or not times.is_known:
            return None
        if pool is None or len(pool.near) < CANDIDATES:
            return None
        return times.tail_ms

    def take_hedge_credit(self) -> bool:
        """Tells whether a hedge is within the bound on hedges."""
        if self._hedge_credit < 1.0:
            return False
        self._hedge_credit -= 1.0
        return True

    @contextlib.contextmanager
    def track(
        self, call: calls.Call, instance: str
    ) -> Iterator[flights.Record]:
        """Counts a call as in flight while the context is open.

        The record takes the outcome. Left without one, as when the caller
        is gone, the time that passed counts if it is long.
        """
        now_ms = clock.get_now_ms()
        pool = self._get_pool(call.service, now_ms)
        stats = pool.get_stats(instance)
        if stats is None:
            yield flights.Record()
            return
        times = self._times.get((call.service, call.policy.route))
        typical_ms = times.median_ms if times and times.is_known else 0.0
        handle = stats.begin(instances.Flight(now_ms, typical_ms))
        record = flights.Record()
        try:
            yield record
        finally:
            stats.end(handle)
            self._learn(call, pool, stats, record, now_ms)

    def _get_pool(self, service: str, now_ms: float) -> pools.ServicePool:
        own = self._members.get_instances(service)
        remote = self._members.get_remote(service)
        pool = self._pools.get(service)
        if pool is None:
            pool = pools.ServicePool(self._members.own.data_centre)
            self._pools[service] = pool
        if not pool.is_made_from(own, remote):
            pool.update(own, remote, now_ms)
        return pool

    def _draw(
        self,
        found: list[instances.InstanceStats],
        rank: int,
        tried: Set[str],
        now_ms: float,
    ) -> _Draw:
        if not found:
            return _NO_DRAW
        best = cold = refusing = report = None
        least = 0.0
        valid = 0
        for _ in range(MAX_DRAWS):
            stats = found[int(self._random.random() * len(found))]
            if stats is best or stats.member.instance in tried:
                continue
            if (refused := stats.get_refusing_report(rank, now_ms)) is not None:
                refusing, report = stats, refused
                continue
            if self._random.random() > stats.get_ramp_ratio(now_ms):
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
            best = _find_untried(found, tried)
        return _Draw(best, refusing, report)

    def _draw_far(
        self,
        pool: pools.ServicePool,
        rank: int,
        tried: Set[str],
        is_free: bool,
        now_ms: float,
    ) -> instances.InstanceStats | None:
        if not pool.far:
            return None
        drawn = self._draw(pool.far, rank, tried, now_ms).best
        if drawn is None or not (pool.near or pool.ejected):
            return drawn
        if drawn.get_load_ratio(now_ms) > SPARE_LOAD_RATIO and not is_free:
            return None
        if is_free:
            return drawn
        if self._spill_credit < 1.0:
            return None
        self._spill_credit -= 1.0
        return drawn

    def _earn_credits(self) -> None:
        self._spill_credit = min(
            MAX_SPILL_CREDIT, self._spill_credit + SPILL_RATIO
        )
        self._hedge_credit = min(
            MAX_HEDGE_CREDIT, self._hedge_credit + HEDGE_RATIO
        )

    def _refuse_early(
        self,
        refusing: instances.InstanceStats,
        report: reports.InstanceReport,
    ) -> choices.Choice:
        if self._random.random() < TRICKLE_RATIO:
            return choices.Chosen(refusing.member)
        return choices.NoneLeft(
            refusals.Overloaded(
                levels.get_report_rank(report), report.limit, RETRY_AFTER_MS
            )
        )

    def _choose_last(
        self, pool: pools.ServicePool, call: calls.Call, tried: Set[str]
    ) -> choices.Choice:
        for found in (pool.ejected, pool.suspected):
            stats = _find_untried(found, tried)
            if stats is not None:
                return choices.Chosen(stats.member)
        return choices.NoneLeft(
            refusals.NoInstance(call.service, RETRY_AFTER_MS)
        )

    def _learn(
        self,
        call: calls.Call,
        pool: pools.ServicePool,
        stats: instances.InstanceStats,
        record: flights.Record,
        started_ms: float,
    ) -> None:
        now_ms = clock.get_now_ms()
        latency_ms = (record.ended_ms or now_ms) - started_ms
        outcome = record.outcome
        if outcome is not None and outcome.report is not None:
            stats.record_report(outcome.report, now_ms)
        if not stats.counts(started_ms):
            return
        match flights.judge(outcome):
            case flights.Answered():
                stats.failures = 0
                self._record_time(call, stats, latency_ms, now_ms)
            case flights.Broken():
                stats.failures += 1
            case flights.Abandoned():
                self._record_abandoned(call, stats, latency_ms, now_ms)
            case flights.Departed():
                pool.set_drained(stats, now_ms)
                return
            case flights.Turned():
                return
        pool.judge(stats, now_ms)

    def _record_time(
        self,
        call: calls.Call,
        stats: instances.InstanceStats,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        key = (call.service, call.policy.route)
        times = self._times.get(key)
        if times is None:
            self._times[key] = typical_times.RouteTimes(latency_ms)
            return
        times.record(latency_ms)
        if times.is_known and times.median_ms > 0.0:
            stats.record_ratio(latency_ms / times.median_ms, now_ms)

    def _record_abandoned(
        self,
        call: calls.Call,
        stats: instances.InstanceStats,
        waited_ms: float,
        now_ms: float,
    ) -> None:
        times = self._times.get((call.service, call.policy.route))
        if times is None or not times.is_known or times.median_ms == 0.0:
            return
        ratio = waited_ms / times.median_ms
        if ratio > stats.slowness_ratio:
            stats.record_ratio(ratio, now_ms)


def _find_untried(
    found: list[instances.InstanceStats], tried: Set[str]
) -> instances.InstanceStats | None:
    for stats in found:
        if stats.member.instance not in tried:
            return stats
    return None
