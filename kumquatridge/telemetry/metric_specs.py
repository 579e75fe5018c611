"""Names, labels and descriptions of the metrics that a daemon exposes.

The descriptions use these terms: a root is a call that no other call caused. A
relay is a daemon that contacts the platform or another data centre on behalf of
its own data centre. The own worker is the one on the daemon's instance.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CounterSpec:
    """Name, labels and description of a counter."""

    name: str
    labels: tuple[str, ...]
    description: str


@dataclasses.dataclass(frozen=True, slots=True)
class GaugeSpec:
    """Name, description and labels of a gauge."""

    name: str
    description: str
    labels: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramSpec:
    """A histogram; `bounds` are the upper bounds of its buckets."""

    name: str
    labels: tuple[str, ...]
    description: str
    bounds: tuple[float, ...]


REFUSALS = CounterSpec(
    "kumquatridge_refusals",
    ("reason", "service", "importance"),
    "Calls that were not run.",
)
RETRIES = CounterSpec(
    "kumquatridge_retries",
    ("reason", "service"),
    "Further attempts at calls.",
)
RETRIES_DENIED = CounterSpec(
    "kumquatridge_retries_denied",
    ("reason", "service"),
    "Further attempts that would have helped but were not allowed.",
)
REJECTIONS = CounterSpec(
    "kumquatridge_rejections",
    ("reason",),
    "Requests that were refused before they became calls.",
)
CUT_ANSWERS = CounterSpec(
    "kumquatridge_cut_answers",
    ("reason", "service"),
    "Answers cut off after their head was sent.",
)

IN_PROGRESS = GaugeSpec(
    "kumquatridge_in_progress", "Calls that hold a slot of the own worker."
)
QUEUED = GaugeSpec(
    "kumquatridge_queued", "Calls that wait for a slot of the own worker."
)
LIMIT = GaugeSpec(
    "kumquatridge_limit", "Calls that may hold a slot of the own worker."
)
OVERLOADED = GaugeSpec(
    "kumquatridge_overloaded", "1 while the own worker is overloaded, else 0."
)
ADMITTED_IMPORTANCE = GaugeSpec(
    "kumquatridge_admitted_importance",
    "The least importance admitted: 0 background to 3 critical.",
)
WORKER_LATENCY_MS = GaugeSpec(
    "kumquatridge_worker_latency_ms", "Median latency of the own worker."
)
MEMBERS = GaugeSpec(
    "kumquatridge_members", "Members that the daemon knows, itself included."
)

SETTINGS_REJECTIONS = CounterSpec(
    "kumquatridge_settings_rejections",
    ("reason",),
    "Versions of settings nodes that were not taken.",
)
PLATFORM_FAILURES = CounterSpec(
    "kumquatridge_platform_failures",
    ("operation",),
    "Calls of this relay that the platform did not answer.",
)
MISSED_CHANGES = CounterSpec(
    "kumquatridge_settings_missed_changes",
    ("found_by",),
    "Changes that the platform's watch did not tell.",
)
SETTINGS_NODES = GaugeSpec(
    "kumquatridge_settings_nodes",
    "Nodes of which a version is known, deleted ones included.",
)
SETTINGS_VERSION = GaugeSpec(
    "kumquatridge_settings_version",
    "Sum of the versions of all nodes; grows with every change.",
)
SETTINGS_ORIGIN = GaugeSpec(
    "kumquatridge_settings_origin",
    "0: only the settings file, 1: some versions, 2: all versions known.",
)

PEER_FAILURES = CounterSpec(
    "kumquatridge_peer_failures",
    ("reason",),
    "Control messages that came to nothing.",
)
MEMBER_VERDICTS = CounterSpec(
    "kumquatridge_member_verdicts",
    ("verdict",),
    "Members suspected, dead, refuted or left.",
)
CONTROL_BYTES = CounterSpec(
    "kumquatridge_control_bytes",
    ("direction",),
    "Bytes of control messages between daemons.",
)
PLATFORM_CUT_OFF_S = GaugeSpec(
    "kumquatridge_platform_cut_off_s",
    "Seconds since the platform answered a relay; 0 while it answers one.",
)
DATA_CENTRE_CUT_OFF_S = GaugeSpec(
    "kumquatridge_data_centre_cut_off_s",
    "Seconds since another data centre answered; 0 while it is reachable.",
    ("data_centre",),
)

ANSWERS = CounterSpec(
    "kumquatridge_answers",
    ("status", "service"),
    "Answers to requests of the own machine.",
)
# Roots of an importance below the integer part are refused, and of the roots of
# that importance itself the share that is the fractional part. See
# kumquatridge.admission.gates.
GATE_LEVEL = GaugeSpec(
    "kumquatridge_gate_level",
    "Importance up to which roots are turned away; the fraction is a part.",
)
LATENCY_MS = HistogramSpec(
    "kumquatridge_latency_ms",
    ("service",),
    "Times from a request's arrival to its answer.",
    (5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000),
)

COUNTERS = (
    REFUSALS,
    RETRIES,
    RETRIES_DENIED,
    REJECTIONS,
    CUT_ANSWERS,
    ANSWERS,
    SETTINGS_REJECTIONS,
    PLATFORM_FAILURES,
    MISSED_CHANGES,
    PEER_FAILURES,
    MEMBER_VERDICTS,
    CONTROL_BYTES,
)
GAUGES = (
    IN_PROGRESS,
    QUEUED,
    LIMIT,
    OVERLOADED,
    ADMITTED_IMPORTANCE,
    WORKER_LATENCY_MS,
    MEMBERS,
    SETTINGS_NODES,
    SETTINGS_VERSION,
    SETTINGS_ORIGIN,
    PLATFORM_CUT_OFF_S,
    DATA_CENTRE_CUT_OFF_S,
    GATE_LEVEL,
)

HISTOGRAMS = (LATENCY_MS,)
