"""Settings of the gossip between daemons."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Rates and limits of the control messages.

    A daemon sends one heartbeat to a random peer every `heartbeat_ms` on
    average, whatever the number of members. It asks up to `indirect_peers`
    other members to probe a peer that does not answer, and itself runs up to
    `max_indirect_probes` at a time that other members have requested. A
    suspected member is confirmed dead unless it refutes the suspicion within
    `suspicion_timeout_ms`.

    Urgent changes are sent to `urgent_fanout` random peers at once, at most
    `urgent_rounds_per_s` times a second. Token buckets bound the traffic when
    changes never stop, as on a network that loses messages. Each has a rate
    and a burst: suspicions and refutations that are sent at once
    (`urgent_suspicions_per_s`), urgent and other updates in heartbeats
    (`urgent_updates_per_s`, `updates_per_s`), pulls of lazy topics
    (`lazy_pulls_per_s`), and requests for indirect probes (`probes_per_s`). A
    peer is not suspected while other members could probe it but
    `probes_per_s` allows no request.

    A heartbeat carries up to `updates_per_message` member updates, and one
    request asks for up to `keys_per_message` entries of a topic. After a pull
    that brought nothing, the same topic is pulled from the same peer at most
    every `pull_interval_ms`, a lazy topic from any peer. A daemon that is
    contacted by an unknown one answers with up to `introduced_members` other
    members.

    A request counts as unanswered after `answer_timeout_ms`; for heartbeats and
    suspicions the time-out is longer while this daemon is in bad health (see
    `health`). For the topics in `topics.LARGE_TOPICS` it is
    `large_entries_timeout_ms`: a link of 100 Mbit/s transmits ten of the
    largest entries in it. A dead member is contacted about every
    `dead_retry_ms`, in case it was only cut off, and is removed from the member
    table after `dead_retention_ms`.

    Relays query each other data centre every `remote_interval_ms` on average,
    and mark it as cut off after `remote_failure_threshold` failures in a row.
    """

    heartbeat_ms: int = 500
    answer_timeout_ms: int = 300
    large_entries_timeout_ms: int = 1000
    indirect_peers: int = 3
    max_indirect_probes: int = 8
    probes_per_s: float = 1.0
    probe_burst: int = 12
    suspicion_timeout_ms: int = 1200
    updates_per_message: int = 8
    urgent_fanout: int = 4
    urgent_rounds_per_s: int = 2
    urgent_suspicions_per_s: float = 0.25
    urgent_suspicion_burst: int = 8
    urgent_updates_per_s: float = 8.0
    urgent_updates_burst: int = 128
    updates_per_s: float = 4.0
    updates_burst: int = 128
    introduced_members: int = 8
    pull_interval_ms: int = 1000
    lazy_pulls_per_s: float = 0.25
    lazy_pull_burst: int = 6
    keys_per_message: int = 64
    dead_retry_ms: int = 30_000
    dead_retention_ms: int = 3_600_000
    remote_interval_ms: int = 15_000
    remote_failure_threshold: int = 2
