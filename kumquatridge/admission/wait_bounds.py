"""Bounds on how long a call may wait for a slot.

While a call waits deep in a chain, every call above it holds a slot. Once other
calls are refused for lack of these slots, the wait should cost no more than the
work that a refusal would lose. Both are measured in time for which slots are
held. If n calls above have started one after the other during a working time t,
they have held slots for about n * t / 2 in total, and a wait of w costs another
n * w. Both are equal at w = t / 2. Waiting up to that point costs at most twice
as much as with the length of the wait known in advance (the ski rental
problem).

Source: A. Karlin et al., "Competitive Snoopy Caching", Algorithmica 1988.
"""

from kumquatridge.admission import level_control
from kumquatridge.admission import service_times
from kumquatridge.admission import settings as admission_settings
from kumquatridge.admission import shares
from kumquatridge.calls import call as calls

# The break-even wait as a multiple of the working time: w / t above.
BREAK_EVEN_RATIO = 0.5


class WaitBounds:
    """Computes the wait bounds of calls at one worker."""

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        times: service_times.ServiceTimes,
        control: level_control.LevelControl,
        slot_shares: shares.SlotShares,
    ) -> None:
        self._settings = settings
        self._service_times = times
        self._level_control = control
        self._shares = slot_shares

    def get_wait_ms(
        self, call: calls.Call, call_class: shares.CallClass
    ) -> float:
        """Returns how long a call may wait for a slot, from now on."""
        expected_ms = self._service_times.get_expected_ms(call.policy)
        wait_ms = float(call.policy.queue_wait_ms)
        if call_class.is_long_running:
            wait_ms = max(wait_ms, expected_ms)
        elif call_class.importance < shares.CRITICAL:
            wait_ms = min(wait_ms, self._get_overload_wait_ms(call))
        return min(wait_ms, call.chain.get_remaining_ms() - expected_ms)

    def _get_overload_wait_ms(self, call: calls.Call) -> float:
        """Returns the bound that applies to a short call below CRITICAL.

        For a nested call, `slot_held_ms` of its chain is the working time t of
        the module's docstring. The time for which the calls above have waited
        is deducted from the break-even wait; at least one release interval is
        left.
        """
        if call.chain.depth == 0:
            if self._level_control.is_overloaded:
                return self._settings.overload_wait_ms
        elif call.chain.is_contended:
            break_even_ms = call.chain.slot_held_ms * BREAK_EVEN_RATIO
            remaining_ms = break_even_ms - call.chain.waited_ms
            return max(remaining_ms, self._get_release_interval_ms())
        return float(call.policy.queue_wait_ms)

    def _get_release_interval_ms(self) -> float:
        """Returns the typical time between slot releases of a full worker."""
        return self._service_times.median_ms / max(1, self._shares.limit)
