"""Load reports, which an instance sends with each of its answers."""

import dataclasses

from kumquatridge.calls import importance as call_importance


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of an instance at the time of an answer.

    `importance`, `depth_class` and `threshold` form the admission level: the
    lowest rank that the instance admits (see `admission.levels`).
    `in_progress` counts the calls that run at the worker and those that are
    queued for a slot, `limit` is the number that may run at once. `latency_ms`
    is the recent median latency of the worker.
    """

    importance: call_importance.Importance
    depth_class: int
    threshold: int
    in_progress: int
    limit: int
    latency_ms: float
