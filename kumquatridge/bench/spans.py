"""Spans of virtual time, in milliseconds since the start of a run."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A half-open span of virtual time; the end is excluded."""

    starts_ms: float
    ends_ms: float

    @property
    def length_ms(self) -> float:
        """Length of the span."""
        return self.ends_ms - self.starts_ms

    def contains(self, at_ms: float) -> bool:
        """Returns whether a time lies in the span."""
        return self.starts_ms <= at_ms < self.ends_ms
