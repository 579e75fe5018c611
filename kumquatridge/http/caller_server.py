"""The front end for callers: requests to calls, outcomes to answers.

A request's path is "/SERVICE/PATH"; the worker sees "/PATH". A request for
"/-/keys" is answered with a new request key.
"""

from collections.abc import Mapping

from aiohttp import web

from kumquatridge.callpath import intake as call_intake
from kumquatridge.callpath import keyed
from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals
from kumquatridge.http import answers
from kumquatridge.http import bodies
from kumquatridge.http import errors
from kumquatridge.http import headers
from kumquatridge.http import targets
from kumquatridge.idempotency import keys
from kumquatridge.telemetry import recorder as telemetry

KEYS_PATH = "/-/keys"
STATUS_CREATED = 201


class CallerHandler:
    """Serves callers from outside and the own worker's calls."""

    def __init__(
        self,
        intake: call_intake.Intake,
        path: keyed.KeyedPath,
        recorder: telemetry.FrontEndRecorder,
        issuer: keys.KeyIssuer,
    ) -> None:
        self._issuer = issuer
        self._intake = intake
        self._path = path
        self._recorder = recorder

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        if request.path == KEYS_PATH:
            return web.Response(
                status=STATUS_CREATED, text=f"{self._issuer.issue()}\n"
            )
        try:
            asked = await read_request(request)
        except errors.MalformedRequestError as error:
            return self._reject(refusals.InvalidRequest(str(error)))
        with self._intake.open(asked) as opened:
            match opened:
                case calls.Call():
                    return await self._dispatch(request, asked, opened)
                case refusal:
                    return self._reject(refusal)

    def _reject(self, refusal: refusals.Refusal) -> web.StreamResponse:
        self._recorder.record_rejection(refusal)
        return answers.make_refusal_answer(refusal, 0)

    async def _dispatch(
        self,
        request: web.BaseRequest,
        asked: call_intake.Request,
        call: calls.Call,
    ) -> web.StreamResponse:
        async with self._path.dispatch(call) as outcome:
            self._intake.settle(asked, outcome)
            return await answers.write_outcome(
                request, call, outcome, self._recorder
            )


async def read_request(request: web.BaseRequest) -> call_intake.Request:
    """Reads what a request asks for.

    Raises:
      MalformedRequestError: a path without a service or a bad timeout.
    """
    target = targets.split(targets.normalize(request.path_qs))
    marks = request.headers
    return call_intake.Request(
        service=target.service,
        method=request.method,
        path=target.path,
        headers=headers.keep_end_to_end(marks.items()),
        body=await bodies.read_body(request),
        caller=marks.get(headers.CALLER, ""),
        request_key=marks.get(headers.REQUEST_KEY),
        timeout_ms=read_ms(marks, headers.TIMEOUT, least_ms=1),
        key_age_ms=read_ms(marks, headers.KEY_AGE, least_ms=0),
        token=marks.get(headers.CONTEXT),
    )


def read_ms(marks: Mapping[str, str], name: str, least_ms: int) -> int | None:
    """Reads a header with a duration, or returns None when it is absent.

    Raises:
      MalformedRequestError: not a whole number, or below `least_ms`.
    """
    text = marks.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or int(text) < least_ms:
        raise errors.MalformedRequestError(
            f"{name}: got {text!r}, expected a whole number of milliseconds "
            f"of at least {least_ms}"
        )
    return int(text)
