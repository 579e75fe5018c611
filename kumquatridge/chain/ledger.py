"""Records of the inbound calls that this daemon's worker is running.

The worker forwards an opaque token with the calls it makes. The ledger finds
the inbound call by that token, so that importance, deadline and retry
allowance are inherited and can't be raised by the application.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import secrets

from kumquatridge.chain import context

TOKEN_BYTES = 16


class RetryAccount:
    """The retry allowance that one inbound call holds.

    Retries are moved, never copied: what a child call gets is taken out here
    and what the child did not spend is put back.
    """

    def __init__(self, granted: int) -> None:
        self._left = granted

    @property
    def left(self) -> int:
        """Retries that are neither spent nor lent to a child."""
        return self._left

    def lend(self, wanted: int) -> int:
        """Takes up to `wanted` retries out and returns how many."""
        lent = max(0, min(wanted, self._left))
        self._left -= lent
        return lent

    def give_back(self, unspent: int) -> None:
        """Puts back what a child call did not spend."""
        self._left += unspent


@dataclasses.dataclass(frozen=True, slots=True)
class InboundRecord:
    """An inbound call in progress at this daemon's worker."""

    token: str
    chain: context.ChainContext
    retries: RetryAccount


class Ledger:
    """All inbound calls in progress, by the token given to the worker."""

    def __init__(self) -> None:
        self._records: dict[str, InboundRecord] = {}

    @contextlib.contextmanager
    def record(self, chain: context.ChainContext) -> Iterator[InboundRecord]:
        """Keeps a record of an inbound call for as long as it runs."""
        record = InboundRecord(
            secrets.token_hex(TOKEN_BYTES), chain, RetryAccount(chain.retries)
        )
        self._records[record.token] = record
        try:
            yield record
        finally:
            del self._records[record.token]

    def find(self, token: str) -> InboundRecord | None:
        """Returns the inbound call of a token, or None when it has ended."""
        return self._records.get(token)
