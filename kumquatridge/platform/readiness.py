"""Readiness check of the daemon for the platform."""

from collections.abc import Callable

from kumquatridge.calls import body as call_body
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http

PATH = "/api/ready"
STATUS_READY = 200
STATUS_NOT_READY = 503
STATUS_NOT_FOUND = 404


class ReadinessEndpoint:
    """Answers the platform's readiness checks."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(
        self, request: http.Request, responder: http_listener.Responder
    ) -> None:
        """Answers 200 if ready and 503 if not; other paths get 404."""
        if request.target != PATH:
            status = STATUS_NOT_FOUND
        else:
            status = STATUS_READY if self._is_ready() else STATUS_NOT_READY
        await responder.send(http.Answer(status, (), call_body.EMPTY))
