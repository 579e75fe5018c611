"""Bodies of the platform's store."""

from typing import TypeVar

import msgspec


class Metadata(msgspec.Struct, rename="camel", frozen=True, omit_defaults=True):
    """What the store keeps about an object.

    `revision` is that of the object's last change.
    """

    name: str
    revision: int | None = None
    deleting: bool = False


class StoredObject(msgspec.Struct, frozen=True):
    """An object; `spec` is the value as JSON."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class ListingBody(msgspec.Struct, rename="camel", frozen=True):
    """One page of a listing; `current_rev` is the store's own revision."""

    items: tuple[StoredObject, ...]
    current_rev: int
    more: bool = False


class EventBody(msgspec.Struct, frozen=True):
    """One change of an object."""

    # The object as it is after the change, or as it was when deleted.
    object: StoredObject
    deleted: bool = False


class WatchBody(msgspec.Struct, rename="camel", frozen=True):
    """What changed; the next watch goes on from `current_rev`."""

    events: tuple[EventBody, ...]
    current_rev: int


listing_decoder = msgspec.json.Decoder(ListingBody)
watch_decoder = msgspec.json.Decoder(WatchBody)
object_decoder = msgspec.json.Decoder(StoredObject)
encoder = msgspec.json.Encoder()

BodyT = TypeVar("BodyT", ListingBody, WatchBody, StoredObject)
