"""The addresses that a daemon listens at, and how they go quiet in a stop."""

import asyncio
import contextlib
import types
from typing import Self

from kumquatridge.settings import routes
from kumquatridge.transport import frame_listener
from kumquatridge.transport import listener
from kumquatridge.transport import server

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


class SiteListeners:
    """All listeners of a daemon, closed with its context."""

    def __init__(self) -> None:
        self._stack = contextlib.AsyncExitStack()
        self._opened: list[server.Listener] = []
        self._for_callers: list[server.Listener] = []
        self.is_stopping = False
        self.takes_requests = True

    async def __aenter__(self) -> Self:
        """Opens nothing yet."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes the listeners, the last one first."""
        await self._stack.aclose()

    async def listen(
        self, address: str, handler: listener.Handler
    ) -> listener.HttpListener:
        """Listens for requests in HTTP.

        Raises:
          ListenError: the address is taken, or not this instance's.
        """
        opened = await self._stack.enter_async_context(
            listener.HttpListener(address, handler)
        )
        self._opened.append(opened)
        return opened

    async def listen_to_callers(
        self, address: str, handler: listener.Handler
    ) -> None:
        """Listens for callers, whose idle connections end with a stop."""
        self._for_callers.append(await self.listen(address, handler))

    async def listen_to_daemons(
        self, address: str, handler: frame_listener.Handler
    ) -> None:
        """Listens for messages of other daemons; raises as `listen` does."""
        self._opened.append(
            await self._stack.enter_async_context(
                frame_listener.FrameListener(address, handler)
            )
        )

    def set_limits(self, limits: routes.CallerLimits) -> None:
        """Takes what callers may send from now on."""
        settings = server.ListenerSettings(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_ms,
        )
        for one in self._for_callers:
            one.set_limits(settings)

    async def drain(self, grace_ms: float) -> None:
        """Waits for requests in progress, at most until shortly before a kill.

        Listeners stay open: callers learn of the stop from readiness, and
        until then every request is served, by other instances.
        """
        self.is_stopping = True
        for one in self._opened:
            one.is_draining = True
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        last_s = started_s + (grace_ms - KILL_MARGIN_MS) / 1000.0
        last_taken_s = started_s + grace_ms * TAKING_RATIO / 1000.0
        await asyncio.sleep(CLOSE_IDLE_AFTER_MS / 1000.0)
        while loop.time() < last_s:
            self.takes_requests = loop.time() < last_taken_s
            for opened in self._for_callers:
                opened.close_idle()
            if self._is_idle():
                return
            await asyncio.sleep(CHECK_S)

    def _is_idle(self) -> bool:
        return all(one.is_idle for one in self._opened)
