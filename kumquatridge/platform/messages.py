"""Bodies of the platform's HTTP API."""

import msgspec

JSON = "application/json"
LINES = "application/x-ndjson"


class ObjectLine(msgspec.Struct, frozen=True):
    """An object in a listing or a watch; the value is in base64."""

    key: str
    version: int
    value: bytes | None = None


class ListingBody(msgspec.Struct, frozen=True):
    """The answer to a listing."""

    version: int
    objects: tuple[ObjectLine, ...]


class ErrorBody(msgspec.Struct, frozen=True):
    """Why a call was refused."""

    detail: str


encoder = msgspec.json.Encoder()
listing_decoder = msgspec.json.Decoder(ListingBody)
line_decoder = msgspec.json.Decoder(ObjectLine)
