"""Bounds what all connections of a process hold together.

Each connection has a bound of its own, but many connections at their bounds
exceed the memory of the instance, and many idle ones its descriptors. The
limiter counts what every connection holds, in both directions. Where a bound is
met it closes those that hold the most and move the least, so that callers whose
requests are short, or still moving, are served.
"""

from collections.abc import Mapping
import dataclasses
import types
from typing import Protocol

from kumquatridge import clock
from kumquatridge.telemetry import events

MIB_BYTES = 1024 * 1024
# Closing goes on down to this fraction of a bound, so that the connections are
# not examined again for each byte or connection that arrives after it.
CLOSING_RATIO = 7 / 8
# Connections are examined again only after they have grown by this fraction of
# the bound.
GROWTH_RATIO = 1 / 16
# Share of the memory for requests in progress. The rest is left for requests
# that are still arriving and for answers.
IN_PROGRESS_RATIO = 1 / 2
# Time after which long requests in progress are likely to have ended.
RETRY_AFTER_MS = 500
# Requests that hold no more are not refused for lack of memory.
SMALL_REQUEST_BYTES = 32 * 1024
# Connections of callers leave this fraction to those that their calls need.
OUTGOING_RATIO = 1 / 8


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Bounds for all connections of a process.

    `max_bytes` bounds the memory that they hold, with the requests, answers and
    buffers of each, `max_connections` their number.
    """

    max_bytes: int = 128 * MIB_BYTES
    max_connections: int = 3800

    @property
    def max_accepted(self) -> int:
        """Returns the number of connections from which on none is accepted."""
        return int(self.max_connections * (1 - OUTGOING_RATIO))


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a connection holds at the moment.

    `moved_ms` is when it was opened or last moved a substantial number of
    bytes (see `clock`). `is_working` tells that its peer waits for this
    process, and not the reverse. `has_served` tells that a request on it was
    answered.
    """

    held_bytes: int
    moved_ms: float
    is_working: bool = False
    has_served: bool = False


class LimitedConnection(Protocol):
    """A connection that a limiter counts and may close."""

    def get_usage(self) -> Usage:
        """Returns what the connection holds now."""
        ...

    def evict(self) -> None:
        """Closes the connection at once and frees what it holds."""
        ...


class ConnectionLimiter:
    """Counts the connections of a process and what they hold.

    Connections report with `update` when they hold more, but not when they hold
    less: the kernel takes bytes from their buffers, and requests end. When the
    sum exceeds the bound, all connections are examined, and closed only if it
    still does.
    """

    def __init__(self, limits: ConnectionLimits | None = None) -> None:
        self._limits = limits or ConnectionLimits()
        self._held_bytes: dict[LimitedConnection, int] = {}
        self._total_bytes = 0
        self._in_progress_bytes = 0
        # The connections are examined when the sum exceeds this.
        self._examined_above_bytes = self._limits.max_bytes

    @property
    def total_bytes(self) -> int:
        """Returns the sum of what the connections last reported."""
        return self._total_bytes

    @property
    def connection_count(self) -> int:
        """Returns the number of connections."""
        return len(self._held_bytes)

    def accepts_outgoing(self) -> bool:
        """Returns whether a call may open another connection."""
        return len(self._held_bytes) < self._limits.max_connections

    def add_accepted(self, connection: LimitedConnection) -> bool:
        """Adds a connection of a client; returns False if there is no room.

        Room is made by closing others, except those that wait for an answer.
        """
        if len(self._held_bytes) >= self._limits.max_accepted:
            self._make_room()
        if len(self._held_bytes) >= self._limits.max_accepted:
            return False
        self.add(connection)
        return True

    def add(self, connection: LimitedConnection) -> None:
        """Adds a connection, whatever the number of connections."""
        self._held_bytes[connection] = 0

    def remove(self, connection: LimitedConnection) -> None:
        """Forgets a connection that has ended; others are ignored."""
        self._total_bytes -= self._held_bytes.pop(connection, 0)

    def update(self, connection: LimitedConnection, held_bytes: int) -> None:
        """Records what a connection holds now.

        The connection may be closed before this returns.
        """
        before_bytes = self._held_bytes.get(connection)
        if before_bytes is None:
            return
        self._held_bytes[connection] = held_bytes
        self._total_bytes += held_bytes - before_bytes
        if self._total_bytes > self._examined_above_bytes:
            self._free_memory()

    def reserve(self, held_bytes: int) -> "Reservation":
        """Returns a context that tells whether a request may be run now.

        Requests may hold a share of the memory together, each while its context
        is open. Those of up to `SMALL_REQUEST_BYTES` need not ask.
        """
        return Reservation(self, held_bytes)

    def _try_reserve(self, held_bytes: int) -> bool:
        limit_bytes = self._limits.max_bytes * IN_PROGRESS_RATIO
        if self._in_progress_bytes + held_bytes > limit_bytes:
            return False
        self._in_progress_bytes += held_bytes
        return True

    def _release(self, held_bytes: int) -> None:
        self._in_progress_bytes -= held_bytes

    def _make_room(self) -> None:
        """Closes connections that wait for their client."""
        usages = self._examine()
        count = len(usages) - int(self._limits.max_accepted * CLOSING_RATIO)
        self._close(usages, choose_for_room(usages, count), "connections")

    def _free_memory(self) -> None:
        """Examines all connections; closes some if they hold too much."""
        usages = self._examine()
        max_bytes = self._limits.max_bytes
        if self._total_bytes > max_bytes:
            chosen = choose_for_memory(usages, max_bytes, clock.get_now_ms())
            self._close(usages, chosen, "memory")
        self._examined_above_bytes = max(
            max_bytes, self._total_bytes + int(max_bytes * GROWTH_RATIO)
        )

    def _examine(self) -> dict[LimitedConnection, Usage]:
        usages = {
            connection: connection.get_usage()
            for connection in self._held_bytes
        }
        self._held_bytes = {
            connection: usage.held_bytes for connection, usage in usages.items()
        }
        self._total_bytes = sum(self._held_bytes.values())
        return usages

    def _close(
        self,
        usages: Mapping[LimitedConnection, Usage],
        chosen: list[LimitedConnection],
        bound: str,
    ) -> None:
        if not chosen:
            return
        freed_bytes = sum(
            usages[connection].held_bytes for connection in chosen
        )
        for connection in chosen:
            self.remove(connection)
            connection.evict()
        events.log(
            events.ConnectionsEvicted(
                bound, len(chosen), freed_bytes, len(usages), self._total_bytes
            )
        )


class Reservation:
    """Memory of a request in progress; see `ConnectionLimiter.reserve`."""

    def __init__(self, limiter: ConnectionLimiter, held_bytes: int) -> None:
        self._limiter = limiter
        self._held_bytes = held_bytes
        self._is_counted = False

    def __enter__(self) -> bool:
        """Returns whether the request may be run."""
        self._is_counted = self._limiter._try_reserve(self._held_bytes)
        return self._is_counted

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Frees the memory for other requests."""
        if self._is_counted:
            self._limiter._release(self._held_bytes)


def choose_for_memory(
    usages: Mapping[LimitedConnection, Usage], max_bytes: int, now_ms: float
) -> list[LimitedConnection]:
    """Returns the connections to close until the rest holds less.

    Only those that hold more than an equal share of the memory are considered;
    the others together hold less than all of it. Connections that wait for
    their client come first, by what they hold and for how long.
    """
    total_bytes = sum(usage.held_bytes for usage in usages.values())
    share_bytes = max_bytes / max(1, len(usages))

    def get_rank(connection: LimitedConnection) -> tuple[bool, float]:
        usage = usages[connection]
        still_ms = now_ms - usage.moved_ms
        return usage.is_working, -usage.held_bytes * (1.0 + still_ms)

    large = [
        connection
        for connection, usage in usages.items()
        if usage.held_bytes > share_bytes
    ]
    chosen: list[LimitedConnection] = []
    for connection in sorted(large, key=get_rank):
        if total_bytes <= max_bytes * CLOSING_RATIO:
            break
        total_bytes -= usages[connection].held_bytes
        chosen.append(connection)
    return chosen


def choose_for_room(
    usages: Mapping[LimitedConnection, Usage], count: int
) -> list[LimitedConnection]:
    """Returns up to `count` connections to close, none that is working.

    Those that never had a request answered come first, and then those that
    have not moved for the longest time.
    """
    waiting = [
        connection
        for connection, usage in usages.items()
        if not usage.is_working
    ]
    waiting.sort(
        key=lambda connection: (
            usages[connection].has_served,
            usages[connection].moved_ms,
        )
    )
    return waiting[: max(0, count)]
