"""Assembles the daemon on the platform and runs it until SIGTERM."""

import asyncio
import contextlib
import signal
import sys
import types
from typing import Self

from kumquatridge.daemon import garbage_collection
from kumquatridge.peers import http_link
from kumquatridge.platform import call_paths
from kumquatridge.platform import components as daemon_components
from kumquatridge.platform import control_plane
from kumquatridge.platform import listeners as daemon_listeners
from kumquatridge.platform import metrics_endpoint
from kumquatridge.platform import readiness
from kumquatridge.platform import settings_file
from kumquatridge.platform import worker_link
from kumquatridge.platform import worker_reports
from kumquatridge.settings import routes
from kumquatridge.telemetry import events
from kumquatridge.telemetry import log_sink
from kumquatridge.workers import supervisor as worker_supervisor

EXPORTER_MODULE = "kumquatridge.daemon.site_metrics"


class PlatformDaemon:
    """A daemon on the platform, serving while its context is open."""

    def __init__(self, settings: settings_file.PlatformSettings) -> None:
        self._settings = settings
        self._components = daemon_components.DaemonComponents(settings)
        self._control = control_plane.ControlPlane(settings, self._components)
        self._supervisor = worker_supervisor.WorkerSupervisor(
            self._components.worker,
            self._components.members,
            self._components.controller,
            worker_link.HttpHealthCheck(self._components.store),
            self._control.notify_peers,
        )
        self._listeners = daemon_listeners.DaemonListeners(
            self._components.limiter
        )
        self._paths = call_paths.CallPaths(
            settings,
            self._components,
            self._control,
            self._supervisor.handle_loss,
            self._listeners,
        )
        self._components.store.subscribe(self._apply_routes)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Opens connections and listeners, and starts the background tasks.

        Raises:
          KumquatridgeError: an address can't be bound.
        """
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._components.connections)
            await stack.enter_async_context(self._components.peer_connections)
            await stack.enter_async_context(self._listeners)
            await self._listen_for_control()
            await stack.enter_async_context(self._control)
            await self._listen_for_calls()
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

    async def _listen_for_control(self) -> None:
        """Listens for control messages, scrapes and readiness checks."""
        settings, components = self._settings, self._components
        exporter_endpoint = metrics_endpoint.MetricsEndpoint(
            lambda: metrics_endpoint.load_exporter(
                EXPORTER_MODULE,
                components.recorder,
                components.controller,
                components.members,
                components.gate,
            )
        )
        readiness_endpoint = readiness.ReadinessEndpoint(self._is_ready)
        listen = self._listeners.listen
        await listen(settings.metrics_address, exporter_endpoint.handle)
        await listen(
            settings.control_address,
            self._control.endpoint.handle,
            http_link.LISTENER_SETTINGS,
        )
        await listen(settings.readiness_address, readiness_endpoint.handle)

    async def _listen_for_calls(self) -> None:
        """Listens for calls from callers and daemons and for worker reports."""
        settings, listeners = self._settings, self._listeners
        report_endpoint = worker_reports.WorkerReportEndpoint(self._supervisor)
        await listeners.listen_to_daemons(
            settings.call_address, self._paths.peer_endpoint.handle
        )
        await listeners.listen(
            settings.announcement_address, report_endpoint.handle
        )
        await listeners.listen_to_callers(
            settings.caller_address, self._paths.caller_endpoint.handle
        )

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the background tasks; closes listeners and connections."""
        await self._stack.aclose()
        events.log(
            events.DaemonStopped(
                self._settings.instance, self._components.controller.in_progress
            )
        )

    def reload(self, settings: settings_file.PlatformSettings) -> None:
        """Applies the settings that may change while the daemon runs.

        These are the service and address of the worker and the grace period.
        """
        self._settings = settings
        self._supervisor.set_endpoint(settings.service, settings.worker_address)

    def count_instances(self) -> int:
        """Returns the number of instances that may take calls.

        It is 0 while no routes are known.
        """
        return self._components.count_instances()

    def _is_ready(self) -> bool:
        has_routes = self._components.store.index is not None
        return has_routes and not self._listeners.is_stopping

    def _apply_routes(self, index: routes.RouteIndex) -> None:
        self._listeners.set_limits(index.table.limits)

    async def drain(self) -> None:
        """Marks the instance as leaving and waits for requests in progress.

        The local worker gets no new calls, because their nested calls would
        need this daemon, which is about to stop.
        """
        events.log(
            events.DrainStarted(
                self._settings.instance, self._components.controller.in_progress
            )
        )
        self._supervisor.leave()
        self._components.controller.drain()
        await self._listeners.drain(
            self._settings.grace_ms, self._paths.caller_endpoint.give_up_calls
        )


async def run(source: settings_file.SettingsSource) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then drains it."""
    stopping, reload_requested = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    async with (
        log_sink.LogSink(sys.stdout.buffer),
        PlatformDaemon(source.settings) as daemon,
        settings_file.SettingsWatch(source, daemon.reload, reload_requested),
    ):
        garbage_collection.exclude_startup_objects()
        await stopping.wait()
        await daemon.drain()
