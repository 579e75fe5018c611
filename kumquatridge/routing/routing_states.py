"""Whether an instance receives regular calls, probes only, or none."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Active:
    """The instance is a regular candidate."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """The instance receives only probes while regular candidates are available.

    A probe is a regular call that is sent to the instance. The next one is due
    at `probe_at_ms`; `probe_interval_ms` is the time between probes and
    `passed_probes` counts consecutive successful ones. `is_failing` is set if
    the instance was ejected for failures and not for being slow, or if the call
    of a probe has failed since.
    """

    probe_at_ms: float
    probe_interval_ms: float
    passed_probes: int = 0
    is_failing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """The instance reported that it accepts no new calls; it receives none."""


RoutingState = Active | Ejected | Drained
