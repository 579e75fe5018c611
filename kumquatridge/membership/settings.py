"""The settings of the exchange between daemons."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Rates and bounds of the control messages.

    A daemon sends one heartbeat to some peer every `heartbeat_ms`, whatever
    the number of members. `suspicion_ms` is how long a suspected member may
    refute before it is taken for dead. `urgent_peers` are told at once of
    changes that can't wait, at most `urgent_per_s` times a second. Where
    changes never end, as on a network that loses messages, only
    `urgent_doubts_per_s` are told at once and `updates_per_s` updates go out in
    the long run, each after a burst. So with the `probes_per_s` asked of
    others; a doubt that nobody may be asked about is dropped. A daemon that a
    stranger asks names `introductions` others.
    """

    heartbeat_ms: int = 500
    answer_timeout_ms: int = 300
    indirect_peers: int = 3
    max_indirect_probes: int = 8
    probes_per_s: float = 1.0
    probe_burst: int = 12
    suspicion_ms: int = 1200
    updates_per_message: int = 8
    urgent_peers: int = 4
    urgent_per_s: int = 2
    urgent_doubts_per_s: float = 0.25
    urgent_doubt_burst: int = 8
    urgent_updates_per_s: float = 8.0
    urgent_updates_burst: int = 128
    updates_per_s: float = 4.0
    updates_burst: int = 128
    introductions: int = 8
    pull_interval_ms: int = 1000
    patient_pulls_per_s: float = 0.25
    patient_pull_burst: int = 6
    keys_per_message: int = 64
    dead_retry_ms: int = 30_000
    dead_retention_ms: int = 3_600_000
    remote_interval_ms: int = 15_000
    remote_failures: int = 2
