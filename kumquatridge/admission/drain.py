"""Which calls of callers a stopping daemon accepts, and until when.

The process is killed at the end of its grace period, and whatever is still in
progress then is lost. A call is therefore accepted only if it ends before that:
by its answer, or at its deadline. How fast a worker is doesn't matter.
"""

import dataclasses

from kumquatridge.chain import context

# Callers send requests for about 2 s after the readiness check starts to fail.
NOTICE_MS = 2500.0
# Limits `NOTICE_MS` to this fraction of a short grace period.
MAX_NOTICE_RATIO = 0.5
# The drain ends this long before SIGKILL, so that a slow instance can still
# answer the calls in progress and close its listeners. No caller relies on the
# result of a call in the last second before SIGKILL.
KILL_MARGIN_MS = 900.0
# Limits `KILL_MARGIN_MS` to this fraction of a short grace period.
MAX_KILL_MARGIN_RATIO = 0.25
# Fraction of the margin in which the last answers leave the write buffers.
FLUSH_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """The drain of a daemon, which is killed `grace_ms` after `started_ms`.

    All times are on the clock of the process.
    """

    started_ms: float
    grace_ms: float

    @property
    def notice_until_ms(self) -> float:
        """Returns when callers should have noticed that the daemon stops."""
        notice_ms = min(NOTICE_MS, self.grace_ms * MAX_NOTICE_RATIO)
        return self.started_ms + notice_ms

    @property
    def ends_ms(self) -> float:
        """Returns when the calls still in progress are given up."""
        return self.started_ms + self.grace_ms - self._kill_margin_ms

    @property
    def flushed_ms(self) -> float:
        """Returns when the daemon stops to wait for its answers to be read."""
        return self.ends_ms + self._kill_margin_ms * FLUSH_RATIO

    @property
    def _kill_margin_ms(self) -> float:
        return min(KILL_MARGIN_MS, self.grace_ms * MAX_KILL_MARGIN_RATIO)

    def accepts(self, chain: context.ChainContext, now_ms: float) -> bool:
        """Returns whether a call that arrives now is accepted.

        Callers that can't know yet that the daemon stops are served whatever
        their deadline. Child calls belong to a request in progress, which would
        fail without them.
        """
        if now_ms >= self.ends_ms:
            return False
        if now_ms < self.notice_until_ms or chain.depth > 0:
            return True
        return chain.expires_at_ms <= self.ends_ms
