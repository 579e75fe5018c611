"""Records of the inbound calls that this daemon's worker is running.

The worker forwards an opaque token with the calls it makes. The registry finds
the inbound call by that token, so that importance, deadline and retry
allowance are inherited and can't be raised by the application.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import secrets
import types

from kumquatridge import clock
from kumquatridge.chain import context
from kumquatridge.chain import retry_allowance

TOKEN_BYTES = 16
MAX_FAILED_CHILDREN = 256

ChildTarget = tuple[str, str, str]


class InboundCall:
    """An inbound call in progress at this daemon's worker.

    `caller` names who asked at the root, for the scope of request keys;
    `queued_ms` is how long the call waited for its slot, and `is_contended`
    whether others are refused for want of it.
    """

    def __init__(
        self,
        chain: context.ChainContext,
        caller: str,
        queued_ms: float = 0.0,
        is_contended: bool = False,
        *,
        token: str = "",
    ) -> None:
        self.token = token or secrets.token_hex(TOKEN_BYTES)
        self.chain = chain
        self.caller = caller
        self.retries = retry_allowance.RetryAllowance(chain.retry_allowance)
        self.child_was_refused = False
        self._started_ms = clock.get_now_ms()
        self._queued_ms = queued_ms
        self._is_contended = is_contended
        self._failed: set[ChildTarget] = set()
        self._children: set[asyncio.Task[object]] = set()

    @property
    def slot_held_ms(self) -> float:
        """For how long this call and those above it have held slots."""
        held_ms = clock.get_now_ms() - self._started_ms
        return self.chain.slot_held_ms + held_ms

    @property
    def waited_ms(self) -> float:
        """For how long this call and those above it waited with slots held.

        The wait of a root holds no slot and doesn't count.
        """
        if self.chain.depth == 0:
            return 0.0
        return self.chain.waited_ms + self._queued_ms

    @property
    def is_contended(self) -> bool:
        """Whether others are refused for want of a slot held down to here."""
        return self._is_contended or self.chain.is_contended

    @property
    def child_failed(self) -> bool:
        """Tells whether a child call came to nothing."""
        return bool(self._failed)

    @contextlib.contextmanager
    def track_child(self) -> Iterator[None]:
        """Has the running task cancelled if this call is cut off."""
        task = asyncio.current_task()
        assert task is not None
        self._children.add(task)
        try:
            yield
        finally:
            self._children.discard(task)

    def is_retry(self, target: ChildTarget) -> bool:
        """Tells whether a child call to the same target failed before."""
        return target in self._failed

    def record_failure(self, target: ChildTarget) -> None:
        """Remembers a failed child, whose repetition is a retry."""
        if len(self._failed) < MAX_FAILED_CHILDREN:
            self._failed.add(target)

    def record_refusal(self) -> None:
        """Remembers that a child was refused, which the worker may pass up."""
        self.child_was_refused = True

    def cancel_children(self) -> None:
        """Cancels the child calls, whose answers nobody can use any more."""
        for task in tuple(self._children):
            task.cancel()


class InboundCallRegistry:
    """All inbound calls in progress, by the token given to the worker."""

    def __init__(self) -> None:
        self._records: dict[str, InboundCall] = {}

    def __len__(self) -> int:
        """Returns how many inbound calls are in progress."""
        return len(self._records)

    def register(
        self,
        chain: context.ChainContext,
        caller: str = "",
        queued_ms: float = 0.0,
        is_contended: bool = False,
        *,
        token: str = "",
    ) -> "InboundCallScope":
        """Keeps a record of an inbound call for as long as it runs.

        `token` is what the worker's own calls name it by; a random one
        without. Leaving by an error or a cancellation cuts off the child calls.
        """
        record = InboundCall(
            chain, caller, queued_ms, is_contended, token=token
        )
        return InboundCallScope(self._records, record)

    def find(self, token: str) -> InboundCall | None:
        """Returns the inbound call of a token, or None when it has ended."""
        return self._records.get(token)


class InboundCallScope:
    """Keeps a record in the registry while its context is open."""

    def __init__(
        self, records: dict[str, InboundCall], record: InboundCall
    ) -> None:
        self._records = records
        self._record = record

    def __enter__(self) -> InboundCall:
        """Enters the record."""
        self._records[self._record.token] = self._record
        return self._record

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes the entry."""
        self.close(error)

    def close(self, error: BaseException | None) -> None:
        """Takes the record out; cuts off the child calls after an error."""
        if error is not None:
            self._record.cancel_children()
        if self._records.get(self._record.token) is self._record:
            del self._records[self._record.token]
