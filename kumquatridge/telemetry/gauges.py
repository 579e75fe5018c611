"""The metrics that a daemon exposes, by name."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CounterSpec:
    """A counter and its labels."""

    name: str
    labels: tuple[str, ...]
    description: str


@dataclasses.dataclass(frozen=True, slots=True)
class GaugeSpec:
    """A gauge without labels."""

    name: str
    description: str


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

IN_PROGRESS = GaugeSpec(
    "kumquatridge_in_progress", "Calls that hold a slot of the own worker."
)
QUEUED = GaugeSpec(
    "kumquatridge_queued", "Calls that wait for a slot of the own worker."
)
LIMIT = GaugeSpec(
    "kumquatridge_limit", "Calls that may hold a slot of the own worker."
)
MEMBERS = GaugeSpec(
    "kumquatridge_members", "Members that the daemon knows, itself included."
)

COUNTERS = (REFUSALS, RETRIES, RETRIES_DENIED, REJECTIONS)
GAUGES = (IN_PROGRESS, QUEUED, LIMIT, MEMBERS)
