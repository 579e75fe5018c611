"""Components shared by the control plane and the call paths of a daemon."""

import time

from kumquatridge.admission import connection_limits
from kumquatridge.admission import controller as admission_controller
from kumquatridge.admission import gates
from kumquatridge.admission import offers
from kumquatridge.admission import settings as admission_settings
from kumquatridge.chain import inbound_calls
from kumquatridge.chain import retry_budget
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.platform import settings_file
from kumquatridge.settings import route_store
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import request_log
from kumquatridge.transport import frame_pool
from kumquatridge.transport import pool
from kumquatridge.workers import own_worker

# Callers retry refused calls themselves, so an immediate refusal leaves them
# more time for the retry than one after a wait in the queue.
ADMISSION_SETTINGS = admission_settings.AdmissionSettings(
    refuses_on_expected_wait=True
)

# Memory of a daemon without its connections: 34 MB at rest, and what grows with
# the fleet, the configuration and the metrics.
BASE_BYTES = 56 * 1024 * 1024
# Fraction of the other memory for what connections hold. The rest is for copies
# while bytes are passed on, and for memory that the allocator can't reuse.
CONNECTIONS_RATIO = 0.5
# Descriptors that are no connections: those that the platform reserves for
# files, and those of listeners, the event loop and the log.
RESERVED_DESCRIPTORS = 264
# Below this, a daemon could not serve its callers.
MIN_CONNECTIONS_BYTES = 4 * 1024 * 1024
MIN_CONNECTIONS = 64

# Fraction of `retry_ratio` and `retry_floor` (see
# `settings_file.PlatformSettings`) that the daemons use. The rest is reserved
# for the child calls of retried calls, which are counted but never refused, and
# for instances that don't know of each other.
RETRY_FRACTION = 0.9
# Weight of the requests of the previous window. The platform counts those of
# the present window, or of the previous one if there were more.
EARLIER_WINDOW_RATIO = 0.5
# Share of `retry_floor` available to a daemon that has just started. With it, a
# daemon that has spent its share and restarts stays within the whole budget.
START_RATIO = 0.1


class DaemonComponents:
    """The aggregates of one daemon, and its connection pools.

    The pools are opened by the runtime: `connections` for HTTP to the worker,
    the store and the control addresses of other daemons, `peer_connections` for
    calls to other daemons in binary frames. `limiter` bounds what these and the
    accepted connections hold together.
    """

    def __init__(self, settings: settings_file.PlatformSettings) -> None:
        self.members = table.MemberTable(
            _make_own_member(settings), settings.data_centres
        )
        # No slots until the worker reports how many it has.
        self.controller = admission_controller.AdmissionController(
            0, ADMISSION_SETTINGS
        )
        self.gate = gates.GateController(gates.GateSettings())
        self.offer_control = offers.OfferControl(
            offers.OfferSettings(),
            retry_budget.RetryBudget(
                _make_retry_budget_settings(settings),
                self._count_budget_holders,
                start_ratio=START_RATIO,
            ),
        )
        self.gate_table = gates.GateTable(gates.GateSettings())
        self.inbound_registry = inbound_calls.InboundCallRegistry()
        self.store = route_store.RouteStore()
        self.recorder = request_log.RequestLog(
            decisions.DecisionLog(), lambda: self.store.version
        )
        self.worker = own_worker.OwnWorker(
            settings.service, settings.worker_address
        )
        self.limiter = connection_limits.ConnectionLimiter(
            _make_connection_limits(settings)
        )
        self.connections = pool.ConnectionPool(limiter=self.limiter)
        self.peer_connections = frame_pool.FramePool(limiter=self.limiter)

    def _count_budget_holders(self) -> int:
        """Returns the number of daemons that share the own retry budget.

        These are all known instances of the own service that have not left.
        Dead ones count, since they may be live behind a cut.
        """
        return max(1, self.members.count_known(self.worker.service))

    def count_instances(self) -> int:
        """Returns the number of instances that may take calls.

        It is 0 while no routes are known.
        """
        if self.store.index is None:
            return 0
        return sum(
            member.announcement is not None
            and not members.is_leaving_or_dead(member)
            for member in self.members
        )

    def get_gates(self, now_ms: float) -> tuple[gates.Gate, ...]:
        """Returns the gates to report to other daemons.

        These are the unexpired gates received from other daemons. The gate of
        this instance is included while its downstream level refuses any roots
        (see `admission.gates.Gate`).
        """
        downstream_level = self.gate.get_downstream_level(
            self.offer_control.level
        )
        if downstream_level > gates.ADMIT_ALL_LEVEL:
            self.gate_table.merge(
                gates.Gate(
                    self.worker.service,
                    self.members.own.instance,
                    self.gate.level,
                    downstream_level,
                    self.gate.get_root_routes(now_ms),
                    now_ms,
                )
            )
        return self.gate_table.get_unexpired(now_ms)


def _make_connection_limits(
    settings: settings_file.PlatformSettings,
) -> connection_limits.ConnectionLimits:
    free_bytes = settings.memory_bytes - BASE_BYTES
    return connection_limits.ConnectionLimits(
        max(MIN_CONNECTIONS_BYTES, int(free_bytes * CONNECTIONS_RATIO)),
        max(MIN_CONNECTIONS, settings.max_descriptors - RESERVED_DESCRIPTORS),
    )


def _make_own_member(
    settings: settings_file.PlatformSettings,
) -> members.Member:
    return members.Member(
        instance=settings.instance,
        # Unix milliseconds, and so higher after every restart.
        incarnation=time.time_ns() // 1_000_000,
        data_centre=settings.data_centre,
        call_address=settings.call_address,
        control_address=settings.control_address,
        announcement=None,
    )


def _make_retry_budget_settings(
    settings: settings_file.PlatformSettings,
) -> retry_budget.RetryBudgetSettings:
    # Ratio, window and floor (`min_retries`).
    return retry_budget.RetryBudgetSettings(
        settings.retry_ratio * RETRY_FRACTION,
        int(settings.retry_window_ms),
        int(settings.retry_floor * RETRY_FRACTION),
        EARLIER_WINDOW_RATIO,
    )
