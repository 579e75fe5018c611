"""Registry of the inbound calls that the local worker is running.

The worker sends the token of an inbound call along with the child calls that it
makes for it. By the token, the registry finds the inbound call, which is the
parent of these child calls. They inherit its importance, deadline and retry
allowance, which the application therefore can't raise. A call without a parent
is the root of a chain, which consists of the root and the calls it causes.
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
# Number of failed targets remembered for each inbound call. Repeats of child
# calls to targets beyond this number do not count as retries.
MAX_FAILED_TARGETS = 256

# Service, method and path of a child call.
ChildTarget = tuple[str, str, str]


class InboundCall:
    """An inbound call in progress at the local worker.

    `chain` is the context of this call. `retry_allowance` has the retries of
    this call that are neither spent nor reserved for child calls. `caller` is
    the caller of the root. Child calls inherit it, since idempotency keys are
    told apart by caller. The call holds one of the instance's slots, each of
    which admits one call; `slot_wait_ms` is how long the call waited for it.
    The argument `is_contended` tells whether other calls are refused for lack
    of this slot. The property of the same name also tells whether any are
    refused for lack of a slot that an ancestor holds. `child_was_refused` is
    set once a child call was refused (see `record_child_refusal`).
    """

    def __init__(
        self,
        chain: context.ChainContext,
        caller: str,
        slot_wait_ms: float = 0.0,
        is_contended: bool = False,
        *,
        token: str = "",
    ) -> None:
        self.token = token or secrets.token_hex(TOKEN_BYTES)
        self.chain = chain
        self.caller = caller
        self.retry_allowance = retry_allowance.RetryAllowance(
            chain.retry_allowance
        )
        self.child_was_refused = False
        self._started_ms = clock.get_now_ms()
        self._slot_wait_ms = slot_wait_ms
        self._is_contended = is_contended
        self._failed_targets: set[ChildTarget] = set()
        self._children: set[asyncio.Task[object]] = set()

    @property
    def slot_held_ms(self) -> float:
        """Total time for which this call and its ancestors have held slots."""
        held_ms = clock.get_now_ms() - self._started_ms
        return self.chain.slot_held_ms + held_ms

    @property
    def waited_ms(self) -> float:
        """Total time for which this call and its ancestors waited for a slot.

        The wait of the root does not count: no call of the chain holds a slot
        yet, so no other call is kept waiting by it.
        """
        if self.chain.depth == 0:
            return 0.0
        return self.chain.waited_ms + self._slot_wait_ms

    @property
    def is_contended(self) -> bool:
        """Whether calls are refused for lack of a slot of this chain.

        That is, of a slot that this call or an ancestor holds.
        """
        return self._is_contended or self.chain.is_contended

    @property
    def child_failed(self) -> bool:
        """Tells whether any child call failed so far."""
        return bool(self._failed_targets)

    @contextlib.contextmanager
    def track_child(self) -> Iterator[None]:
        """Adds the current task to those that `cancel_children` cancels."""
        task = asyncio.current_task()
        assert task is not None
        self._children.add(task)
        try:
            yield
        finally:
            self._children.discard(task)

    def is_child_retry(self, target: ChildTarget) -> bool:
        """Tells whether a child call to the same target failed before."""
        return target in self._failed_targets

    def record_child_failure(self, target: ChildTarget) -> None:
        """Records a failed child call; the next to its target is a retry."""
        if len(self._failed_targets) < MAX_FAILED_TARGETS:
            self._failed_targets.add(target)

    def record_child_refusal(self) -> None:
        """Records that a child was refused.

        If the worker then refuses this call, the cause may be the refusal of
        the child, so the worker does not count as overloaded.
        """
        self.child_was_refused = True

    def cancel_children(self) -> None:
        """Cancels the child calls, whose answers can't be used any more."""
        for task in tuple(self._children):
            task.cancel()


class InboundCallRegistry:
    """Registry of the inbound calls in progress, by token."""

    def __init__(self) -> None:
        self._inbound_calls: dict[str, InboundCall] = {}

    def __len__(self) -> int:
        """Returns the number of inbound calls in progress."""
        return len(self._inbound_calls)

    def register(
        self,
        chain: context.ChainContext,
        caller: str = "",
        slot_wait_ms: float = 0.0,
        is_contended: bool = False,
        *,
        token: str = "",
    ) -> "InboundCallScope":
        """Returns a scope that registers an inbound call while it is open.

        The worker sends `token` with the child calls of the call; if it is
        empty, a random token is made. Leaving the scope by an error or a
        cancellation cancels the child calls.
        """
        inbound_call = InboundCall(
            chain, caller, slot_wait_ms, is_contended, token=token
        )
        return InboundCallScope(self._inbound_calls, inbound_call)

    def find(self, token: str) -> InboundCall | None:
        """Returns the inbound call of a token.

        Returns None when that call has ended or the token was never valid.
        """
        return self._inbound_calls.get(token)


class InboundCallScope:
    """Registers an inbound call while its context is open."""

    def __init__(
        self,
        registered_calls: dict[str, InboundCall],
        inbound_call: InboundCall,
    ) -> None:
        self._inbound_calls = registered_calls
        self._inbound_call = inbound_call

    def __enter__(self) -> InboundCall:
        """Registers the call."""
        self._inbound_calls[self._inbound_call.token] = self._inbound_call
        return self._inbound_call

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Removes the call from the registry."""
        self.close(error)

    def close(self, error: BaseException | None) -> None:
        """Removes the call; cancels its child calls after an error.

        `error` is the one that ended the call, or None.
        """
        if error is not None:
            self._inbound_call.cancel_children()
        # The token may be an id made by the caller, under which another call
        # may have been registered meanwhile.
        if (
            self._inbound_calls.get(self._inbound_call.token)
            is self._inbound_call
        ):
            del self._inbound_calls[self._inbound_call.token]
