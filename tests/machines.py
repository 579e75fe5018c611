"""Event loops and sizes of the state machines.

A long run of all state machines outside CI:
`python -m pytest -n 2 --hypothesis-profile=long --hypothesis-seed=1
tests/settings/test_fleet_machine.py tests/membership/test_machine.py`.
"""

import asyncio

import hypothesis
import looptime

LONG_PROFILE = "long"
IDLE_CYCLES = 1

SHORT = hypothesis.settings(
    max_examples=10,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)


def register_profiles() -> None:
    """Makes the long run known to pytest's option."""
    hypothesis.settings.register_profile(
        LONG_PROFILE,
        parent=SHORT,
        max_examples=500,
        stateful_step_count=40,
        derandomize=False,
    )


def choose_settings() -> hypothesis.settings:
    """Returns the sizes of the run that pytest was started for."""
    if hypothesis.settings.get_current_profile_name() == LONG_PROFILE:
        return hypothesis.settings.get_profile(LONG_PROFILE)
    return SHORT


def make_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop in virtual time that takes no idle turns.

    The library's default turns the loop 42 times before each step of time.
    """
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(
        noop_cycles=IDLE_CYCLES
    )
    return loop
