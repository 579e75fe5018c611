"""Selects an instance for each call by the power of two random choices.

The cost of a candidate is computed from the in-flight calls of this daemon,
their latencies, and the load reports that daemons add to answers. What a worker
states about its own load, such as the number of connections in its
announcement, is never used. The work for a choice does not depend on the number
of instances.

A local instance is one in the data centre of this daemon, a remote one is in
another. A call spills if it is sent to a remote instance.

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
from kumquatridge.routing import call_results
from kumquatridge.routing import choices
from kumquatridge.routing import draws
from kumquatridge.routing import instances
from kumquatridge.routing import latency_estimates
from kumquatridge.routing import pools
from kumquatridge.routing import suitability
from kumquatridge.routing import token_budget

# Sent with refusals by this daemon.
RETRY_AFTER_MS = 1000
# Of the calls that would be refused by the last load report, the fraction that
# is sent nevertheless; the answer carries a newer report.
REFUSAL_PROBE_RATIO = 1 / 16
# The default of `RoutingSettings.spill_ratio`.
SPILL_RATIO = 0.5
# Limit of hedged requests as a fraction of all selections of an instance.
MAX_HEDGE_RATIO = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """How many calls may be sent to other data centres.

    `spill_ratio` limits the calls below CRITICAL importance that are sent to
    another data centre while there is a local instance that the call has not
    tried. The limit is a fraction of all selections of an instance.
    """

    spill_ratio: float = SPILL_RATIO


class InstanceChooser:
    """Selects instances and measures them by the results of their calls."""

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
        self._latency_estimates: dict[
            tuple[str, str], latency_estimates.LatencyEstimates
        ] = {}
        self._spill_budget = token_budget.TokenBudget(settings.spill_ratio)
        self._hedge_budget = token_budget.TokenBudget(MAX_HEDGE_RATIO)

    def choose(self, call: calls.Call, tried: Set[str]) -> choices.Choice:
        """Selects an instance that is not in `tried`.

        `tried` has the names of the instances that earlier attempts of the call
        were sent to. The order is: on the first attempt an ejected instance
        whose probe is due, then a suitable local one, a remote one if it is
        clearly better or no drawn local one admits the call, any other local
        one, and last ejected and suspected ones (see `routing_states` and
        `suitability`). If the load reports of the drawn local instances refuse
        the call, and no remote one is chosen, the call is refused, in general
        without being sent (see `REFUSAL_PROBE_RATIO`).
        """
        now_ms = clock.get_now_ms()
        pool = self._get_pool(call.service, now_ms)
        if pool.ejected and not tried:
            probed = pool.find_due_probe(call.policy.idempotent, now_ms)
            if probed is not None:
                return choices.Chosen(probed.member)
        rank = levels.get_rank(call.chain)
        self._spill_budget.record_call()
        self._hedge_budget.record_call()
        local = self._draw_local(pool, rank, tried, now_ms)
        if local.best is not None and suitability.is_suitable(
            local.best, now_ms
        ):
            return choices.Chosen(local.best.member)
        remote = self._draw_remote(pool, rank, tried, local, now_ms)
        if remote is not None:
            return choices.Chosen(remote.member)
        if local.best is not None:
            return choices.Chosen(local.best.member)
        if local.refusing is not None and local.report is not None:
            return self._refuse_early(local.refusing, local.report)
        return self._choose_fallback(pool, call, tried)

    def get_hedge_delay_ms(self, call: calls.Call) -> float | None:
        """Returns the delay before a hedged request is sent, or None for never.

        The delay is the slow threshold of the route (see `latency_estimates`).
        None is returned while the latency of the route is unknown or the
        service has fewer than two regular candidates.
        """
        estimates = self._latency_estimates.get(
            (call.service, call.policy.route)
        )
        pool = self._pools.get(call.service)
        if estimates is None or not estimates.has_enough_samples:
            return None
        if (
            pool is None
            or len(pool.local) + len(pool.remote) < draws.CANDIDATE_COUNT
        ):
            return None
        return estimates.slow_threshold_ms

    def choose_hedge(
        self, call: calls.Call, tried: Set[str]
    ) -> members.Member | None:
        """Selects the instance of a hedged request, or None if none is sent.

        The budget of hedged requests is `MAX_HEDGE_RATIO` of all selections.
        An instance without a free slot receives none: the hedged request would
        be queued there too, and would take capacity from first attempts.
        """
        if not self._hedge_budget.has_token():
            return None
        match self.choose(call, tried):
            case choices.Chosen(member):
                pass
            case choices.NoneAvailable():
                return None
        now_ms = clock.get_now_ms()
        stats = self._get_pool(call.service, now_ms).get_stats(member.instance)
        if stats is None or suitability.is_full(stats, now_ms):
            return None
        self._hedge_budget.try_acquire()
        return member

    def track(self, call: calls.Call, instance: str) -> "CallTracker":
        """Counts a call as in flight while the context is open.

        Entering the context returns a record, whose `finish` stores the
        outcome. Without an outcome, for example after the caller disconnected,
        the elapsed time is recorded if it exceeds the slow threshold of the
        route.
        """
        return CallTracker(self, call, instance)

    def begin_call(
        self, call: calls.Call, instance: str
    ) -> "TrackedCall | None":
        """Counts a call as in flight and returns it for `end_call`.

        Returns None if the instance is unknown.
        """
        now_ms = clock.get_now_ms()
        pool = self._get_pool(call.service, now_ms)
        stats = pool.get_stats(instance)
        if stats is None:
            return None
        estimates = self._latency_estimates.get(
            (call.service, call.policy.route)
        )
        typical_ms = (
            estimates.median_ms
            if estimates and estimates.has_enough_samples
            else 0.0
        )
        handle = stats.begin_call(instances.InFlightCall(now_ms, typical_ms))
        rank = levels.get_rank(call.chain)
        was_refusal_expected = (
            stats.get_refusing_report(rank, now_ms) is not None
        )
        record = call_results.CallRecord(was_refusal_expected)
        return TrackedCall(pool, stats, handle, record, now_ms)

    def end_call(self, call: calls.Call, tracked: "TrackedCall") -> None:
        """Ends an in-flight call and records its result."""
        tracked.stats.end_call(tracked.handle)
        self._record_result(
            call,
            tracked.pool,
            tracked.stats,
            tracked.record,
            tracked.started_ms,
        )

    def describe(
        self, call: calls.Call, instance: str
    ) -> choices.InstanceSnapshot:
        """Returns the measured state of an instance, for the log."""
        now_ms = clock.get_now_ms()
        stats = self._get_pool(call.service, now_ms).get_stats(instance)
        if stats is None:
            return choices.InstanceSnapshot(instance, "", 0.0, 1.0, None)
        age_ms = stats.get_report_age_ms(now_ms)
        return choices.InstanceSnapshot(
            instance,
            stats.member.data_centre,
            round(stats.get_load_ratio(now_ms), 2),
            round(stats.get_slowness_ratio(now_ms), 2),
            None if age_ms is None else round(age_ms, 1),
        )

    def _get_pool(self, service: str, now_ms: float) -> pools.ServicePool:
        local_members = self._members.get_instances(service)
        remote_members = self._members.get_remote(service)
        pool = self._pools.get(service)
        if pool is None:
            pool = pools.ServicePool(self._members.own.data_centre)
            self._pools[service] = pool
        if not pool.is_built_from(local_members, remote_members):
            pool.update(local_members, remote_members, now_ms)
        return pool

    def _draw_local(
        self,
        pool: pools.ServicePool,
        rank: int,
        tried: Set[str],
        now_ms: float,
    ) -> draws.Draw:
        """Draws local instances.

        If the best one has no free slot, or none was drawn, instances that were
        ejected for being slow are readmitted if that is allowed (see
        `ServicePool.readmit_slow`), and the instances are drawn again.
        """
        drawn = draws.draw(pool.local, rank, tried, now_ms, self._random)
        if drawn.best is not None and not suitability.is_full(
            drawn.best, now_ms
        ):
            return drawn
        if not pool.readmit_slow(now_ms):
            return drawn
        return draws.draw(pool.local, rank, tried, now_ms, self._random)

    def _draw_remote(
        self,
        pool: pools.ServicePool,
        rank: int,
        tried: Set[str],
        local: draws.Draw,
        now_ms: float,
    ) -> instances.InstanceStats | None:
        """Returns a remote instance if the call should spill, else None."""
        if not pool.remote:
            return None
        drawn = draws.draw(pool.remote, rank, tried, now_ms, self._random).best
        if drawn is None or (local.best is None and local.refusing is None):
            return drawn
        if local.best is not None and not suitability.should_spill(
            local.best, drawn, now_ms
        ):
            return None
        if rank >= levels.MIN_CRITICAL_RANK:
            return drawn
        return drawn if self._spill_budget.try_acquire() else None

    def _refuse_early(
        self,
        refusing: instances.InstanceStats,
        report: load_reports.LoadReport,
    ) -> choices.Choice:
        """Refuses a call on behalf of an instance, by its last load report.

        A few calls are sent to the instance nevertheless, to get a newer load
        report (see `REFUSAL_PROBE_RATIO`).
        """
        if self._random.random() < REFUSAL_PROBE_RATIO:
            return choices.Chosen(refusing.member)
        return choices.NoneAvailable(
            refusals.Overloaded(
                levels.get_min_admitted_rank(report),
                report.limit,
                RETRY_AFTER_MS,
            )
        )

    def _choose_fallback(
        self, pool: pools.ServicePool, call: calls.Call, tried: Set[str]
    ) -> choices.Choice:
        """Selects an ejected or else a suspected instance, if there is one."""
        for candidates in (pool.ejected, pool.suspected):
            stats = draws.find_untried(candidates, tried)
            if stats is not None:
                return choices.Chosen(stats.member)
        return choices.NoneAvailable(
            refusals.NoInstance(call.service, RETRY_AFTER_MS)
        )

    def _record_result(
        self,
        call: calls.Call,
        pool: pools.ServicePool,
        stats: instances.InstanceStats,
        record: call_results.CallRecord,
        started_ms: float,
    ) -> None:
        now_ms = clock.get_now_ms()
        latency_ms = (record.ended_ms or now_ms) - started_ms
        outcome = record.outcome
        if outcome is not None:
            _record_report(
                call, stats, outcome, record.was_refusal_expected, now_ms
            )
        # A call sent before the statistics were reset says nothing about the
        # state of the instance after that.
        if not stats.has_started_since_reset(started_ms):
            return
        match call_results.classify(outcome, call.chain.get_remaining_ms()):
            case call_results.Answered():
                stats.consecutive_failures = 0
                stats.record_result(is_failure=False, now_ms=now_ms)
                self._record_latency(call, stats, latency_ms, now_ms)
            case call_results.Failed():
                stats.consecutive_failures += 1
                stats.record_result(is_failure=True, now_ms=now_ms)
            case call_results.Abandoned():
                self._record_abandoned(call, stats, latency_ms, now_ms)
            case call_results.Drained():
                pool.mark_drained(stats, now_ms)
                return
            case call_results.Rejected():
                return
        pool.evaluate(stats, now_ms)

    def _record_latency(
        self,
        call: calls.Call,
        stats: instances.InstanceStats,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        key = (call.service, call.policy.route)
        estimates = self._latency_estimates.get(key)
        if estimates is None:
            self._latency_estimates[key] = latency_estimates.LatencyEstimates(
                latency_ms
            )
            return
        estimates.record(latency_ms)
        if estimates.has_enough_samples and estimates.median_ms > 0.0:
            stats.record_latency_ratio(latency_ms / estimates.median_ms, now_ms)

    def _record_abandoned(
        self,
        call: calls.Call,
        stats: instances.InstanceStats,
        waited_ms: float,
        now_ms: float,
    ) -> None:
        """Records a call without an answer if it exceeds the slow threshold.

        `waited_ms` is the time from its start until it was abandoned.
        """
        estimates = self._latency_estimates.get(
            (call.service, call.policy.route)
        )
        if (
            estimates is None
            or not estimates.has_enough_samples
            or estimates.median_ms == 0.0
        ):
            return
        if waited_ms > estimates.slow_threshold_ms:
            stats.record_overdue(waited_ms / estimates.median_ms, now_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class TrackedCall:
    """An in-flight call with the statistics that it is counted in.

    `handle` identifies the call in `stats`, and `record` receives its outcome.
    `started_ms` is on the clock of this process.
    """

    pool: pools.ServicePool
    stats: instances.InstanceStats
    handle: int
    record: call_results.CallRecord
    started_ms: float


class CallTracker:
    """Counts a call as in flight while its context is open."""

    def __init__(
        self, chooser: InstanceChooser, call: calls.Call, instance: str
    ) -> None:
        self._chooser = chooser
        self._call = call
        self._instance = instance
        self._tracked: TrackedCall | None = None

    def __enter__(self) -> call_results.CallRecord:
        """Starts counting the call; returns the record for its outcome."""
        self._tracked = self._chooser.begin_call(self._call, self._instance)
        return (
            call_results.CallRecord()
            if self._tracked is None
            else self._tracked.record
        )

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Ends the in-flight call."""
        self.close()

    def close(self) -> None:
        """Ends the in-flight call and records its result.

        Does nothing if the instance was unknown when the call started.
        """
        if self._tracked is not None:
            self._chooser.end_call(self._call, self._tracked)


def _record_report(
    call: calls.Call,
    stats: instances.InstanceStats,
    outcome: outcomes.Outcome,
    was_refusal_expected: bool,
    now_ms: float,
) -> None:
    """Records the load report of an outcome, corrected if that contradicts it.

    An instance counts as full if it refuses a call that its reported admission
    level admits. If it runs a call that its level refuses, the level is ignored
    until the instance refuses a call.
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
            call_count = max(report.in_progress, report.limit)
            full_report = dataclasses.replace(report, in_progress=call_count)
            stats.record_report(full_report, now_ms)
        case outcomes.NotRun():
            stats.record_report(report, now_ms)
        case _:
            if was_refusal_expected:
                stats.distrust_level()
            stats.record_report(report, now_ms, has_ended=True)
