"""The slots of one worker and the queue in front of them."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

from kumquatridge import clock
from kumquatridge.admission import verdicts
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import refusals

RETRY_AFTER_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLevel:
    """The least importance that an instance admits at the moment."""

    importance: call_importance.Importance


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    importance: call_importance.Importance
    granted: asyncio.Future[None]


class AdmissionGuard:
    """Admits calls up to the worker's slots, the more important first."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._in_progress = 0
        self._waiting: list[_Waiting] = []
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_progress(self) -> int:
        """Calls that hold a slot now."""
        return self._in_progress

    @property
    def queued(self) -> int:
        """Calls that wait for a slot now."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Calls that may hold a slot at once."""
        return self._slots

    def set_slots(self, slots: int) -> None:
        """Takes the number of slots that the worker announced."""
        self._slots = slots
        self._hand_over()

    async def wait_until_idle(self) -> None:
        """Waits until no call holds a slot."""
        await self._idle.wait()

    def drain(self) -> None:
        """Refuses every call from now on; calls in progress go on."""
        self._draining = True

    @contextlib.asynccontextmanager
    async def admit(self, call: calls.Call) -> AsyncIterator[verdicts.Verdict]:
        """Holds a slot for the call while the context is open."""
        verdict = await self._wait_for_slot(call)
        try:
            yield verdict
        finally:
            if isinstance(verdict, verdicts.Admitted):
                self._release()

    async def _wait_for_slot(self, call: calls.Call) -> verdicts.Verdict:
        if self._draining:
            return verdicts.Refused(refusals.Draining(call.service))
        if self._in_progress < self._slots and not self._waiting:
            self._take_slot()
            return verdicts.Admitted(queued_ms=0.0)
        started_ms = clock.get_now_ms()
        wait_ms = min(
            float(call.policy.queue_wait_ms), call.chain.get_remaining_ms()
        )
        waiting = _Waiting(
            call.chain.importance, asyncio.get_running_loop().create_future()
        )
        self._waiting.append(waiting)
        try:
            async with asyncio.timeout(max(0.0, wait_ms) / 1000.0):
                await waiting.granted
        except TimeoutError:
            waited_ms = int(clock.get_now_ms() - started_ms)
            return verdicts.Refused(
                refusals.QueueTimeout(waited_ms, RETRY_AFTER_MS)
            )
        except asyncio.CancelledError:
            if waiting.granted.done() and not waiting.granted.cancelled():
                self._release()
            raise
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
        return verdicts.Admitted(clock.get_now_ms() - started_ms)

    def _take_slot(self) -> None:
        self._in_progress += 1
        self._idle.clear()

    def _release(self) -> None:
        self._in_progress -= 1
        if self._in_progress == 0:
            self._idle.set()
        self._hand_over()

    def _hand_over(self) -> None:
        while self._waiting and self._in_progress < self._slots:
            chosen = max(self._waiting, key=lambda item: item.importance)
            self._waiting.remove(chosen)
            if not chosen.granted.done():
                self._take_slot()
                chosen.granted.set_result(None)
