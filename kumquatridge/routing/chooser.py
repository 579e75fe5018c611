"""Choice of an instance by two random candidates.

A candidate's cost comes from this daemon's own calls in flight and answer
times, and from the reports that ride on answers; a worker's announced load
is never used. The work for a choice doesn't depend on the number of
instances.

Sources: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", 2001; B. Wydrowski et al., "Load is not what you should balance:
Introducing Prequal", NSDI 2024.
"""

from collections.abc import Set
import dataclasses
import random
import types

from kumquatridge import clock
from kumquatridge.admission import levels
from kumquatridge.calls import call as calls
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.routing import call_credits
from kumquatridge.routing import choices
from kumquatridge.routing import draws
from kumquatridge.routing import fitness
from kumquatridge.routing import flights
from kumquatridge.routing import instances
from kumquatridge.routing import pools
from kumquatridge.routing import typical_times

RETRY_AFTER_MS = 1000
PROBE_RATIO = 1 / 16
SPILL_RATIO = 0.5
HEDGE_RATIO = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """How freely calls leave the own data centre.

    `spill_ratio` is the part of the calls below CRITICAL that may go to others
    though an instance here would take them.
    """

    spill_ratio: float = SPILL_RATIO


class InstanceChooser:
    """Chooses instances and keeps what their answers tell."""

    def __init__(
        self,
        members: table.MemberTable,
        seed: int,
        settings: RoutingSettings | None = None,
    ) -> None:
        settings = settings or RoutingSettings()
        self._members = members
        self._random = random.Random(seed)
        self._pools: dict[str, pools.ServicePool] = {}
        self._times: dict[tuple[str, str], typical_times.RouteTimes] = {}
        self._spills = call_credits.Credit(settings.spill_ratio)
        self._hedges = call_credits.Credit(HEDGE_RATIO)

    def choose(self, call: calls.Call, tried: Set[str]) -> choices.Choice:
        """Chooses an instance that is not in `tried`."""
        now_ms = clock.get_now_ms()
        pool = self._get_pool(call.service, now_ms)
        if pool.ejected and not tried:
            tested = pool.find_due_test(call.policy.idempotent, now_ms)
            if tested is not None:
                return choices.Chosen(tested.member)
        rank = levels.get_rank(call.chain)
        self._spills.earn()
        self._hedges.earn()
        near = self._draw_near(pool, rank, tried, now_ms)
        if near.best is not None and fitness.is_fit(near.best, now_ms):
            return choices.Chosen(near.best.member)
        far = self._draw_far(pool, rank, tried, near, now_ms)
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
        if pool is None or len(pool.near) + len(pool.far) < draws.CANDIDATES:
            return None
        return times.late_ms

    def choose_hedge(
        self, call: calls.Call, tried: Set[str]
    ) -> members.Member | None:
        """Chooses where a second attempt goes, within the bound on hedges.

        An instance without a free slot gets none: there a second attempt
        would wait too and take room from first ones.
        """
        if not self._hedges.has_any():
            return None
        match self.choose(call, tried):
            case choices.Chosen(member):
                pass
            case choices.NoneLeft():
                return None
        now_ms = clock.get_now_ms()
        stats = self._get_pool(call.service, now_ms).get_stats(member.instance)
        if stats is None or fitness.is_full(stats, now_ms):
            return None
        self._hedges.take()
        return member

    def track(self, call: calls.Call, instance: str) -> "Track":
        """Counts a call as in flight while the context is open.

        The record takes the outcome. Left without one, as when the caller
        is gone, the time that passed counts if it is long.
        """
        return Track(self, call, instance)

    def begin(self, call: calls.Call, instance: str) -> "Sent | None":
        """Counts a call as in flight, None at an instance unknown by now."""
        now_ms = clock.get_now_ms()
        pool = self._get_pool(call.service, now_ms)
        stats = pool.get_stats(instance)
        if stats is None:
            return None
        times = self._times.get((call.service, call.policy.route))
        typical_ms = times.median_ms if times and times.is_known else 0.0
        handle = stats.begin(instances.Flight(now_ms, typical_ms))
        rank = levels.get_rank(call.chain)
        defies = stats.get_refusing_report(rank, now_ms) is not None
        record = flights.Record(defies)
        return Sent(pool, stats, handle, record, now_ms)

    def end(self, call: calls.Call, sent: "Sent") -> None:
        """Ends a flight and learns from its record."""
        sent.stats.end(sent.handle)
        self._learn(call, sent.pool, sent.stats, sent.record, sent.started_ms)

    def describe(self, call: calls.Call, instance: str) -> choices.Place:
        """Returns what is known of an instance, for the log."""
        now_ms = clock.get_now_ms()
        stats = self._get_pool(call.service, now_ms).get_stats(instance)
        if stats is None:
            return choices.Place(instance, "", 0.0, 1.0, None)
        age_ms = stats.get_report_age_ms(now_ms)
        return choices.Place(
            instance,
            stats.member.data_centre,
            round(stats.get_load_ratio(now_ms), 2),
            round(stats.get_slowness_ratio(now_ms), 2),
            None if age_ms is None else round(age_ms, 1),
        )

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

    def _draw_near(
        self,
        pool: pools.ServicePool,
        rank: int,
        tried: Set[str],
        now_ms: float,
    ) -> draws.Draw:
        drawn = draws.draw(pool.near, rank, tried, now_ms, self._random)
        if drawn.best is not None and not fitness.is_full(drawn.best, now_ms):
            return drawn
        if not pool.return_slow(now_ms):
            return drawn
        return draws.draw(pool.near, rank, tried, now_ms, self._random)

    def _draw_far(
        self,
        pool: pools.ServicePool,
        rank: int,
        tried: Set[str],
        near: draws.Draw,
        now_ms: float,
    ) -> instances.InstanceStats | None:
        """Returns an instance elsewhere that is worth the way, if any."""
        if not pool.far:
            return None
        drawn = draws.draw(pool.far, rank, tried, now_ms, self._random).best
        if drawn is None or (near.best is None and near.refusing is None):
            return drawn
        if near.best is not None and not fitness.gains(
            near.best, drawn, now_ms
        ):
            return None
        if rank >= levels.MIN_CRITICAL_RANK:
            return drawn
        return drawn if self._spills.take() else None

    def _refuse_early(
        self,
        refusing: instances.InstanceStats,
        report: load_reports.LoadReport,
    ) -> choices.Choice:
        if self._random.random() < PROBE_RATIO:
            return choices.Chosen(refusing.member)
        return choices.NoneLeft(
            refusals.Overloaded(
                levels.get_min_admitted_rank(report),
                report.limit,
                RETRY_AFTER_MS,
            )
        )

    def _choose_last(
        self, pool: pools.ServicePool, call: calls.Call, tried: Set[str]
    ) -> choices.Choice:
        for found in (pool.ejected, pool.suspected):
            stats = draws.find_untried(found, tried)
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
        if outcome is not None:
            _take_report(call, stats, outcome, record.defies, now_ms)
        if not stats.counts(started_ms):
            return
        match flights.judge(outcome, call.chain.get_remaining_ms()):
            case flights.Answered():
                stats.failures = 0
                stats.record_ending(is_failure=False, now_ms=now_ms)
                self._record_time(call, stats, latency_ms, now_ms)
            case flights.Broken():
                stats.failures += 1
                stats.record_ending(is_failure=True, now_ms=now_ms)
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
        if waited_ms > times.late_ms:
            stats.record_overdue(waited_ms / times.median_ms, now_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A call in flight: where it is counted, and what it will tell."""

    pool: pools.ServicePool
    stats: instances.InstanceStats
    handle: int
    record: flights.Record
    started_ms: float


class Track:
    """Counts a call as in flight while its context is open."""

    def __init__(
        self, chooser: InstanceChooser, call: calls.Call, instance: str
    ) -> None:
        self._chooser = chooser
        self._call = call
        self._instance = instance
        self._sent: Sent | None = None

    def __enter__(self) -> flights.Record:
        """Begins to count; returns the record that takes the outcome."""
        self._sent = self._chooser.begin(self._call, self._instance)
        return flights.Record() if self._sent is None else self._sent.record

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Ends the flight."""
        self.close()

    def close(self) -> None:
        """Learns from the record, as far as there is an outcome."""
        if self._sent is not None:
            self._chooser.end(self._call, self._sent)


def _take_report(
    call: calls.Call,
    stats: instances.InstanceStats,
    outcome: outcomes.Outcome,
    defies: bool,
    now_ms: float,
) -> None:
    """Takes a report as far as the outcome that it came with bears it out.

    An instance that refuses a call which its told level admits is full,
    whatever it says. One that runs a call which its told level refuses is not
    believed about the level until it does refuse one.
    """
    report = outcome.report
    if report is None:
        return
    match outcome:
        case outcomes.NotRun(refusals.Overloaded() | refusals.QueueTimeout()):
            stats.trust_level()
            if levels.get_rank(call.chain) < levels.get_min_admitted_rank(
                report
            ):
                stats.record_report(report, now_ms)
                return
            load = max(report.in_progress, report.limit)
            full = dataclasses.replace(report, in_progress=load)
            stats.record_report(full, now_ms)
        case outcomes.NotRun():
            stats.record_report(report, now_ms)
        case _:
            if defies:
                stats.doubt_level()
            stats.record_report(report, now_ms, has_ended=True)
