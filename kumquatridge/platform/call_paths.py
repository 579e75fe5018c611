"""Assembles the inbound and outbound call paths and their front ends."""

import random

from kumquatridge.callpath import inbound
from kumquatridge.callpath import outbound
from kumquatridge.callpath import routed_call_builder
from kumquatridge.platform import callers
from kumquatridge.platform import components as daemon_components
from kumquatridge.platform import control_plane
from kumquatridge.platform import listeners as daemon_listeners
from kumquatridge.platform import peers
from kumquatridge.platform import settings_file
from kumquatridge.platform import worker_link
from kumquatridge.routing import chooser as routing
from kumquatridge.settings import routes

# Hedged requests would use up the retry budget of the whole system on calls
# that are merely slow. A refusal by a full or draining instance reached no
# worker, so it costs one network hop but no retry.
OUTBOUND_SETTINGS = outbound.OutboundSettings(
    is_hedging_enabled=False,
    max_free_refusals=3,
    forwards_retry_allowance=False,
)
# A `spill_ratio` of 1.0 sets no limit on the calls to other data centres of the
# region: these are only 1 ms apart, so a better instance in another data centre
# is always used.
ROUTING_SETTINGS = routing.RoutingSettings(spill_ratio=1.0)


class CallPaths:
    """The front ends for callers and for peers, and the paths behind them."""

    def __init__(
        self,
        settings: settings_file.PlatformSettings,
        components: daemon_components.DaemonComponents,
        control: control_plane.ControlPlane,
        on_worker_lost: worker_link.WorkerLostCallback,
        listeners: daemon_listeners.DaemonListeners,
    ) -> None:
        inbound_path = inbound.InboundPath(
            components.members,
            components.controller,
            components.inbound_registry,
            worker_link.PlatformWorkerLink(
                components.connections, components.worker, on_worker_lost
            ),
            components.recorder,
            crashes=control.crashes,
            gate=components.gate,
            offer_control=components.offer_control,
        )
        outbound_path = outbound.OutboundPath(
            components.members,
            routing.InstanceChooser(
                components.members,
                random.getrandbits(control_plane.RANDOM_SEED_BITS),
                ROUTING_SETTINGS,
            ),
            inbound_path,
            peers.PlatformPeerLink(
                settings.instance,
                components.peer_connections,
                components.gate_table,
            ),
            components.recorder,
            retry_budgets=None,
            settings=OUTBOUND_SETTINGS,
            gate_table=components.gate_table,
        )
        self.caller_endpoint = callers.CallerEndpoint(
            routed_call_builder.RoutedCallBuilder(
                components.store, components.inbound_registry
            ),
            outbound_path,
            components.recorder,
            lambda: components.worker.service,
            listeners.accepts,
            limiter=components.limiter,
        )
        self.peer_endpoint = peers.PeerEndpoint(
            inbound_path,
            routes.CallerLimits().max_body_bytes,
            components.get_gates,
            components.limiter,
        )
