"""The settings of the exchange between daemons."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Rates and bounds of the control messages.

    A daemon sends one heartbeat to some peer every `heartbeat_ms`, whatever
    the number of members. `suspicion_ms` is how long a suspected member may
    refute before it is taken for dead. `urgent_peers` are told at once of
    changes that can't wait, at most `urgent_per_s` times a second.
    """

    heartbeat_ms: int = 500
    answer_timeout_ms: int = 300
    indirect_peers: int = 3
    max_indirect_probes: int = 8
    suspicion_ms: int = 1200
    news_per_message: int = 8
    urgent_peers: int = 4
    urgent_per_s: int = 2
    pull_interval_ms: int = 1000
    member_pull_interval_ms: int = 3000
    keys_per_message: int = 64
    dead_retry_ms: int = 30_000
    dead_retention_ms: int = 3_600_000
    remote_interval_ms: int = 15_000
    remote_failures: int = 2
