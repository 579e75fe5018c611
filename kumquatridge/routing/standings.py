"""Whether an instance takes its part of the calls, as a family."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Active:
    """The instance is chosen like the others."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """The instance gets nothing but a test call now and then.

    The next test is due at `test_at_ms`; `wait_ms` is the time between
    tests and `passed` counts those that went well in a row. `fails` tells
    that it was ejected for failures, not for being slow.
    """

    test_at_ms: float
    wait_ms: float
    passed: int = 0
    fails: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """The instance itself said that it takes no new calls."""


Standing = Active | Ejected | Drained
