"""Sends control messages over pynng, with one open socket per peer."""

import asyncio
import types
from typing import Self

import pynng

from kumquatridge.membership import errors as membership_errors
from kumquatridge.membership import messages as membership_messages
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.peers import credential as peer_credential
from kumquatridge.peers import errors
from kumquatridge.peers import frames
from kumquatridge.peers import messages

# Shortest and longest delay between pynng's attempts to connect. The delay
# grows with each failed attempt.
RECONNECT_MIN_MS = 200
RECONNECT_MAX_MS = 5000


class NngLink:
    """Sends requests to other daemons while its context is open."""

    def __init__(
        self,
        credential: peer_credential.Credential,
        recorder: membership_recorder.Recorder,
    ) -> None:
        self._credential = credential
        self._recorder = recorder
        self._sockets: dict[str, pynng.Req0] = {}

    async def __aenter__(self) -> Self:
        """Opens no socket; each is opened with the first request to a peer."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes all sockets."""
        for socket in self._sockets.values():
            socket.close()
        self._sockets.clear()

    async def ask(
        self,
        address: str,
        request: membership_messages.Request,
        timeout_ms: int,
    ) -> membership_messages.Answer:
        """Sends a request; see `membership.links.ControlLink`."""
        sealed, nonce = self._credential.seal_request(messages.encode(request))
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                received = await self._exchange(address, sealed)
        except (TimeoutError, pynng.exceptions.NNGException) as error:
            raise membership_errors.PeerSilentError(
                f"{address}: no answer to a control message "
                f"(time-out {timeout_ms} ms): {error!r}"
            ) from error
        _raise_if_cancelled()
        self._recorder.record_control_bytes("received", len(received))
        return self._decode(address, received, nonce)

    def disconnect(self, address: str) -> None:
        """Closes the socket of an address."""
        socket = self._sockets.pop(address, None)
        if socket is not None:
            socket.close()

    async def _exchange(self, address: str, sealed: bytes) -> bytes:
        with self._get_socket(address).new_context() as context:
            await context.asend(sealed)
            self._recorder.record_control_bytes("sent", len(sealed))
            received: bytes = await context.arecv()
            return received

    def _get_socket(self, address: str) -> pynng.Req0:
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
                recv_max_size=frames.MAX_FRAME_BYTES,
            )
            socket.dial(f"tcp://{address}", block=False)
            self._sockets[address] = socket
        return socket

    def _decode(
        self, address: str, received: bytes, nonce: int
    ) -> membership_messages.Answer:
        try:
            match frames.read_answer(received):
                case frames.Accepted(sealed):
                    body = self._credential.open_answer(sealed, nonce)
                    return messages.decode_answer(body)
                case frames.Refused(reason):
                    raise errors.CredentialError(reason)
        except errors.PeerError as error:
            raise membership_errors.PeerRefusedError(
                f"{address}: control message refused, or answer "
                f"invalid: {error}"
            ) from error


def _raise_if_cancelled() -> None:
    """Raises CancelledError if the current task has been cancelled.

    pynng loses a cancellation that arrives just as an operation completes.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
