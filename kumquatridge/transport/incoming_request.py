"""A request while it is received and answered."""

from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.transport import incoming_body
from kumquatridge.transport import memory
from kumquatridge.transport import messages


class IncomingRequest:
    """A request from its first byte to the end of its answer."""

    def __init__(
        self, flow_control: incoming_body.FlowControl, max_buffered_bytes: int
    ) -> None:
        self.target = b""
        self.headers: outcomes.Headers = ()
        # Raw bytes received before the head was complete. They include the
        # start of an incomplete header line, which the parser does not report.
        self.received_bytes = 0
        # Bytes of the parsed request target, headers and trailers.
        self.head_bytes = 0
        self.header_count = 0
        # Bytes received since the last byte of the body, once the head is
        # complete.
        self.overhead_bytes = 0
        # Empty until the head is complete.
        self.method = ""
        self.keeps_alive = True
        self.length_bytes: int | None = None
        self.body = incoming_body.IncomingBody(flow_control, max_buffered_bytes)
        # Whether the request was passed to the task of the connection.
        self.is_queued = False
        # Length of a complete body that its handler has.
        self.passed_on_bytes = 0

    def make_request(self) -> messages.Request:
        """Returns the request, once its body is complete or long."""
        body = self.body.make_body(self.length_bytes)
        match body:
            case call_body.BufferedBody(data):
                self.passed_on_bytes = len(data)
            case call_body.StreamedBody():
                pass
        target = self.target.decode("latin-1")
        return messages.Request(self.method, target, self.headers, body)

    @property
    def held_bytes(self) -> int:
        """Returns the memory of the request."""
        return (
            memory.REQUEST_BYTES
            + self.header_count * memory.HEADER_LINE_BYTES
            + max(self.head_bytes, self.received_bytes)
            + self.overhead_bytes
            + self.body.held_bytes
            + self.passed_on_bytes
        )
