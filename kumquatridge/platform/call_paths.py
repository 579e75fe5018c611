"""Puts together the way of a call: in from callers, out, and to the worker."""

import random

from kumquatridge.callpath import inbound
from kumquatridge.callpath import outbound
from kumquatridge.callpath import routed_call_builder
from kumquatridge.chain import retry_budget
from kumquatridge.platform import callers
from kumquatridge.platform import control_plane
from kumquatridge.platform import listeners as site_listeners
from kumquatridge.platform import parts as site_parts
from kumquatridge.platform import peers
from kumquatridge.platform import settings_file
from kumquatridge.platform import worker_link
from kumquatridge.routing import chooser as routing
from kumquatridge.settings import routes

# Hedges would spend the retries of the whole system on calls that are merely
# late; a full or leaving instance costs a hop, not a retry.
OUTBOUND = outbound.OutboundSettings(
    is_hedging_enabled=False,
    max_free_refusals=3,
    forwards_retry_allowance=False,
)
# The data centres of a region are a millisecond apart: a call that finds a
# better instance in another one always goes there.
ROUTING = routing.RoutingSettings(spill_ratio=1.0)
# Part of the permitted retries that daemons use, so that those which a repeat
# causes further down, and requests counted late, still fit.
RETRY_PART = 0.5


class CallPaths:
    """The two front ends of calls, and the paths behind them."""

    def __init__(
        self,
        settings: settings_file.SiteSettings,
        parts: site_parts.SiteParts,
        control: control_plane.ControlPlane,
        lose_worker: worker_link.LoseWorker,
        listeners: site_listeners.SiteListeners,
    ) -> None:
        own = inbound.InboundPath(
            parts.members,
            parts.controller,
            parts.inbound_registry,
            worker_link.SiteWorkerLink(
                parts.connections, parts.worker, lose_worker
            ),
            parts.recorder,
            crashes=control.crashes,
            gate=parts.gate,
        )
        path = outbound.OutboundPath(
            parts.members,
            routing.InstanceChooser(
                parts.members,
                random.getrandbits(control_plane.SEED_BITS),
                ROUTING,
            ),
            own,
            peers.SitePeerLink(
                settings.instance, parts.peer_connections, parts.gate_table
            ),
            parts.recorder,
            retry_budgets=retry_budget.RetryBudgets(
                _make_ratio(settings), parts.count_daemons
            ),
            settings=OUTBOUND,
            gate_table=parts.gate_table,
        )
        self.callers = callers.CallerEndpoint(
            routed_call_builder.RoutedCallBuilder(
                parts.store, parts.inbound_registry
            ),
            path,
            parts.recorder,
            lambda: parts.worker.service,
            lambda: listeners.takes_requests,
        )
        self.peers = peers.PeerEndpoint(
            own, routes.CallerLimits().max_body_bytes, parts.get_gates
        )


def _make_ratio(
    settings: settings_file.SiteSettings,
) -> retry_budget.RetryBudgetSettings:
    return retry_budget.RetryBudgetSettings(
        settings.retry_ratio * RETRY_PART,
        int(settings.retry_window_ms),
        int(settings.retry_floor * RETRY_PART),
    )
