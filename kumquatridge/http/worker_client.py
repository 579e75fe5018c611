"""The client for calls to the worker on the same instance."""

from collections.abc import AsyncIterator
import contextlib

import aiohttp

from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.http import client
from kumquatridge.http import headers


class HttpWorkerLink:
    """Sends calls to the local worker over HTTP."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, address: str, token: str
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call; see `callpath.links.WorkerLink`.

        Headers with the product's prefix are removed from the worker's answer:
        only a daemon may state the outcome of a call.
        """
        sent_headers = (
            *call.headers,
            (headers.CONTEXT, token),
            (headers.TIMEOUT, str(int(call.chain.get_remaining_ms()))),
        )
        async with client.send(
            self._session,
            call,
            f"http://{address}{call.path}",
            sent_headers,
            address,
        ) as result:
            match result:
                case client.Answer(response, body):
                    yield outcomes.Completed(
                        response.status,
                        headers.keep_end_to_end(response.headers.items()),
                        body,
                    )
                case _:
                    yield result
