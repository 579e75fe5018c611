"""JSON bodies of the platform's object API."""

from typing import TypeVar

import msgspec


class Metadata(msgspec.Struct, rename="camel", frozen=True, omit_defaults=True):
    """Name and state of a stored object.

    In an answer, `revision` is the store's revision as of the last change of
    the object. In a request, it is the one that the object must still have, or
    None to create the object. `deleting` is ignored.
    """

    name: str
    revision: int | None = None
    deleting: bool = False


class StoredObject(msgspec.Struct, frozen=True):
    """An object with its metadata; `spec` is its value as raw JSON."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class ListingBody(msgspec.Struct, rename="camel", frozen=True):
    """One page of a listing; its items are decoded one by one.

    `current_rev` is the revision of the whole store; `more` says that another
    page follows.
    """

    items: tuple[msgspec.Raw, ...]
    current_rev: int
    more: bool = False


class EventBody(msgspec.Struct, frozen=True):
    """A change or deletion of one object."""

    # State after the change, or the last state of a deleted object.
    object: StoredObject
    deleted: bool = False


class WatchBody(msgspec.Struct, rename="camel", frozen=True):
    """The changes that one watch request returned, decoded one by one.

    The next request watches from the revision `current_rev` on.
    """

    events: tuple[msgspec.Raw, ...]
    current_rev: int


listing_decoder = msgspec.json.Decoder(ListingBody)
watch_decoder = msgspec.json.Decoder(WatchBody)
event_decoder = msgspec.json.Decoder(EventBody)
object_decoder = msgspec.json.Decoder(StoredObject)
encoder = msgspec.json.Encoder()

BodyT = TypeVar("BodyT", ListingBody, WatchBody, EventBody, StoredObject)
