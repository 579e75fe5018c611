"""Protocols of the transports and servers that the call path uses."""

from collections.abc import Set
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.membership import member as members


class WorkerLink(Protocol):
    """Carries calls to the local worker."""

    def send(
        self, call: calls.Call, address: str, token: str
    ) -> AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call; its answer is readable while the context is open.

        `address` is the worker's "host:port". `token` identifies the call: the
        worker copies it to the child calls that it sends meanwhile. Leaving the
        context early cancels the call.
        """
        ...


class CallServer(Protocol):
    """Runs calls at the local worker, or refuses them."""

    def serve(
        self, call: calls.Call
    ) -> AbstractAsyncContextManager[outcomes.Outcome]:
        """Runs a call; its answer is readable while the context is open."""
        ...


class Dispatcher(Protocol):
    """Sends calls to an instance that it chooses."""

    def dispatch(
        self, call: calls.Call, excluded: Set[str] = frozenset()
    ) -> AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call to an instance whose name is not in `excluded`.

        The answer is readable while the context is open.
        """
        ...


class PeerLink(Protocol):
    """Carries calls to the daemons of other instances."""

    def send(
        self, call: calls.Call, member: members.Member
    ) -> AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call; its answer is readable while the context is open."""
        ...

    def send_to_home(
        self, call: calls.Call, member: members.Member
    ) -> AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call to the home of its idempotency key.

        The home runs it, returns the outcome of an earlier run, or refuses it.
        """
        ...
