"""The retry allowance of one call: how many retries it may still cause.

The retries that a call reserves for a child, which is a child call or an
attempt at an instance, are subtracted from those of the call. Therefore the
retries of a whole chain, which is a root request and the calls it causes, never
exceed what the root was granted.
"""


class RetryAllowance:
    """Retries that a call spends, reserves for children or passes back.

    `granted` is what the call may spend at first. Retries that a child does not
    spend are released; if the answer of a child is lost, so are its retries.
    """

    def __init__(self, granted: int) -> None:
        self._remaining = max(0, granted)
        self._is_closed = False

    @property
    def remaining(self) -> int:
        """Retries that are neither spent nor reserved for a child."""
        return self._remaining

    def try_consume(self) -> bool:
        """Spends one retry; returns False when none remains."""
        if self._remaining == 0:
            return False
        self._remaining -= 1
        return True

    def reserve(self, requested: int) -> int:
        """Reserves up to `requested` retries for a child.

        Returns the number that is reserved.
        """
        reserved = max(0, min(requested, self._remaining))
        self._remaining -= reserved
        return reserved

    def reserve_half(self, requested: int) -> int:
        """Reserves up to `requested`, at most half of the remaining retries.

        The half is rounded up. The rest is for later children; a single
        remaining retry goes to the first of them that asks.
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
