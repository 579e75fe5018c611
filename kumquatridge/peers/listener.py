"""Receives and answers control messages of other daemons over pynng."""

import asyncio
import types
from typing import Self

import pynng

from kumquatridge.membership import links
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.peers import credential as peer_credential
from kumquatridge.peers import errors
from kumquatridge.peers import frames
from kumquatridge.peers import messages
from kumquatridge.telemetry import events

ANSWERING_TASKS = 16


class NngListener:
    """Answers requests while its context is open.

    Each of `ANSWERING_TASKS` answers one request at a time. A request for an
    indirect probe occupies its task until the probed instance answers or the
    probe times out. There are more tasks than concurrent indirect probes (at
    most `GossipSettings.max_indirect_probes`), so that probes never delay the
    answers to heartbeats.
    """

    def __init__(
        self,
        address: str,
        credential: peer_credential.Credential,
        handler: links.Handler,
        recorder: membership_recorder.Recorder,
    ) -> None:
        self._address = address
        self._credential = credential
        self._request_verifier = peer_credential.RequestVerifier(credential)
        self._handler = handler
        self._recorder = recorder
        self._socket: pynng.Rep0 | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._closing = False
        self._logged_reasons: set[str] = set()

    async def __aenter__(self) -> Self:
        """Opens the socket and starts the tasks that answer requests.

        Raises:
          ListenError: the address is in use, or is not an address of this
            instance.
        """
        self._socket = self._listen()
        self._tasks = [
            asyncio.create_task(self._answer_requests(self._socket))
            for _ in range(ANSWERING_TASKS)
        ]
        return self

    def _listen(self) -> pynng.Rep0:
        try:
            return pynng.Rep0(
                listen=f"tcp://{self._address}",
                recv_max_size=frames.MAX_FRAME_BYTES,
            )
        except pynng.exceptions.NNGException as error:
            raise errors.ListenError(
                f"can't listen at {self._address}: {error}"
            ) from error

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the tasks and closes the socket.

        pynng loses a cancellation that arrives just as an operation
        completes; the tasks therefore also check `_closing`.
        """
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._socket is not None:
            self._socket.close()

    async def _answer_requests(self, socket: pynng.Rep0) -> None:
        with socket.new_context() as context:
            while not self._closing:
                received = await context.arecv()
                self._recorder.record_control_bytes("received", len(received))
                answer = frames.write_answer(await self._answer(received))
                self._recorder.record_control_bytes("sent", len(answer))
                try:
                    await context.asend(answer)
                except pynng.exceptions.NNGException:
                    self._recorder.record_peer_failure("answer not sent")

    async def _answer(self, received: bytes) -> frames.Frame:
        try:
            body, nonce = self._request_verifier.open_request(received)
            request = messages.decode_request(body)
        except errors.MalformedMessageError:
            return self._refuse("malformed message")
        except errors.CredentialError as error:
            return self._refuse(str(error))
        answer = messages.encode(await self._handler.answer(request))
        return frames.Accepted(self._credential.seal_answer(answer, nonce))

    def _refuse(self, reason: str) -> frames.Refused:
        self._recorder.record_peer_failure(f"refused: {reason}")
        if reason not in self._logged_reasons:
            self._logged_reasons.add(reason)
            events.log(events.ControlMessageRefused(self._address, reason))
        return frames.Refused(reason)
