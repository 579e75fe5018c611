"""The listeners of a daemon, and their drain before it stops."""

import asyncio
import contextlib
import math
import types
from typing import Self

from kumquatridge import clock
from kumquatridge.settings import routes
from kumquatridge.transport import frame_listener
from kumquatridge.transport import http_listener
from kumquatridge.transport import server

# Requests keep arriving for about 2 s after the readiness check starts to fail,
# so idle connections of callers are kept open a little longer than that.
CLOSE_IDLE_AFTER_MS = 2500.0
# The drain ends this long before SIGKILL, so that a slow instance can still
# close its listeners and connections. No caller relies on an answer in the last
# second before SIGKILL.
KILL_MARGIN_MS = 900.0
# Fraction of the grace period in which new requests are accepted; the rest
# must suffice to complete those in progress. Later requests are refused without
# being run, so callers may safely repeat them.
ACCEPT_FRACTION = 0.5
# Interval at which a drain checks whether all listeners are idle.
IDLE_POLL_S = 0.05


class DaemonListeners:
    """All listeners of a daemon, closed with the context of this object.

    `is_stopping` is True once a drain has started, and makes the readiness
    check fail. `accepts_requests` is False in the later part of a drain, in
    which new requests of callers are refused.
    """

    def __init__(self) -> None:
        self._stack = contextlib.AsyncExitStack()
        self._listeners: list[server.Listener] = []
        self._caller_listeners: list[server.Listener] = []
        self.is_stopping = False
        # On the clock of this process.
        self._accept_until_ms = math.inf

    @property
    def accepts_requests(self) -> bool:
        """Returns whether requests of callers are accepted now."""
        return clock.get_now_ms() < self._accept_until_ms

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
        self, address: str, handler: http_listener.Handler
    ) -> http_listener.HttpListener:
        """Listens for HTTP requests at an address.

        Raises:
          ListenError: the address is in use, or not one of this instance.
        """
        opened_listener = await self._stack.enter_async_context(
            http_listener.HttpListener(address, handler)
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
                frame_listener.FrameListener(address, handler)
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

    async def drain(self, grace_ms: float) -> None:
        """Waits for requests in progress, until shortly before SIGKILL.

        SIGKILL is expected `grace_ms` after the start of the drain.

        The listeners stay open: callers stop sending when they see the failing
        readiness check, and requests sent before that are still forwarded to
        other instances. Requests that arrive after the drain are refused.
        """
        self.is_stopping = True
        for opened_listener in self._listeners:
            opened_listener.is_draining = True
        started_ms = clock.get_now_ms()
        drain_until_ms = started_ms + grace_ms - KILL_MARGIN_MS
        self._accept_until_ms = started_ms + grace_ms * ACCEPT_FRACTION
        await asyncio.sleep(CLOSE_IDLE_AFTER_MS / 1000.0)
        while clock.get_now_ms() < drain_until_ms:
            for caller_listener in self._caller_listeners:
                caller_listener.close_idle()
            if self._is_idle():
                break
            await asyncio.sleep(IDLE_POLL_S)
        self._accept_until_ms = -math.inf

    def _is_idle(self) -> bool:
        return all(
            opened_listener.is_idle for opened_listener in self._listeners
        )
