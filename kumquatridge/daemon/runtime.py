"""Assembles a daemon and runs it until SIGTERM or SIGINT."""

import asyncio
import contextlib
import dataclasses
import random
import signal
import time
import types
from typing import Self

import aiohttp

from kumquatridge.admission import controller as admission_controller
from kumquatridge.admission import gates
from kumquatridge.callpath import at_most_once
from kumquatridge.callpath import call_builder
from kumquatridge.callpath import inbound
from kumquatridge.callpath import outbound
from kumquatridge.callpath import service_exchange
from kumquatridge.chain import inbound_calls
from kumquatridge.chain import retry_budget
from kumquatridge.daemon import daemon_gauges
from kumquatridge.daemon import garbage_collection
from kumquatridge.daemon import home_components
from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.daemon import settings_plane
from kumquatridge.http import call_credential
from kumquatridge.http import caller_server
from kumquatridge.http import client
from kumquatridge.http import peer_client
from kumquatridge.http import peer_server
from kumquatridge.http import server
from kumquatridge.http import service_link
from kumquatridge.http import worker_client
from kumquatridge.membership import bootstrap
from kumquatridge.membership import first_contact
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.operators import app as operators_app
from kumquatridge.operators import server as operators_server
from kumquatridge.operators import worker_registry
from kumquatridge.peers import control
from kumquatridge.peers import metrics as peer_metrics
from kumquatridge.platform import contact_repository
from kumquatridge.quarantine import crash_registry
from kumquatridge.routing import chooser as routing
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import events
from kumquatridge.telemetry import metric_recorder
from kumquatridge.telemetry import metric_specs
from kumquatridge.telemetry import metrics


@dataclasses.dataclass(frozen=True, slots=True)
class _CallPaths:
    """The paths that serve calls, and the exchange of key homes and crashes.

    The daemons of a service exchange them; see `callpath.service_exchange`.
    """

    inbound_path: inbound.InboundPath
    at_most_once_path: at_most_once.AtMostOncePath
    exchange: service_exchange.ServiceExchange


class Daemon:
    """One daemon, serving while its context is open."""

    def __init__(self, settings: daemon_settings.DaemonSettings) -> None:
        self._settings = settings
        self._members = table.MemberTable(_make_own_member(settings))
        # The slots are set when the worker announces itself.
        self._controller = admission_controller.AdmissionController(slots=0)
        self._gate = gates.GateController(gates.GateSettings())
        self._inbound_registry = inbound_calls.InboundCallRegistry()
        self._settings_plane = settings_plane.SettingsPlane(
            settings, self._members
        )
        self._decisions = decisions.DecisionLog()
        self._recorder = metric_recorder.MetricRecorder(self._decisions)
        self._builder = call_builder.CallBuilder(
            self._settings_plane.store.policies,
            self._inbound_registry,
            self._recorder,
        )
        self._settings_plane.attach(self._builder)
        self._homes = home_components.HomeComponents(settings, self._members)
        self._service_exchange: service_exchange.ServiceExchange | None = None
        self._control_plane: control.ControlPlane | None = None
        self._bootstrap: bootstrap.Bootstrap | None = None
        self._control_counts = peer_metrics.ControlCounts()
        self._credential = call_credential.CallCredential(
            settings.peer_key, settings.previous_peer_keys
        )
        self._stack = contextlib.AsyncExitStack()
        self._enter = self._stack.enter_async_context
        self._worker_registry: worker_registry.WorkerRegistry | None = None

    async def __aenter__(self) -> Self:
        """Opens the connections and listeners.

        Raises:
          KumquatridgeError: the daemon can't listen on one of its addresses.
        """
        try:
            await self._open()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def _open(self) -> None:
        exporter = self._open_telemetry()
        paths = await self._open_call_paths()
        await self._open_control()
        self._worker_registry = await self._enter(
            worker_registry.WorkerRegistry(
                self._members, self._controller, self._publish_own_member
            )
        )
        await self._open_call_listeners(paths)
        await self._open_operators(
            self._worker_registry, paths.exchange, exporter
        )
        events.log(
            events.DaemonStarted(
                self._settings.instance,
                self._settings.data_centre,
                self._settings.caller_address,
            )
        )

    def _open_telemetry(self) -> metrics.MetricExporter:
        exporter = self._stack.enter_context(
            metrics.MetricExporter(self._recorder)
        )
        daemon_gauges.add_gauges(
            exporter,
            self._controller,
            self._members,
            self._settings_plane.instance_table,
        )
        exporter.add_gauge(metric_specs.GATE_LEVEL, lambda: self._gate.level)
        self._settings_plane.add_metrics(exporter)
        self._control_counts.expose(exporter)
        return exporter

    async def _open_call_paths(self) -> _CallPaths:
        session = await self._enter(client.make_session())
        crashes = crash_registry.CrashRegistry(
            crash_registry.QuarantineSettings(),
            self._settings.instance,
            self._notify_service_daemons,
        )
        inbound_path = inbound.InboundPath(
            self._members,
            self._controller,
            self._inbound_registry,
            worker_client.HttpWorkerLink(session),
            self._recorder,
            crashes=crashes,
            gate=self._gate,
        )
        exchange = await self._open_exchange(session, crashes)
        self._service_exchange = exchange
        at_most_once_path = await self._open_at_most_once_path(
            session, inbound_path
        )
        return _CallPaths(inbound_path, at_most_once_path, exchange)

    async def _open_exchange(
        self,
        session: aiohttp.ClientSession,
        crashes: crash_registry.CrashRegistry,
    ) -> service_exchange.ServiceExchange:
        return await self._enter(
            service_exchange.ServiceExchange(
                self._members,
                self._homes.home_registry,
                self._homes.home_exchange,
                crashes,
                service_link.HttpServiceLink(session, self._credential),
                get_first_contacts=self._get_first_contacts,
            )
        )

    def _get_first_contacts(self) -> first_contact.FirstContacts:
        """Returns the daemons that this one has to contact after its start.

        They are the seeds, or the contacts that bootstrap got from the platform
        if there are no seeds but a platform.
        """
        seeds = self._settings.seeds
        if seeds or self._settings.platform_address is None:
            return first_contact.Seeds(frozenset(seeds))
        if self._bootstrap is None:
            return first_contact.PlatformContacts(None)
        return first_contact.PlatformContacts(self._bootstrap.contacts)

    async def _open_at_most_once_path(
        self, session: aiohttp.ClientSession, inbound_path: inbound.InboundPath
    ) -> at_most_once.AtMostOncePath:
        peer_link = peer_client.HttpPeerLink(session, self._credential)
        outbound_path = outbound.OutboundPath(
            self._members,
            routing.InstanceChooser(self._members, random.getrandbits(64)),
            inbound_path,
            peer_link,
            self._recorder,
            retry_budgets=retry_budget.RetryBudgets(
                retry_budget.RetryBudgetSettings()
            ),
        )
        await self._enter(self._homes.stalls)
        return await self._enter(
            at_most_once.AtMostOncePath(
                self._members,
                inbound_path,
                outbound_path,
                peer_link,
                self._recorder,
                resolver=self._homes.resolver,
                key_table=self._homes.key_table,
            )
        )

    async def _open_control(self) -> None:
        control_plane = await self._enter(
            control.ControlPlane(
                self._settings, self._members, self._control_counts
            )
        )
        self._settings_plane.add_topics(
            control_plane.gossip, control_plane.remote
        )
        await self._enter(self._settings_plane)
        if self._settings_plane.platform is not None:
            contacts = contact_repository.PlatformContactRepository(
                self._settings_plane.platform
            )
            started_bootstrap = await self._enter(
                control_plane.make_bootstrap(contacts)
            )
            self._settings_plane.set_bootstrap_check(
                lambda: started_bootstrap.has_completed_round
            )
            self._bootstrap = started_bootstrap
        self._control_plane = control_plane

    async def _open_call_listeners(self, paths: _CallPaths) -> None:
        peer_handler = peer_server.PeerHandler(
            self._builder,
            paths.inbound_path,
            self._credential,
            self._recorder,
            home=paths.at_most_once_path,
            exchange=paths.exchange,
        )
        caller_handler = caller_server.CallerHandler(
            self._builder,
            paths.at_most_once_path,
            self._recorder,
            self._homes.issuer,
        )
        settings = self._settings
        await self._enter(
            server.HttpServer(settings.call_address, peer_handler.handle)
        )
        await self._enter(
            server.HttpServer(settings.caller_address, caller_handler.handle)
        )

    async def _open_operators(
        self,
        registry: worker_registry.WorkerRegistry,
        exchange: service_exchange.ServiceExchange,
        exporter: metrics.MetricExporter,
    ) -> None:
        state = operators_app.OperatorState(
            registry,
            self._controller,
            self._members,
            self._decisions,
            exporter,
            self._settings_plane.store,
            exchange,
            self._settings_plane.instance_table,
        )
        await self._enter(
            operators_server.OperatorServer(
                self._settings.operator_address, operators_app.make_app(state)
            )
        )

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes the listeners and connections."""
        await self._stack.aclose()
        events.log(
            events.DaemonStopped(
                self._settings.instance, self._controller.in_progress
            )
        )

    def _publish_own_member(self) -> None:
        """Publishes this daemon's changed member entry to all peers."""
        if self._control_plane is not None:
            self._control_plane.gossip.notify_peers()
        self._notify_service_daemons()

    def _notify_service_daemons(self) -> None:
        """Notifies the service's daemons of changed key homes or crashes."""
        if self._service_exchange is not None:
            self._service_exchange.notify_changed()

    async def drain(self) -> None:
        """Marks the instance as leaving and waits for calls in progress.

        New calls are accepted for another `drain_ms`. Calls in progress then
        have at most `stop_timeout_ms` to complete.
        """
        events.log(
            events.DrainStarted(
                self._settings.instance, self._controller.in_progress
            )
        )
        assert self._worker_registry is not None
        self._worker_registry.leave()
        await asyncio.sleep(self._settings.drain_ms / 1000.0)
        self._controller.drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.stop_timeout_ms / 1000.0):
                await self._controller.wait_until_idle()


def _make_own_member(
    settings: daemon_settings.DaemonSettings,
) -> members.Member:
    return members.Member(
        instance=settings.instance,
        # In milliseconds, so that it is higher after each restart.
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
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    async with Daemon(settings) as daemon:
        garbage_collection.exclude_startup_objects()
        await stopping.wait()
        await daemon.drain()
