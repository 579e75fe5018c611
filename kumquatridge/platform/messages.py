"""JSON bodies of the platform's object API."""

from typing import TypeVar

import msgspec


class Metadata(msgspec.Struct, rename="camel", frozen=True, omit_defaults=True):
    """Name and state of a stored object.

    `revision` is that of the object's last change; None in a request that
    creates the object.
    """

    name: str
    revision: int | None = None
    deleting: bool = False


class StoredObject(msgspec.Struct, frozen=True):
    """An object with its metadata; `spec` is its value as raw JSON."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class ListingBody(msgspec.Struct, rename="camel", frozen=True):
    """One page of a listing.

    `current_rev` is the revision of the whole store; `more` says that another
    page follows.
    """

    items: tuple[StoredObject, ...]
    current_rev: int
    more: bool = False


class EventBody(msgspec.Struct, frozen=True):
    """A change or deletion of one object."""

    # State after the change, or the last state of a deleted object.
    object: StoredObject
    deleted: bool = False


class WatchBody(msgspec.Struct, rename="camel", frozen=True):
    """The changes of one watch; the next one starts at `current_rev`."""

    events: tuple[EventBody, ...]
    current_rev: int


listing_decoder = msgspec.json.Decoder(ListingBody)
watch_decoder = msgspec.json.Decoder(WatchBody)
object_decoder = msgspec.json.Decoder(StoredObject)
encoder = msgspec.json.Encoder()

BodyT = TypeVar("BodyT", ListingBody, WatchBody, StoredObject)
