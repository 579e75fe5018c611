"""Serves the daemon's counters and histograms as text."""

from collections.abc import Callable
import importlib
from typing import cast, Protocol

from kumquatridge.calls import body as call_body
from kumquatridge.transport import listener
from kumquatridge.transport import messages as http

PATH = "/metrics"
STATUS_OK = 200
STATUS_NOT_FOUND = 404
CONTENT_TYPE = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")


class Exporter(Protocol):
    """Renders all metrics."""

    def render(self) -> bytes:
        """Returns all metrics as text."""
        ...


class MetricsEndpoint:
    """Answers scrapes.

    The exporter is made at the first one: its libraries take as long to load
    as all the rest of the daemon, which every restart would pay for.
    """

    def __init__(self, make_exporter: Callable[[], Exporter]) -> None:
        self._make_exporter = make_exporter
        self._exporter: Exporter | None = None

    async def handle(
        self, request: http.Request, responder: listener.Responder
    ) -> None:
        """Answers one request."""
        if request.target != PATH:
            await responder.send(
                http.Answer(STATUS_NOT_FOUND, (), call_body.EMPTY)
            )
            return
        if self._exporter is None:
            self._exporter = self._make_exporter()
        body = call_body.BufferedBody(self._exporter.render())
        await responder.send(http.Answer(STATUS_OK, (CONTENT_TYPE,), body))


def load_exporter(name: str, *arguments: object) -> Exporter:
    """Imports the module that exposes metrics, and makes its exporter."""
    module = importlib.import_module(name)
    return cast(Exporter, module.make_exporter(*arguments))
