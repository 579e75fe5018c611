"""The front end for callers: converts requests to calls, outcomes to answers.

The path of a request is "/SERVICE/PATH"; the worker receives "/PATH". A
request for "/-/keys" is answered with a new idempotency key.
"""

from aiohttp import web

from kumquatridge.callpath import at_most_once
from kumquatridge.callpath import call_builder
from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals
from kumquatridge.http import answers
from kumquatridge.http import errors
from kumquatridge.http import requests
from kumquatridge.http import targets
from kumquatridge.idempotency import keys
from kumquatridge.telemetry import recorder as telemetry

KEYS_PATH = "/-/keys"
STATUS_CREATED = 201


class CallerHandler:
    """Serves external callers and the nested calls of the local worker.

    Calls are dispatched on `path`; `issuer` makes idempotency keys.
    """

    def __init__(
        self,
        builder: call_builder.CallBuilder,
        path: at_most_once.AtMostOncePath,
        recorder: telemetry.FrontEndRecorder,
        issuer: keys.KeyIssuer,
    ) -> None:
        self._issuer = issuer
        self._builder = builder
        self._call_path = path
        self._recorder = recorder

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request; one that can't be parsed is refused."""
        if request.path == KEYS_PATH:
            return web.Response(
                status=STATUS_CREATED, text=f"{self._issuer.issue()}\n"
            )
        try:
            target = targets.split(targets.normalize(request.path_qs))
            parsed = await requests.read_request(request, target)
        except errors.MalformedRequestError as error:
            return self._reject(refusals.InvalidRequest(str(error)))
        with self._builder.start_call(parsed) as started:
            match started:
                case calls.Call():
                    return await self._dispatch(request, parsed, started)
                case refusal:
                    return self._reject(refusal)

    def _reject(self, refusal: refusals.Refusal) -> web.StreamResponse:
        self._recorder.record_rejection(refusal)
        return answers.make_refusal_answer(refusal, 0)

    async def _dispatch(
        self,
        request: web.BaseRequest,
        parsed: call_builder.Request,
        call: calls.Call,
    ) -> web.StreamResponse:
        async with self._call_path.dispatch(call) as outcome:
            self._builder.record_outcome(parsed, outcome)
            return await answers.write_outcome(
                request, call, outcome, self._recorder
            )
