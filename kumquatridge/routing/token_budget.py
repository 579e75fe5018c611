"""A token bucket that limits some calls to a fraction of all calls."""

# Largest burst of limited calls.
MAX_TOKENS = 32.0


class TokenBudget:
    """A bucket that gains `ratio` tokens per call and loses one per use.

    The bucket starts full and holds at most `MAX_TOKENS`, so that a short burst
    is admitted immediately.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = MAX_TOKENS

    def record_call(self) -> None:
        """Adds the tokens that one call gains."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def has_token(self) -> bool:
        """Returns whether `try_acquire` would succeed."""
        return self._tokens >= 1.0

    def try_acquire(self) -> bool:
        """Consumes a token; returns False if there is none."""
        if not self.has_token():
            return False
        self._tokens -= 1.0
        return True
