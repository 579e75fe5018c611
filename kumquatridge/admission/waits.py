"""How long a call may wait for a slot.

A call that waits deep in a chain holds up every slot above it. Once others
are refused for want of one of these, its wait is worth no more than what a
refusal loses. The calls above began one after the other, so that n of them
have held slots for about n * worked / 2 together; a wait costs n * waited.
Both are equal at half of the time worked. To wait up to that point costs at
most twice what knowing the length of the wait beforehand would (ski rental).

Source: A. Karlin et al., "Competitive Snoopy Caching", Algorithmica 1988.
"""

from kumquatridge.admission import level_control
from kumquatridge.admission import service_times
from kumquatridge.admission import settings as admission_settings
from kumquatridge.admission import shares
from kumquatridge.calls import call as calls

BREAK_EVEN_RATIO = 0.5


class WaitBounds:
    """The bounds of the waits at one worker."""

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        times: service_times.ServiceTimes,
        control: level_control.LevelControl,
        slot_shares: shares.SlotShares,
    ) -> None:
        self._settings = settings
        self._times = times
        self._control = control
        self._shares = slot_shares

    def get_wait_ms(self, call: calls.Call, kind: shares.Kind) -> float:
        """Returns for how long a call may wait from now on."""
        expected_ms = self._times.get_expected_ms(call.policy)
        wait_ms = float(call.policy.queue_wait_ms)
        if kind.is_long:
            wait_ms = max(wait_ms, expected_ms)
        elif kind.importance < shares.CRITICAL:
            wait_ms = min(wait_ms, self._get_overload_wait_ms(call))
        return min(wait_ms, call.chain.get_remaining_ms() - expected_ms)

    def _get_overload_wait_ms(self, call: calls.Call) -> float:
        if call.chain.depth == 0:
            if self._control.is_overloaded:
                return self._settings.overload_wait_ms
        elif call.chain.is_contended:
            worth_ms = call.chain.slot_held_ms * BREAK_EVEN_RATIO
            left_ms = worth_ms - call.chain.waited_ms
            return max(left_ms, self._get_release_ms())
        return float(call.policy.queue_wait_ms)

    def _get_release_ms(self) -> float:
        """Returns how often a full worker typically gives a slot back."""
        return self._times.median_ms / max(1, self._shares.limit)
