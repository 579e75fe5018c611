"""The retry allowance of one call.

A retry that is reserved for a child is subtracted from its parent, so that the
retries of a whole call graph never exceed what its root was granted.
"""


class RetryAllowance:
    """Retries that a call spends, reserves for children or passes back.

    Retries that a child does not spend are released; the share of a child whose
    answer is lost is lost too.
    """

    def __init__(self, granted: int) -> None:
        self._remaining = max(0, granted)
        self._is_closed = False

    @property
    def remaining(self) -> int:
        """Retries that are neither spent nor reserved for a child."""
        return self._remaining

    def try_consume(self) -> bool:
        """Spends one retry; returns whether there was one."""
        if self._remaining == 0:
            return False
        self._remaining -= 1
        return True

    def reserve(self, requested: int) -> int:
        """Reserves up to `requested` retries and returns their number."""
        reserved = max(0, min(requested, self._remaining))
        self._remaining -= reserved
        return reserved

    def reserve_half(self, requested: int) -> int:
        """Reserves at most half of the remaining retries, rounded up.

        The rest is for later children; a single retry goes to the first one.
        """
        return self.reserve(min(requested, (self._remaining + 1) // 2))

    def release(self, unspent: int) -> None:
        """Adds the retries that a child did not spend, unless closed."""
        if not self._is_closed:
            self._remaining += max(0, unspent)

    def close(self) -> int:
        """Returns the remaining retries and ignores later releases.

        Called when the outcome of the call is known. The outcome carries the
        remaining retries back to the parent, so retries that are released later
        can no longer be passed back.
        """
        self._is_closed = True
        remaining, self._remaining = self._remaining, 0
        return remaining
