"""Names, labels and descriptions of the metrics that a daemon exposes."""

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
    "Calls that were refused.",
)
RETRIES = CounterSpec(
    "kumquatridge_retries",
    ("reason", "service"),
    "Retries of calls.",
)
RETRIES_DENIED = CounterSpec(
    "kumquatridge_retries_denied",
    ("reason", "service"),
    "Retries that might have helped but were not allowed.",
)
REJECTIONS = CounterSpec(
    "kumquatridge_rejections",
    ("reason",),
    "Requests that were rejected before they became calls.",
)
CUT_ANSWERS = CounterSpec(
    "kumquatridge_cut_answers",
    ("reason", "service"),
    "Answers that were cut off after their head was sent.",
)

IN_PROGRESS = GaugeSpec(
    "kumquatridge_in_progress", "Calls that hold a slot of the local worker."
)
QUEUED = GaugeSpec(
    "kumquatridge_queued", "Calls that wait for a slot of the local worker."
)
LIMIT = GaugeSpec(
    "kumquatridge_limit",
    "Maximum number of calls that may hold a slot of the local worker.",
)
OVERLOADED = GaugeSpec(
    "kumquatridge_overloaded", "1 while the local worker is overloaded, else 0."
)
ADMITTED_IMPORTANCE = GaugeSpec(
    "kumquatridge_admitted_importance",
    "Lowest importance admitted: 0 (background) to 3 (critical).",
)
WORKER_LATENCY_MS = GaugeSpec(
    "kumquatridge_worker_latency_ms", "Median latency of the local worker."
)
MEMBERS = GaugeSpec(
    "kumquatridge_members", "Members known to the daemon, including itself."
)

SETTINGS_REJECTIONS = CounterSpec(
    "kumquatridge_settings_rejections",
    ("reason",),
    "Versions of settings nodes that were rejected.",
)
PLATFORM_FAILURES = CounterSpec(
    "kumquatridge_platform_failures",
    ("operation",),
    "Requests of this relay that the platform did not answer.",
)
MISSED_CHANGES = CounterSpec(
    "kumquatridge_settings_missed_changes",
    ("found_by",),
    "Changes that the platform's watch did not report.",
)
SETTINGS_NODES = GaugeSpec(
    "kumquatridge_settings_nodes",
    "Settings nodes with a known version, including deleted ones.",
)
SETTINGS_VERSION = GaugeSpec(
    "kumquatridge_settings_version",
    "Sum of the versions of all nodes; increases with every change.",
)
SETTINGS_ORIGIN = GaugeSpec(
    "kumquatridge_settings_origin",
    "0: settings file only, 1: some versions known, 2: all versions known.",
)

PEER_FAILURES = CounterSpec(
    "kumquatridge_peer_failures",
    ("reason",),
    "Control messages that failed.",
)
MEMBER_VERDICTS = CounterSpec(
    "kumquatridge_member_verdicts",
    ("verdict",),
    "Decisions about members: suspected, dead, refuted or left.",
)
CONTROL_BYTES = CounterSpec(
    "kumquatridge_control_bytes",
    ("direction",),
    "Bytes of control messages sent to and received from other daemons.",
)
PLATFORM_CUT_OFF_S = GaugeSpec(
    "kumquatridge_platform_cut_off_s",
    "Seconds since the platform last answered a relay; 0 while reachable.",
)
DATA_CENTRE_CUT_OFF_S = GaugeSpec(
    "kumquatridge_data_centre_cut_off_s",
    "Seconds since a remote data centre last answered; 0 while reachable.",
    ("data_centre",),
)

ANSWERS = CounterSpec(
    "kumquatridge_answers",
    ("status", "service"),
    "Answers to requests that arrived at this instance.",
)
GATE_LEVEL = GaugeSpec(
    "kumquatridge_gate_level",
    "Level of the gate: the integer part is the number of importances whose"
    " roots are rejected, the fraction the share rejected of the next one.",
)
LATENCY_MS = HistogramSpec(
    "kumquatridge_latency_ms",
    ("service",),
    "Time from a request's arrival to its answer, in milliseconds.",
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
