"""Puts the daemon together on the platform, and runs it until SIGTERM."""

import asyncio
import contextlib
import random
import signal
import sys
import time
import types
from typing import Self

from kumquatridge.admission import gates
from kumquatridge.admission import guard as admission_guard
from kumquatridge.admission import settings as admission_settings
from kumquatridge.callpath import inbound
from kumquatridge.callpath import outbound
from kumquatridge.callpath import routed_intake
from kumquatridge.chain import ledger as chain_ledger
from kumquatridge.chain import ratio as retry_ratio
from kumquatridge.daemon import garbage
from kumquatridge.membership import bootstrap
from kumquatridge.membership import gossip as membership_gossip
from kumquatridge.membership import member as members
from kumquatridge.membership import member_source
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import table
from kumquatridge.membership import topics as gossip_topics
from kumquatridge.peers import http_link
from kumquatridge.peers import member_codec
from kumquatridge.peers import topic_codec
from kumquatridge.platform import announcements
from kumquatridge.platform import callers
from kumquatridge.platform import client
from kumquatridge.platform import configuration
from kumquatridge.platform import contact_repository
from kumquatridge.platform import metrics_endpoint
from kumquatridge.platform import peers
from kumquatridge.platform import readiness
from kumquatridge.platform import settings_file
from kumquatridge.platform import worker_link
from kumquatridge.quarantine import crash_source
from kumquatridge.quarantine import register as crash_register
from kumquatridge.routing import chooser as routing
from kumquatridge.settings import route_store
from kumquatridge.settings import route_watch
from kumquatridge.settings import routes
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import events
from kumquatridge.telemetry import log_sink
from kumquatridge.telemetry import request_log
from kumquatridge.transport import frame_listener
from kumquatridge.transport import frame_pool
from kumquatridge.transport import listener
from kumquatridge.transport import pool
from kumquatridge.workers import own_worker
from kumquatridge.workers import supervisor as worker_supervisor

SEED_BITS = 64
EXPORTER_MODULE = "kumquatridge.daemon.site_metrics"
# First contact on the platform: the machines start within 0.3 s of each
# other, and an outage of the store may not cost more than 2 s after its end.
BOOTSTRAP = bootstrap.BootstrapSettings(
    spread_ms=200, interval_ms=700, retry_max_ms=1400
)
# A daemon that is restarted while the store is away knows nobody; the others
# find it again within this time.
GOSSIP = gossip_settings.GossipSettings(dead_retry_ms=1500)
# Requests go on arriving for about two seconds after readiness has failed;
# the rest of the time before SIGKILL is for those in progress, but for what it
# takes a slow machine to close everything. Within the last second before
# SIGKILL nobody counts on an answer.
CLOSE_IDLE_AFTER_MS = 2500.0
KILL_MARGIN_MS = 900.0
# Part of that time in which requests are still taken: the rest must suffice
# for those that were, and whoever comes later is told that nothing ran.
TAKING_RATIO = 0.5
CHECK_S = 0.05
CALL_TIMEOUT_MS = 1200
# Hedges would spend the retries of the whole system on calls that are merely
# late; a full or leaving instance costs a hop, not a retry.
OUTBOUND = outbound.OutboundSettings(hedges=False, free_refusals=3, lends=False)
# Callers come back by themselves, so that an early refusal is worth more to
# them than a late one.
ADMISSION = admission_settings.AdmissionSettings(refuses_hopeless=True)
# The data centres of a region are a millisecond apart: a call that finds a
# better instance in another one always goes there.
ROUTING = routing.RoutingSettings(spill_ratio=1.0)
# Part of the permitted retries that daemons use, so that those which a repeat
# causes further down, and requests counted late, still fit.
RETRY_PART = 0.5


class SiteDaemon:
    """One daemon on the platform, serving while its context is open."""

    def __init__(self, settings: settings_file.SiteSettings) -> None:
        self._settings = settings
        self._members = table.MemberTable(
            _make_own_member(settings), settings.data_centres
        )
        self._guard = admission_guard.AdmissionGuard(0, ADMISSION)
        self._gate = gates.GateControl(gates.GateSettings())
        self._board = gates.GateBoard(gates.GateSettings())
        self._ledger = chain_ledger.Ledger()
        self._store = route_store.RouteStore()
        self._recorder = request_log.RequestLog(
            decisions.DecisionLog(), lambda: self._store.version
        )
        self._worker = own_worker.OwnWorker(
            settings.service, settings.worker_address
        )
        self._connections = pool.ConnectionPool()
        self._peer_connections = frame_pool.FramePool()
        self._supervisor = worker_supervisor.WorkerSupervisor(
            self._worker,
            self._members,
            self._guard,
            worker_link.SiteHealthCheck(self._connections, self._store),
            self._announce,
        )
        self._gossip = membership_gossip.Gossip(
            GOSSIP,
            self._members,
            http_link.HttpControlLink(
                self._connections, membership_recorder.NoRecorder()
            ),
            membership_recorder.NoRecorder(),
            random.getrandbits(SEED_BITS),
        )
        self._client = client.PlatformClient(
            client.ClientSettings(
                settings.store_address, call_timeout_ms=CALL_TIMEOUT_MS
            )
        )
        self._crashes = crash_register.CrashRegister(
            crash_register.QuarantineSettings(),
            settings.instance,
            self._announce,
        )
        self._listeners: list[
            listener.HttpListener | frame_listener.FrameListener
        ] = []
        self._is_stopping = False
        self._takes_requests = True
        self._stack = contextlib.AsyncExitStack()
        self._enter = self._stack.enter_async_context

    async def __aenter__(self) -> Self:
        """Opens the connections and listeners.

        Raises:
          KumquatridgeError: an address can't be listened at.
        """
        try:
            await self._open()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def _open(self) -> None:
        await self._enter(self._connections)
        await self._enter(self._peer_connections)
        await self._enter(self._client)
        await self._open_control()
        await self._open_paths()
        await self._enter(self._supervisor)
        events.log(
            events.DaemonStarted(
                self._settings.instance,
                self._settings.data_centre,
                self._settings.caller_address,
            )
        )

    async def _open_control(self) -> None:
        settings = self._settings
        self._gossip.add_topic(
            topic_codec.EncodedTopic(
                gossip_topics.MEMBERS,
                member_source.MemberSource(
                    self._members, self._gossip.learn_pulled
                ),
                member_codec.encode_member,
                member_codec.decode_member,
            )
        )
        self._gossip.add_topic(
            topic_codec.make_topic(
                gossip_topics.ROUTES, self._store, routes.RouteTable
            )
        )
        self._gossip.add_topic(
            topic_codec.make_topic(
                gossip_topics.CRASHES,
                crash_source.CrashSource(self._crashes),
                crash_register.CrashEntry,
            )
        )
        self._store.subscribe(self._take_routes)
        scraped = metrics_endpoint.MetricsEndpoint(
            lambda: metrics_endpoint.load_exporter(
                EXPORTER_MODULE,
                self._recorder,
                self._guard,
                self._members,
                self._gate,
            )
        )
        await self._listen(settings.metrics_address, scraped.handle)
        endpoint = http_link.ControlEndpoint(self._gossip)
        await self._listen(settings.control_address, endpoint.handle)
        await self._listen(
            settings.readiness_address,
            readiness.ReadinessEndpoint(self._is_ready).handle,
        )
        await self._enter(self._gossip)
        await self._enter(self._make_bootstrap())
        await self._enter(
            route_watch.RouteWatch(
                route_watch.RouteWatchSettings(),
                configuration.ConfigurationRepository(self._client),
                self._store,
                random.getrandbits(SEED_BITS),
            )
        )

    def _make_bootstrap(self) -> bootstrap.Bootstrap:
        return bootstrap.Bootstrap(
            BOOTSTRAP,
            self._members,
            contact_repository.PlatformContacts(
                self._client, shared_key=self._settings.region
            ),
            membership_recorder.NoRecorder(),
            random.getrandbits(SEED_BITS),
            meet=self._gossip.meet,
            join_remote=lambda addresses: None,
        )

    async def _open_paths(self) -> None:
        settings = self._settings
        own = inbound.InboundPath(
            self._members,
            self._guard,
            self._ledger,
            worker_link.SiteWorkerLink(
                self._connections, self._worker, self._supervisor.lose
            ),
            self._recorder,
            crashes=self._crashes,
            gate=self._gate,
        )
        path = outbound.OutboundPath(
            self._members,
            routing.InstanceChooser(
                self._members, random.getrandbits(SEED_BITS), ROUTING
            ),
            own,
            peers.SitePeerLink(
                settings.instance, self._peer_connections, self._board
            ),
            self._recorder,
            ratios=retry_ratio.RetryRatios(
                _make_ratio(settings), self._count_daemons
            ),
            settings=OUTBOUND,
            board=self._board,
        )
        caller_endpoint = callers.CallerEndpoint(
            routed_intake.RoutedIntake(self._store, self._ledger),
            path,
            self._recorder,
            lambda: self._worker.service,
            lambda: self._takes_requests,
        )
        limits = routes.CallerLimits()
        peer_endpoint = peers.PeerEndpoint(
            own, limits.max_body_bytes, self._get_gates
        )
        announced = announcements.AnnouncementEndpoint(self._supervisor)
        self._listeners.append(
            await self._enter(
                frame_listener.FrameListener(
                    settings.call_address, peer_endpoint.handle
                )
            )
        )
        await self._listen(settings.announcement_address, announced.handle)
        self._callers = await self._listen(
            settings.caller_address, caller_endpoint.handle
        )

    async def _listen(
        self, address: str, handler: listener.Handler
    ) -> listener.HttpListener:
        opened = await self._enter(listener.HttpListener(address, handler))
        self._listeners.append(opened)
        return opened

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes listeners and connections."""
        await self._stack.aclose()
        events.log(
            events.DaemonStopped(
                self._settings.instance, self._guard.in_progress
            )
        )

    def reload(self, settings: settings_file.SiteSettings) -> None:
        """Takes what may change while the daemon runs."""
        self._settings = settings
        self._supervisor.set_place(settings.service, settings.worker_address)

    def count_instances(self) -> int:
        """Returns how many instances may take calls, 0 without routes."""
        if self._store.index is None:
            return 0
        return sum(
            one.announcement is not None and not members.is_out(one)
            for one in self._members
        )

    def _count_daemons(self) -> int:
        """Returns how many daemons share what is permitted to all."""
        return len(self._members.get_live()) + 1

    def _get_gates(self, now_ms: float) -> tuple[gates.Gate, ...]:
        """Returns the gates that are worth telling, the own one included."""
        self._put_own_gate(now_ms)
        return self._board.get_fresh(now_ms)

    def _put_own_gate(self, now_ms: float) -> None:
        if self._gate.nested_level > gates.OPEN:
            self._board.put(
                gates.Gate(
                    self._worker.service,
                    self._settings.instance,
                    self._gate.level,
                    self._gate.nested_level,
                    self._gate.get_routes(now_ms),
                    now_ms,
                )
            )

    def _is_ready(self) -> bool:
        return self._store.index is not None and not self._is_stopping

    def _announce(self) -> None:
        self._gossip.announce_now()

    def _take_routes(self, index: routes.RouteIndex) -> None:
        limits = index.table.limits
        for one in self._listeners:
            one.set_limits(
                listener.ListenerSettings(
                    limits.max_header_bytes,
                    limits.max_body_bytes,
                    limits.header_timeout_ms,
                    limits.idle_ms,
                )
            )
        self._gossip.announce_now()

    async def drain(self) -> None:
        """Stops taking part, and waits for requests in progress.

        The own worker gets nothing new, since its calls would find nobody
        here. Listeners stay open: callers learn of the stop from readiness,
        and until then every request is served, by other instances.
        """
        events.log(
            events.DrainStarted(
                self._settings.instance, self._guard.in_progress
            )
        )
        self._is_stopping = True
        self._supervisor.leave()
        self._guard.drain()
        for one in self._listeners:
            one.is_draining = True
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        last_s = started_s + (self._settings.grace_ms - KILL_MARGIN_MS) / 1000.0
        await asyncio.sleep(CLOSE_IDLE_AFTER_MS / 1000.0)
        last_taken_s = started_s + (
            self._settings.grace_ms * TAKING_RATIO / 1000.0
        )
        while loop.time() < last_s:
            self._takes_requests = loop.time() < last_taken_s
            self._callers.close_idle()
            if all(one.is_idle for one in self._listeners):
                return
            await asyncio.sleep(CHECK_S)


def _make_ratio(
    settings: settings_file.SiteSettings,
) -> retry_ratio.RatioSettings:
    return retry_ratio.RatioSettings(
        settings.retry_ratio * RETRY_PART,
        int(settings.retry_window_ms),
        int(settings.retry_floor * RETRY_PART),
    )


def _make_own_member(
    settings: settings_file.SiteSettings,
) -> members.Member:
    return members.Member(
        instance=settings.instance,
        incarnation=time.time_ns() // 1_000_000,
        data_centre=settings.data_centre,
        call_address=settings.call_address,
        control_address=settings.control_address,
        announcement=None,
    )


async def run(file: settings_file.SettingsSource) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then drains it."""
    stopping, asked = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, asked.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with (
        log_sink.LogSink(sys.stdout.buffer),
        SiteDaemon(file.settings) as daemon,
        settings_file.SettingsWatch(file, daemon.reload, asked),
    ):
        garbage.exclude_startup_objects()
        await stopping.wait()
        await daemon.drain()
