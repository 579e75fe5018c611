"""Control messages over HTTP, for deployments without a shared key."""

import asyncio

from kumquatridge.calls import body as call_body
from kumquatridge.membership import errors as membership_errors
from kumquatridge.membership import links
from kumquatridge.membership import messages as membership_messages
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.peers import errors
from kumquatridge.peers import messages
from kumquatridge.transport import errors as transport_errors
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http_messages
from kumquatridge.transport import pool
from kumquatridge.transport import server

TARGET = "/"
STATUS_OK = 200
STATUS_MALFORMED = 400
# Longest message that is read. The longest are the entries of a topic, of which
# a route table is the largest: the platform stores tables of up to 1 MiB.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Longest request that is read. Its parts take up to 25 times as much memory
# once decoded; the longest are heartbeats with the members of a data centre.
MAX_REQUEST_BYTES = 1024 * 1024
# Requests are received completely before they are answered.
LISTENER_SETTINGS = server.ListenerSettings(
    max_buffered_bytes=MAX_REQUEST_BYTES
)


class HttpControlLink:
    """Sends requests to other daemons over pooled connections."""

    def __init__(
        self,
        connections: pool.ConnectionPool,
        recorder: membership_recorder.Recorder,
    ) -> None:
        self._connections = connections
        self._recorder = recorder

    async def ask(
        self,
        address: str,
        request: membership_messages.Request,
        timeout_ms: int,
    ) -> membership_messages.Answer:
        """Sends a request; see `membership.links.ControlLink`."""
        data = messages.encode(request)
        http_request = http_messages.Request(
            "POST", TARGET, (), call_body.BufferedBody(data)
        )
        self._recorder.record_control_bytes("sent", len(data))
        try:
            async with (
                asyncio.timeout(timeout_ms / 1000.0),
                self._connections.send(address, http_request) as answer,
            ):
                return await self._read(address, answer)
        except (TimeoutError, transport_errors.TransportError) as error:
            # The idle connections may have gone silent together with this one.
            self.disconnect(address)
            raise membership_errors.PeerSilentError(
                f"{address}: no answer to a control message "
                f"(time-out {timeout_ms} ms): {error!r}"
            ) from error

    def disconnect(self, address: str) -> None:
        """Closes the idle connections to an address."""
        self._connections.close_idle(address)

    async def _read(
        self, address: str, answer: http_messages.Answer
    ) -> membership_messages.Answer:
        try:
            data = await http_messages.read_body(answer.body, MAX_MESSAGE_BYTES)
        except transport_errors.ProtocolError as error:
            raise membership_errors.PeerRefusedError(
                f"{address}: answer to a control message: {error}"
            ) from error
        self._recorder.record_control_bytes("received", len(data))
        if answer.status != STATUS_OK:
            raise membership_errors.PeerRefusedError(
                f"{address}: control message answered with status "
                f"{answer.status}, expected {STATUS_OK}"
            )
        try:
            return messages.decode_answer(data)
        except errors.MalformedMessageError as error:
            raise membership_errors.PeerRefusedError(
                f"{address}: malformed answer to a control message: {error}"
            ) from error


class ControlEndpoint:
    """Answers control messages that arrive over HTTP."""

    def __init__(self, handler: links.Handler) -> None:
        self._handler = handler

    async def handle(
        self, request: http_messages.Request, responder: http_listener.Responder
    ) -> None:
        """Answers one request; one too long or malformed gets status 400."""
        try:
            data = await http_messages.read_body(
                request.body, MAX_REQUEST_BYTES
            )
        except transport_errors.ProtocolError as error:
            answer = _make_answer(STATUS_MALFORMED, str(error).encode())
        else:
            answer = await self._answer(data)
        await responder.send(answer)

    async def _answer(self, data: bytes) -> http_messages.Answer:
        try:
            request = messages.decode_request(data)
        except errors.MalformedMessageError as error:
            return _make_answer(STATUS_MALFORMED, str(error).encode())
        reply = await self._handler.answer(request)
        return _make_answer(STATUS_OK, messages.encode(reply))


def _make_answer(status: int, data: bytes) -> http_messages.Answer:
    return http_messages.Answer(status, (), call_body.BufferedBody(data))
