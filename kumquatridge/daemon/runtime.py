"""Puts a daemon together and runs it until it is asked to stop."""

import asyncio
import contextlib
import random
import signal
import time
import types
from typing import Self

from kumquatridge.admission import guard as admission_guard
from kumquatridge.callpath import inbound
from kumquatridge.callpath import intake as call_intake
from kumquatridge.callpath import keyed
from kumquatridge.callpath import outbound
from kumquatridge.chain import ledger as chain_ledger
from kumquatridge.chain import ratio as retry_ratio
from kumquatridge.daemon import garbage
from kumquatridge.daemon import home_parts
from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.daemon import settings_plane
from kumquatridge.http import call_credential
from kumquatridge.http import caller_server
from kumquatridge.http import client
from kumquatridge.http import peer_client
from kumquatridge.http import peer_server
from kumquatridge.http import server
from kumquatridge.http import service_news
from kumquatridge.http import worker_client
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.operators import app as operators_app
from kumquatridge.operators import server as operators_server
from kumquatridge.operators import worker_registry
from kumquatridge.peers import control
from kumquatridge.peers import metrics as peer_metrics
from kumquatridge.platform import contact_repository
from kumquatridge.quarantine import register as crash_register
from kumquatridge.routing import chooser as routing
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import events
from kumquatridge.telemetry import gauges
from kumquatridge.telemetry import metrics


class Daemon:
    """One daemon, serving while its context is open."""

    def __init__(self, settings: daemon_settings.DaemonSettings) -> None:
        self._settings = settings
        self._members = table.MemberTable(_make_own_member(settings))
        self._guard = admission_guard.AdmissionGuard(slots=0)
        self._ledger = chain_ledger.Ledger()
        self._plane = settings_plane.SettingsPlane(settings, self._members)
        self._decisions = decisions.DecisionLog()
        self._recorder = metrics.MetricRecorder(self._decisions)
        self._intake = call_intake.Intake(
            self._plane.store.policies, self._ledger, self._recorder
        )
        self._plane.attach(self._intake)
        self._homes = home_parts.HomeParts(settings, self._members)
        self._news: service_news.ServiceNewsExchange | None = None
        self._peers: control.ControlPlane | None = None
        self._stack = contextlib.AsyncExitStack()
        self._registry: worker_registry.WorkerRegistry | None = None

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
        settings = self._settings
        enter = self._stack.enter_async_context
        recorder = self._recorder
        exporter = self._stack.enter_context(metrics.MetricExporter(recorder))
        self._add_gauges(exporter)
        self._plane.add_metrics(exporter)
        control_counts = peer_metrics.ControlCounts()
        control_counts.expose(exporter)
        session = await enter(client.make_session())
        credential = call_credential.CallCredential(
            settings.peer_key, settings.previous_peer_keys
        )
        crashes = crash_register.CrashRegister(
            crash_register.QuarantineSettings(),
            settings.instance,
            self._announce_news,
        )
        news = await enter(
            service_news.ServiceNewsExchange(
                self._members,
                self._homes.roster,
                self._homes.exchange,
                crashes,
                session,
                credential=credential,
                seeds=settings.seeds,
            )
        )
        self._news = news
        own_path = inbound.InboundPath(
            self._members,
            self._guard,
            self._ledger,
            worker_client.HttpWorkerLink(session),
            recorder,
            crashes=crashes,
        )
        peer_link = peer_client.HttpPeerLink(session, credential)
        path = outbound.OutboundPath(
            self._members,
            routing.InstanceChooser(self._members, random.getrandbits(64)),
            own_path,
            peer_link,
            recorder,
            ratio=retry_ratio.RetryRatio(retry_ratio.RatioSettings()),
        )
        await enter(self._homes.stalls)
        keyed_path = await enter(
            keyed.KeyedPath(
                self._members,
                own_path,
                path,
                peer_link,
                recorder,
                home_finder=self._homes.finder,
                memory=self._homes.memory,
            )
        )
        peers = await enter(
            control.ControlPlane(settings, self._members, control_counts)
        )
        self._plane.spread(peers.gossip)
        await enter(self._plane)
        if self._plane.client is not None:
            contacts = contact_repository.PlatformContacts(self._plane.client)
            await enter(peers.make_bootstrap(contacts))
        self._registry = await enter(
            worker_registry.WorkerRegistry(
                self._members, self._guard, self._announce_member
            )
        )
        self._peers = peers
        peer_handler = peer_server.PeerHandler(
            self._intake,
            own_path,
            credential,
            recorder,
            home=keyed_path,
            news=news,
        )
        await enter(
            server.HttpServer(settings.call_address, peer_handler.handle)
        )
        caller_handler = caller_server.CallerHandler(
            self._intake, keyed_path, recorder, self._homes.issuer
        )
        await enter(
            server.HttpServer(settings.caller_address, caller_handler.handle)
        )
        await enter(
            operators_server.OperatorServer(
                settings.operator_address,
                operators_app.make_app(
                    operators_app.OperatorState(
                        self._registry,
                        self._guard,
                        self._members,
                        self._decisions,
                        exporter,
                        self._plane.store,
                        news,
                    )
                ),
            )
        )
        events.log(
            events.DaemonStarted(
                settings.instance,
                settings.data_centre,
                settings.caller_address,
            )
        )

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

    def _announce_member(self) -> None:
        """Tells what changed about the own member."""
        if self._peers is not None:
            self._peers.gossip.announce_now()
        self._announce_news()

    def _announce_news(self) -> None:
        """Tells the service's daemons what changed about homes or crashes."""
        if self._news is not None:
            self._news.announce()

    def _add_gauges(self, exporter: metrics.MetricExporter) -> None:
        guard = self._guard
        exporter.add_gauge(gauges.IN_PROGRESS, lambda: guard.in_progress)
        exporter.add_gauge(gauges.QUEUED, lambda: guard.queued)
        exporter.add_gauge(gauges.LIMIT, lambda: guard.limit)
        exporter.add_gauge(
            gauges.OVERLOADED, lambda: guard.snapshot.is_overloaded
        )
        exporter.add_gauge(
            gauges.ADMITTED_IMPORTANCE,
            lambda: guard.snapshot.level.importance,
        )
        exporter.add_gauge(
            gauges.WORKER_LATENCY_MS, lambda: guard.snapshot.latency_ms
        )
        exporter.add_gauge(
            gauges.MEMBERS, lambda: sum(1 for _ in self._members)
        )

    async def drain(self) -> None:
        """Says that the instance leaves and waits for calls in progress."""
        events.log(
            events.DrainStarted(
                self._settings.instance, self._guard.in_progress
            )
        )
        assert self._registry is not None
        self._registry.leave()
        await asyncio.sleep(self._settings.drain_ms / 1000.0)
        self._guard.drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.stop_timeout_ms / 1000.0):
                await self._guard.wait_until_idle()


def _make_own_member(
    settings: daemon_settings.DaemonSettings,
) -> members.Member:
    return members.Member(
        instance=settings.instance,
        incarnation=time.time_ns() // 1_000_000,
        data_centre=settings.data_centre,
        call_address=settings.call_address,
        control_address=settings.control_address,
        announcement=None,
    )


async def run(settings: daemon_settings.DaemonSettings) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then drains it."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with Daemon(settings) as daemon:
        garbage.exclude_startup_objects()
        await stopping.wait()
        await daemon.drain()
