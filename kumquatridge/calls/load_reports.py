"""What an instance says about its load on each of its answers."""

import dataclasses

from kumquatridge.calls import importance as call_importance


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of an instance at the moment of an answer.

    `importance`, `depth_class` and `threshold` name the least call that the
    instance admits (see `admission.levels`). `latency_ms` is the recent
    typical time that the worker takes.
    """

    importance: call_importance.Importance
    depth_class: int
    threshold: int
    in_progress: int
    limit: int
    latency_ms: float
