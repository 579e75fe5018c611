"""Tells the platform whether this daemon takes requests."""

from collections.abc import Callable

from kumquatridge.calls import body as call_body
from kumquatridge.transport import listener
from kumquatridge.transport import messages as http

PATH = "/api/ready"
STATUS_READY = 200
STATUS_NOT_READY = 503
STATUS_NOT_FOUND = 404


class ReadinessEndpoint:
    """Answers the platform's question."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(
        self, request: http.Request, responder: listener.Responder
    ) -> None:
        """Answers one request."""
        if request.target != PATH:
            status = STATUS_NOT_FOUND
        else:
            status = STATUS_READY if self._is_ready() else STATUS_NOT_READY
        await responder.send(http.Answer(status, (), call_body.EMPTY))
