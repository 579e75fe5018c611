"""What the call path needs from whatever carries calls."""

from collections.abc import Set
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.membership import member as members


class WorkerLink(Protocol):
    """Carries calls to the worker beside this daemon."""

    def send(
        self, call: calls.Call, address: str, token: str
    ) -> AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call; the outcome's body is readable while it is open.

        `token` is the opaque context that the worker forwards on its own
        calls. Leaving the context early cancels the call.
        """
        ...


class Server(Protocol):
    """Runs calls at the own worker, or refuses them."""

    def serve(
        self, call: calls.Call
    ) -> AbstractAsyncContextManager[outcomes.Outcome]:
        """Runs a call; the outcome's body is readable while it is open."""
        ...


class Dispatcher(Protocol):
    """Sends calls to an instance of its choice."""

    def dispatch(
        self, call: calls.Call, excluded: Set[str] = frozenset()
    ) -> AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call to an instance that is not in `excluded`."""
        ...


class PeerLink(Protocol):
    """Carries calls to the daemons of other instances."""

    def send(
        self, call: calls.Call, member: members.Member
    ) -> AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call; the outcome's body is readable while it is open."""
        ...

    def send_home(
        self, call: calls.Call, member: members.Member
    ) -> AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call to the home of its request key, which may run it."""
        ...
