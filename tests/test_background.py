"""A background task is restarted after errors and ends with its owner."""

import asyncio

import pytest

from kumquatridge import background
from kumquatridge.telemetry import events


class FailingOwner(background.BackgroundOwner):
    """Fails `failures` times, then waits until it is cancelled."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.starts = 0
        self.is_cancelled = False

    async def _run(self) -> None:
        self.starts += 1
        if self.starts <= self.failures:
            raise ValueError("transient fault")
        try:
            await asyncio.Event().wait()
        finally:
            self.is_cancelled = True


@pytest.mark.looptime
@pytest.mark.parametrize("failures", [0, 1, 3])
async def test_failed_task_is_restarted_until_cancelled(
    failures: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged: list[events.Event] = []
    monkeypatch.setattr(events, "log", logged.append)
    async with FailingOwner(failures) as owner:
        # Long enough for all restarts: in the virtual time of `looptime`, only
        # the delays before the restarts take time.
        await asyncio.sleep((failures + 1) * background.RESTART_DELAY_S)
        assert owner.starts == failures + 1
        assert not owner.is_cancelled
    assert owner.is_cancelled
    failed = events.BackgroundTaskFailed(
        "FailingOwner", "ValueError('transient fault')"
    )
    assert logged == [failed] * failures
