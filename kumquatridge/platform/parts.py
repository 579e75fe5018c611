"""What the control plane and the call paths of a daemon share."""

import time

from kumquatridge.admission import controller as admission_controller
from kumquatridge.admission import gates
from kumquatridge.admission import settings as admission_settings
from kumquatridge.chain import inbound_calls
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.platform import settings_file
from kumquatridge.settings import route_store
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import request_log
from kumquatridge.transport import frame_pool
from kumquatridge.transport import pool
from kumquatridge.workers import own_worker

# Callers come back by themselves, so that an early refusal is worth more to
# them than a late one.
ADMISSION = admission_settings.AdmissionSettings(refuses_on_expected_wait=True)


class SiteParts:
    """The aggregates of one daemon and its connections, not yet open."""

    def __init__(self, settings: settings_file.SiteSettings) -> None:
        self.members = table.MemberTable(
            _make_own_member(settings), settings.data_centres
        )
        self.controller = admission_controller.AdmissionController(0, ADMISSION)
        self.gate = gates.GateController(gates.GateSettings())
        self.gate_table = gates.GateTable(gates.GateSettings())
        self.inbound_registry = inbound_calls.InboundCallRegistry()
        self.store = route_store.RouteStore()
        self.recorder = request_log.RequestLog(
            decisions.DecisionLog(), lambda: self.store.version
        )
        self.worker = own_worker.OwnWorker(
            settings.service, settings.worker_address
        )
        self.connections = pool.ConnectionPool()
        self.peer_connections = frame_pool.FramePool()

    def count_daemons(self) -> int:
        """Returns how many daemons share what is permitted to all."""
        return len(self.members.get_live()) + 1

    def count_instances(self) -> int:
        """Returns how many instances may take calls, 0 without routes."""
        if self.store.index is None:
            return 0
        return sum(
            one.announcement is not None and not members.is_out(one)
            for one in self.members
        )

    def get_gates(self, now_ms: float) -> tuple[gates.Gate, ...]:
        """Returns the gates that are worth telling, the own one included."""
        if self.gate.downstream_level > gates.ADMIT_ALL_LEVEL:
            self.gate_table.merge(
                gates.Gate(
                    self.worker.service,
                    self.members.own.instance,
                    self.gate.level,
                    self.gate.downstream_level,
                    self.gate.get_root_routes(now_ms),
                    now_ms,
                )
            )
        return self.gate_table.get_unexpired(now_ms)


def _make_own_member(
    settings: settings_file.SiteSettings,
) -> members.Member:
    return members.Member(
        instance=settings.instance,
        incarnation=time.time_ns() // 1_000_000,
        data_centre=settings.data_centre,
        call_address=settings.call_address,
        control_address=settings.control_address,
        announcement=None,
    )
