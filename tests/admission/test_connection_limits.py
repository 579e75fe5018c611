"""Which connections are closed when a process holds too much."""

import dataclasses

import pytest

from kumquatridge.admission import connection_limits

KIB = 1024
MAX_BYTES = 100 * KIB
NOW_MS = 10_000.0


class Connection:
    """A connection with a fixed usage."""

    def __init__(self, name: str, usage: connection_limits.Usage) -> None:
        self.name = name
        self.usage = usage
        self.is_closed = False

    def get_usage(self) -> connection_limits.Usage:
        """Returns the usage given."""
        return self.usage

    def evict(self) -> None:
        """Records the end of the connection."""
        self.is_closed = True


def make_usage(
    held_kib: float, still_s: float, *, is_working: bool = False
) -> connection_limits.Usage:
    return connection_limits.Usage(
        int(held_kib * KIB), NOW_MS - still_s * 1000.0, is_working
    )


# A crowd of short callers: one waits for its answer, the others are idle.
CALLERS = {
    "waits": make_usage(1, 3.0, is_working=True),
    **{f"idle {number}": make_usage(1, 9.0) for number in range(9)},
}


@pytest.mark.parametrize(
    ("others", "closed"),
    [
        pytest.param({"a": make_usage(60, 5.0)}, set(), id="within the bound"),
        pytest.param(
            {"stalled": make_usage(60, 5.0), "moves": make_usage(60, 0.01)},
            {"stalled"},
            id="who moves less",
        ),
        pytest.param(
            {"long": make_usage(80, 1.0), "short": make_usage(20, 1.0)},
            {"long"},
            id="who holds more",
        ),
        pytest.param(
            {
                "works": make_usage(60, 5.0, is_working=True),
                "stalled": make_usage(60, 0.5),
            },
            {"stalled"},
            id="who waits for its client",
        ),
        pytest.param(
            {
                "works": make_usage(100, 5.0, is_working=True),
                "stalled": make_usage(15, 0.5),
            },
            {"stalled", "works"},
            id="who works, if nothing else suffices",
        ),
        pytest.param(
            {f"piece {number}": make_usage(6, 1.0) for number in range(20)},
            {f"piece {number}" for number in range(20)},
            id="many alike, as many as needed",
        ),
    ],
)
def test_short_callers_keep_their_connections(
    others: dict[str, connection_limits.Usage], closed: set[str]
) -> None:
    connections = [
        Connection(name, usage) for name, usage in (CALLERS | others).items()
    ]
    chosen = connection_limits.choose_for_memory(
        {connection: connection.usage for connection in connections},
        MAX_BYTES,
        NOW_MS,
    )
    names = {
        connection.name for connection in connections if connection in chosen
    }
    if len(closed) > 2:
        assert names < closed
    else:
        assert names == closed
    kept_bytes = sum(
        connection.usage.held_bytes
        for connection in connections
        if connection not in chosen
    )
    assert kept_bytes <= MAX_BYTES


async def test_connections_that_hold_too_much_are_closed() -> None:
    limiter = connection_limits.ConnectionLimiter(
        connection_limits.ConnectionLimits(MAX_BYTES, 100)
    )
    connections = [
        Connection(str(number), connection_limits.Usage(20 * KIB, number))
        for number in range(10)
    ]
    for connection in connections:
        assert limiter.add_accepted(connection)
        limiter.update(connection, connection.usage.held_bytes)
        assert limiter.total_bytes <= MAX_BYTES * (
            1 + connection_limits.GROWTH_RATIO
        )
    assert any(connection.is_closed for connection in connections)
    assert not connections[-1].is_closed


def test_bytes_that_the_kernel_took_close_nothing() -> None:
    limiter = connection_limits.ConnectionLimiter(
        connection_limits.ConnectionLimits(MAX_BYTES, 100)
    )
    connections = [
        Connection(str(number), connection_limits.Usage(1 * KIB, 0.0))
        for number in range(10)
    ]
    for connection in connections:
        limiter.add(connection)
        # Reported before the kernel took most of it.
        limiter.update(connection, 20 * KIB)
    assert not any(connection.is_closed for connection in connections)


@pytest.mark.parametrize(
    ("is_working", "is_accepted"), [(False, True), (True, False)]
)
def test_new_connection_gets_the_room_of_a_still_one(
    is_working: bool, is_accepted: bool
) -> None:
    limits = connection_limits.ConnectionLimits(MAX_BYTES, 16)
    limiter = connection_limits.ConnectionLimiter(limits)
    connections = [
        Connection(
            str(number),
            connection_limits.Usage(0, NOW_MS + number, is_working),
        )
        for number in range(limits.max_accepted)
    ]
    for connection in connections:
        assert limiter.add_accepted(connection)
    added = Connection("new", connection_limits.Usage(0, NOW_MS))
    assert limiter.add_accepted(added) == is_accepted
    assert connections[0].is_closed == is_accepted
    assert not connections[-1].is_closed
    assert limiter.connection_count <= limits.max_accepted
    assert limiter.accepts_outgoing()


def test_connections_that_never_served_are_closed_first() -> None:
    served = connection_limits.Usage(0, 1.0, has_served=True)
    unused = dataclasses.replace(served, moved_ms=2.0, has_served=False)
    connections = [Connection("served", served), Connection("unused", unused)]
    (chosen,) = connection_limits.choose_for_room(
        {connection: connection.usage for connection in connections}, 1
    )
    assert chosen is connections[1]


@pytest.mark.parametrize(
    ("in_progress_kib", "size_kib", "is_admitted"),
    [
        pytest.param(0, 49, True, id="alone"),
        pytest.param(0, 51, False, id="more than the share of all"),
        pytest.param(40, 33, False, id="beside others"),
        pytest.param(49, 1, True, id="just enough"),
    ],
)
def test_long_requests_share_a_part_of_the_memory(
    in_progress_kib: int, size_kib: int, is_admitted: bool
) -> None:
    limiter = connection_limits.ConnectionLimiter(
        connection_limits.ConnectionLimits(MAX_BYTES, 100)
    )
    with limiter.reserve(in_progress_kib * KIB) as is_first_admitted:
        assert is_first_admitted
        with limiter.reserve(size_kib * KIB) as is_second_admitted:
            assert is_second_admitted == is_admitted
    with limiter.reserve(40 * KIB) as is_third_admitted:
        assert is_third_admitted
