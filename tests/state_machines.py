"""Hypothesis settings and event loops of stateful Hypothesis tests.

To run all of them with more examples, outside CI:
`python -m pytest -n 2 --hypothesis-profile=long --hypothesis-seed=1
tests/settings/test_fleet_machine.py tests/membership/test_machine.py`.
"""

import asyncio

import hypothesis
import looptime

LONG_PROFILE_NAME = "long"
NOOP_CYCLES = 1

# Few examples, so that a run in CI is short, and the same ones in each run.
SHORT_SETTINGS = hypothesis.settings(
    max_examples=10,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)


def register_profiles() -> None:
    """Registers the long profile for `--hypothesis-profile`."""
    hypothesis.settings.register_profile(
        LONG_PROFILE_NAME,
        parent=SHORT_SETTINGS,
        max_examples=500,
        stateful_step_count=40,
        derandomize=False,
    )


def choose_settings() -> hypothesis.settings:
    """Returns the settings of the profile that pytest was started with."""
    if hypothesis.settings.get_current_profile_name() == LONG_PROFILE_NAME:
        return hypothesis.settings.get_profile(LONG_PROFILE_NAME)
    return SHORT_SETTINGS


def make_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop in virtual time.

    looptime runs NOOP_CYCLES iterations without work before it advances the
    clock; its default is 42.
    """
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(
        noop_cycles=NOOP_CYCLES
    )
    return loop
