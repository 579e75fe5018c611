"""Serves the daemon's counters and histograms in Prometheus text format."""

from collections.abc import Callable
import importlib
from typing import cast, Protocol

from kumquatridge.calls import body as call_body
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http

PATH = "/metrics"
STATUS_OK = 200
STATUS_NOT_FOUND = 404
CONTENT_TYPE = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")


class Exporter(Protocol):
    """Renders metrics in Prometheus text format."""

    def render(self) -> bytes:
        """Returns the current values of all metrics, in UTF-8."""
        ...


class MetricsEndpoint:
    """Answers scrapes of the metrics.

    The exporter is created on the first scrape: its libraries take as long to
    import as the rest of the daemon, which would slow every restart.
    """

    def __init__(self, make_exporter: Callable[[], Exporter]) -> None:
        self._make_exporter = make_exporter
        self._exporter: Exporter | None = None

    async def handle(
        self, request: http.Request, responder: http_listener.Responder
    ) -> None:
        """Answers a scrape; other paths get 404."""
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
    """Imports the exporter's module and returns its `make_exporter` result."""
    module = importlib.import_module(name)
    return cast(Exporter, module.make_exporter(*arguments))
