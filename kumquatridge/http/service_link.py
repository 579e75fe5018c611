"""Exchanges updates between the daemons of a service over HTTP.

An update contains the daemons that may be the homes of idempotency keys, the
keys handed over (see `idempotency.handover`), and the crashes of workers.
"""

import aiohttp
import msgspec

from kumquatridge.callpath import service_exchange
from kumquatridge.http import call_credential
from kumquatridge.http import errors
from kumquatridge.http import headers

UPDATES_PATH = "/-/updates"
# Bounds the whole exchange, from the connection to the end of the answer.
TIMEOUT_S = 2.0
# Longest answer that is read: the keys of a few hundred thousand calls.
MAX_ANSWER_BYTES = 16 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(service_exchange.ServiceUpdate)


class HttpServiceLink:
    """Sends updates to other daemons.

    Implements `callpath.service_exchange.ServiceLink`.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        credential: call_credential.CallCredential,
    ) -> None:
        self._session = session
        self._credential = credential

    async def exchange(
        self, address: str, update: service_exchange.ServiceUpdate
    ) -> service_exchange.ServiceUpdate | None:
        """Sends an update; returns the answer, or None on any failure."""
        auth_tag = self._credential.make_auth_tag("POST", UPDATES_PATH, {})
        try:
            async with self._session.post(
                f"http://{address}{UPDATES_PATH}",
                data=encode(update),
                headers={headers.PEER_PROOF: auth_tag},
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as response:
                return decode(await _read(response))
        except (
            aiohttp.ClientError,
            TimeoutError,
            errors.MalformedRequestError,
        ):
            return None


async def _read(response: aiohttp.ClientResponse) -> bytes:
    """Reads the body of an answer.

    Raises:
      MalformedRequestError: it is longer than `MAX_ANSWER_BYTES`.
    """
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > MAX_ANSWER_BYTES:
            raise errors.MalformedRequestError(
                f"an answer longer than {MAX_ANSWER_BYTES} bytes"
            )
    return bytes(data)


def encode(update: service_exchange.ServiceUpdate) -> bytes:
    """Encodes an update as MessagePack."""
    return _encoder.encode(update)


def decode(data: bytes) -> service_exchange.ServiceUpdate:
    """Decodes an update from MessagePack.

    Raises:
      MalformedRequestError: the bytes are not an encoded update.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise errors.MalformedRequestError(str(error)) from error
