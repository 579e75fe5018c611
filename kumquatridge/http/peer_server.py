"""The front end for calls from other daemons to the local worker."""

from aiohttp import web
from returns import result

from kumquatridge.callpath import at_most_once
from kumquatridge.callpath import call_builder
from kumquatridge.callpath import inbound
from kumquatridge.callpath import service_exchange
from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals
from kumquatridge.encoding import chain_codec
from kumquatridge.http import answers
from kumquatridge.http import call_credential
from kumquatridge.http import errors
from kumquatridge.http import headers
from kumquatridge.http import requests
from kumquatridge.http import service_link
from kumquatridge.http import targets
from kumquatridge.telemetry import recorder as telemetry

# Answer to an update while this daemon has no worker, and so no service.
STATUS_CONFLICT = 409


class PeerHandler:
    """Serves calls and updates from other daemons.

    `home` is the call path for calls sent to this daemon as the home of their
    idempotency key (see `idempotency.home_registry`), and `path` the one for
    all others. Updates are those of `service_link`.
    """

    def __init__(
        self,
        builder: call_builder.CallBuilder,
        path: inbound.InboundPath,
        credential: call_credential.CallCredential,
        recorder: telemetry.FrontEndRecorder,
        *,
        home: at_most_once.AtMostOncePath,
        exchange: service_exchange.ServiceExchange,
    ) -> None:
        self._home_path = home
        self._exchange = exchange
        self._builder = builder
        self._inbound_path = path
        self._recorder = recorder
        self._credential = credential

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request; refuses one that is malformed or not authentic."""
        reason = self._credential.find_rejection_reason(
            request.method, request.path_qs, request.headers
        )
        if reason is not None:
            return self._reject(refusals.WrongCredential(reason))
        try:
            if request.path == service_link.UPDATES_PATH:
                return await self._handle_update(request)
            call = await self._read_call(request)
        except errors.MalformedRequestError as error:
            return self._reject(refusals.InvalidRequest(str(error)))
        match call:
            case calls.Call():
                is_home = headers.HOME in request.headers
                call_path = self._home_path if is_home else self._inbound_path
                async with call_path.serve(call) as outcome:
                    return await answers.write_outcome(
                        request, call, outcome, self._recorder
                    )
            case refusal:
                return self._reject(refusal)

    async def _handle_update(self, request: web.BaseRequest) -> web.Response:
        update = service_link.decode(await request.read())
        answer = self._exchange.handle_update(update)
        if answer is None:
            return web.Response(status=STATUS_CONFLICT)
        return web.Response(body=service_link.encode(answer))

    def _reject(self, refusal: refusals.Refusal) -> web.StreamResponse:
        self._recorder.record_rejection(refusal)
        return answers.make_refusal_answer(refusal, 0)

    async def _read_call(
        self, request: web.BaseRequest
    ) -> calls.Call | refusals.Refusal:
        encoded_chain = request.headers.get(headers.CHAIN, "")
        match chain_codec.decode_chain(encoded_chain):
            case result.Success(chain):
                pass
            case result.Failure(fault):
                raise errors.MalformedRequestError(f"{headers.CHAIN}: {fault}")
        target = targets.split(request.path_qs)
        parsed = await requests.read_request(request, target)
        return self._builder.make_forwarded_call(parsed, chain)
