"""A stand-in worker whose answers are faulty where a plan says so."""

import asyncio
from collections.abc import Callable
import dataclasses

from kumquatridge.calls import outcomes
from kumquatridge.transport import messages as http
from tests.platform import deployment as deployments

HEAD_END = b"\r\n\r\n"
NAME_END = b": "


@dataclasses.dataclass(frozen=True)
class AnswerPlan:
    """What a worker does with a request, and with the answer to it.

    `extra` is sent before the answer. A refused request is not run, and its
    answer says so. A copied answer is sent once more where the next answer on
    the connection is due. Of a cut answer only the first half is sent, before
    the connection is closed. An answer to a request that ran is signed unless
    `is_signed` is False.
    """

    extra: bytes = b""
    is_signed: bool = True
    is_refused: bool = False
    is_copied: bool = False
    is_cut: bool = False


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a worker began to run, by the clock of the event loop."""

    request_id: str
    worker: str
    service: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class ReceivedRequest:
    """A request without its body; header names are in lower case."""

    method: str
    target: str
    headers: outcomes.Headers

    def find_header(self, name: str) -> str:
        """Returns a header, empty if it is absent."""
        return http.find_header(self.headers, name) or ""

    @property
    def request_id(self) -> str:
        """The id that the answer has to name."""
        return self.find_header("request-id")


async def read_request(
    reader: asyncio.StreamReader,
) -> ReceivedRequest | None:
    """Reads a request and skips its body; None at the end of the connection."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.removesuffix(HEAD_END).split(b"\r\n")
    method, target, _ = first.decode().split(" ", 2)
    pairs = [line.partition(NAME_END)[::2] for line in lines]
    headers = tuple(
        (name.decode().lower(), value.decode()) for name, value in pairs
    )
    request = ReceivedRequest(method, target, headers)
    try:
        await reader.readexactly(
            int(request.find_header("content-length") or 0)
        )
    except (asyncio.IncompleteReadError, OSError):
        return None
    return request


def encode_answer(
    status: str, headers: outcomes.Headers, body: bytes = b""
) -> bytes:
    """Returns an answer with its length; `status` includes the reason."""
    fields = (*headers, ("Content-Length", str(len(body))))
    lines = [
        f"HTTP/1.1 {status}",
        *(f"{name}: {value}" for name, value in fields),
    ]
    return "\r\n".join(lines).encode() + HEAD_END + body


class FaultyWorker(deployments.Worker):
    """Answers one request after the other on each connection.

    `choose_plan` returns the plan for a request. `runs` has the requests that
    ran, in the order in which they began.
    """

    def __init__(
        self,
        name: str,
        service: str,
        choose_plan: Callable[[ReceivedRequest], AnswerPlan],
        slots: int = 8,
    ) -> None:
        super().__init__(name, service, slots)
        self._choose_plan = choose_plan
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.runs: list[Run] = []

    async def start(self) -> None:
        """Listens, unless it already does."""
        if self._server is None:
            host, _, port = self.address.rpartition(":")
            self._server = await asyncio.start_server(
                self._serve, host, int(port), reuse_address=True
            )

    async def stop(self) -> None:
        """Closes listener and connections, as a crash does."""
        server, self._server = self._server, None
        if server is not None:
            server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._answer_requests(reader, writer)
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late_copy = b""
        while (request := await read_request(reader)) is not None:
            plan = self._choose_plan(request)
            writer.write(late_copy + plan.extra)
            answer = await self._make_answer(request, plan)
            if plan.is_cut:
                writer.write(answer[: len(answer) // 2])
                return
            writer.write(answer)
            await writer.drain()
            late_copy = answer if plan.is_copied else b""

    async def _make_answer(
        self, request: ReceivedRequest, plan: AnswerPlan
    ) -> bytes:
        load = ("Server-Load", f"{self.running},0,{self.slots},100")
        if request.target == "/healthz":
            status = "200 OK" if self.is_healthy else "503 Leaving"
            return encode_answer(status, (("Instance-Id", self.name), load))
        echo = ("Request-Id", request.request_id)
        refusal = (("Not-Executed", "1"), echo, load)
        if not request.request_id:
            return encode_answer("400 Bad Request", refusal)
        if request.find_header("expected-instance") != self.name:
            return encode_answer("421 Misdirected Request", refusal)
        if plan.is_refused:
            return encode_answer("503 Service Unavailable", refusal)
        await self._work(request)
        body = f"{self.name}{request.target}".encode()
        if not plan.is_signed:
            return encode_answer("200 OK", (echo, load), body)
        signature = ("Server-Signature", f"{self.name}/{request.request_id}")
        return encode_answer("200 OK", (signature, echo, load), body)

    async def _work(self, request: ReceivedRequest) -> None:
        now_s = asyncio.get_running_loop().time()
        self.runs.append(
            Run(request.request_id, self.name, self.service, now_s)
        )
        self.running += 1
        try:
            await asyncio.sleep(self.behaviour.work_ms / 1000.0)
        finally:
            self.running -= 1
