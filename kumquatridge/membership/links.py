"""Interfaces between membership and the transport of its messages."""

from typing import Protocol

from kumquatridge.membership import messages


class ControlLink(Protocol):
    """Sends control messages to other daemons."""

    async def ask(
        self, address: str, request: messages.Request, timeout_ms: int
    ) -> messages.Answer:
        """Sends a request once and waits for the answer.

        Raises:
          PeerSilentError: no answer within `timeout_ms`.
          PeerRefusedError: the peer refused the request.
        """
        ...

    def disconnect(self, address: str) -> None:
        """Closes the connections to an address."""
        ...


class Handler(Protocol):
    """Answers the requests of other daemons."""

    async def answer(self, request: messages.Request) -> messages.Answer:
        """Returns the answer to a request."""
        ...
