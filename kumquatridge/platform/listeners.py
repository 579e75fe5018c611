"""The listeners of a daemon, and their drain before it stops."""

import asyncio
from collections.abc import Callable, Iterable
import contextlib
import types
from typing import Self

from kumquatridge import clock
from kumquatridge.admission import connection_limits
from kumquatridge.admission import drain as admission_drain
from kumquatridge.calls import call as calls
from kumquatridge.settings import routes
from kumquatridge.transport import frame_listener
from kumquatridge.transport import http_listener
from kumquatridge.transport import server

MS_PER_S = 1000.0
# Interval at which a drain checks whether all listeners are idle.
IDLE_POLL_MS = 50.0
# The same after the drain, when only the last answers are being sent.
FLUSH_POLL_MS = 10.0
# Callers send a request at once on a new connection; until it arrives, the
# connection looks idle.
MIN_IDLE_MS = 250.0


class DaemonListeners:
    """All listeners of a daemon, closed with the context of this object.

    `is_stopping` is True once a drain has started, and makes the readiness
    check fail. `limiter` counts the connections of all listeners.
    """

    def __init__(self, limiter: connection_limits.ConnectionLimiter) -> None:
        self._limiter = limiter
        self._stack = contextlib.AsyncExitStack()
        self._listeners: list[server.Listener] = []
        self._caller_listeners: list[server.Listener] = []
        self._drain: admission_drain.Drain | None = None
        self._has_drained = False

    @property
    def is_stopping(self) -> bool:
        """Returns whether a drain has started."""
        return self._drain is not None

    def accepts(self, call: calls.Call) -> bool:
        """Returns whether a call that a caller sends now is accepted."""
        if self._drain is None:
            return True
        if self._has_drained:
            return False
        return self._drain.accepts(call.chain, clock.get_now_ms())

    async def __aenter__(self) -> Self:
        """Opens nothing yet: each `listen` call opens its listener."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes the listeners in reverse order of their opening."""
        await self._stack.aclose()

    async def listen(
        self,
        address: str,
        handler: http_listener.Handler,
        settings: server.ListenerSettings | None = None,
    ) -> http_listener.HttpListener:
        """Listens for HTTP requests at an address.

        Raises:
          ListenError: the address is in use, or not one of this instance.
        """
        opened_listener = await self._stack.enter_async_context(
            http_listener.HttpListener(
                address, handler, settings, self._limiter
            )
        )
        self._listeners.append(opened_listener)
        return opened_listener

    async def listen_to_callers(
        self, address: str, handler: http_listener.Handler
    ) -> None:
        """Listens for callers; a drain closes their idle connections."""
        self._caller_listeners.append(await self.listen(address, handler))

    async def listen_to_daemons(
        self, address: str, handler: frame_listener.Handler
    ) -> None:
        """Listens for frames of other daemons; raises as `listen` does."""
        self._listeners.append(
            await self._stack.enter_async_context(
                frame_listener.FrameListener(address, handler, self._limiter)
            )
        )

    def set_limits(self, limits: routes.CallerLimits) -> None:
        """Applies the limits for requests of callers."""
        settings = server.ListenerSettings(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_ms,
        )
        for opened_listener in self._caller_listeners:
            opened_listener.set_limits(settings)

    async def drain(
        self, grace_ms: float, give_up_calls: Callable[[], None]
    ) -> None:
        """Waits for requests in progress, until shortly before SIGKILL.

        SIGKILL is expected `grace_ms` after the start of the drain. Calls of
        callers that are in progress at its end are answered then, by
        `give_up_calls`.

        The listeners stay open: callers stop sending when they see the failing
        readiness check, and requests sent before that are still forwarded to
        other instances. Requests that arrive after the drain are refused.
        """
        drain = admission_drain.Drain(clock.get_now_ms(), grace_ms)
        self._drain = drain
        for opened_listener in self._listeners:
            opened_listener.is_draining = True
        await _sleep_until(drain.notice_until_ms)
        while (
            not _are_idle(self._listeners)
            and clock.get_now_ms() < drain.ends_ms
        ):
            self._close_idle_callers()
            await _sleep_until(
                min(clock.get_now_ms() + IDLE_POLL_MS, drain.ends_ms)
            )
        self._has_drained = True
        give_up_calls()
        while (
            not _are_idle(self._caller_listeners)
            and clock.get_now_ms() < drain.flushed_ms
        ):
            self._close_idle_callers()
            await _sleep_until(clock.get_now_ms() + FLUSH_POLL_MS)

    def _close_idle_callers(self) -> None:
        for caller_listener in self._caller_listeners:
            caller_listener.close_idle(MIN_IDLE_MS)


def _are_idle(listeners: Iterable[server.Listener]) -> bool:
    return all(opened_listener.is_idle for opened_listener in listeners)


async def _sleep_until(at_ms: float) -> None:
    await asyncio.sleep(max(0.0, at_ms - clock.get_now_ms()) / MS_PER_S)
