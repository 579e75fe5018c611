"""Puts the daemon together on the platform, and runs it until SIGTERM."""

import asyncio
import contextlib
import signal
import sys
import types
from typing import Self

from kumquatridge.daemon import garbage
from kumquatridge.platform import announcements
from kumquatridge.platform import call_paths
from kumquatridge.platform import control_plane
from kumquatridge.platform import listeners as site_listeners
from kumquatridge.platform import metrics_endpoint
from kumquatridge.platform import parts as site_parts
from kumquatridge.platform import readiness
from kumquatridge.platform import settings_file
from kumquatridge.platform import worker_link
from kumquatridge.settings import routes
from kumquatridge.telemetry import events
from kumquatridge.telemetry import log_sink
from kumquatridge.workers import supervisor as worker_supervisor

EXPORTER_MODULE = "kumquatridge.daemon.site_metrics"


class SiteDaemon:
    """One daemon on the platform, serving while its context is open."""

    def __init__(self, settings: settings_file.SiteSettings) -> None:
        self._settings = settings
        self._parts = site_parts.SiteParts(settings)
        self._control = control_plane.ControlPlane(settings, self._parts)
        self._supervisor = worker_supervisor.WorkerSupervisor(
            self._parts.worker,
            self._parts.members,
            self._parts.controller,
            worker_link.SiteHealthCheck(
                self._parts.connections, self._parts.store
            ),
            self._control.announce,
        )
        self._listeners = site_listeners.SiteListeners()
        self._paths = call_paths.CallPaths(
            settings,
            self._parts,
            self._control,
            self._supervisor.lose,
            self._listeners,
        )
        self._parts.store.subscribe(self._take_routes)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Opens the connections and listeners.

        Raises:
          KumquatridgeError: an address can't be listened at.
        """
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._parts.connections)
            await stack.enter_async_context(self._parts.peer_connections)
            await stack.enter_async_context(self._listeners)
            await self._listen_to_platform()
            await stack.enter_async_context(self._control)
            await self._listen_to_calls()
            await stack.enter_async_context(self._supervisor)
            self._stack = stack.pop_all()
        events.log(
            events.DaemonStarted(
                self._settings.instance,
                self._settings.data_centre,
                self._settings.caller_address,
            )
        )
        return self

    async def _listen_to_platform(self) -> None:
        """Listens for other daemons, and for what the platform asks."""
        settings, parts = self._settings, self._parts
        scraped = metrics_endpoint.MetricsEndpoint(
            lambda: metrics_endpoint.load_exporter(
                EXPORTER_MODULE,
                parts.recorder,
                parts.controller,
                parts.members,
                parts.gate,
            )
        )
        ready = readiness.ReadinessEndpoint(self._is_ready)
        listen = self._listeners.listen
        await listen(settings.metrics_address, scraped.handle)
        await listen(settings.control_address, self._control.endpoint.handle)
        await listen(settings.readiness_address, ready.handle)

    async def _listen_to_calls(self) -> None:
        """Listens for calls, and for the worker's reports."""
        settings, listeners = self._settings, self._listeners
        announced = announcements.AnnouncementEndpoint(self._supervisor)
        await listeners.listen_to_daemons(
            settings.call_address, self._paths.peers.handle
        )
        await listeners.listen(settings.announcement_address, announced.handle)
        await listeners.listen_to_callers(
            settings.caller_address, self._paths.callers.handle
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
                self._settings.instance, self._parts.controller.in_progress
            )
        )

    def reload(self, settings: settings_file.SiteSettings) -> None:
        """Takes what may change while the daemon runs."""
        self._settings = settings
        self._supervisor.set_place(settings.service, settings.worker_address)

    def count_instances(self) -> int:
        """Returns how many instances may take calls, 0 without routes."""
        return self._parts.count_instances()

    def _is_ready(self) -> bool:
        has_routes = self._parts.store.index is not None
        return has_routes and not self._listeners.is_stopping

    def _take_routes(self, index: routes.RouteIndex) -> None:
        self._listeners.set_limits(index.table.limits)

    async def drain(self) -> None:
        """Stops taking part, and waits for requests in progress.

        The own worker gets nothing new, since its calls would find nobody
        here.
        """
        events.log(
            events.DrainStarted(
                self._settings.instance, self._parts.controller.in_progress
            )
        )
        self._supervisor.leave()
        self._parts.controller.drain()
        await self._listeners.drain(self._settings.grace_ms)


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
