"""Encodes and decodes the entries that gossip topics disseminate."""

from collections.abc import Callable, Iterable, Mapping
from typing import Generic, TypeVar

import msgspec

from kumquatridge import decode_errors
from kumquatridge.membership import topics as gossip_topics
from kumquatridge.peers import errors

EntryT = TypeVar("EntryT")


class EncodedTopic(Generic[EntryT]):
    """Adapts a source of typed entries to a gossip topic of encoded ones.

    `source` holds the entries; gossip exchanges them as bytes. See
    `membership.topics`.
    """

    def __init__(
        self,
        number: int,
        source: gossip_topics.GossipSource[EntryT],
        encode: Callable[[EntryT], bytes],
        decode: Callable[[bytes], EntryT],
    ) -> None:
        self._number = number
        self._source = source
        self._encode = encode
        self._decode = decode

    @property
    def number(self) -> int:
        """The topic's number on the wire."""
        return self._number

    @property
    def revision(self) -> int:
        """The revision of the source; differs after each change of an entry."""
        return self._source.revision

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each key."""
        return self._source.get_versions()

    def export(self, keys: Iterable[str]) -> tuple[bytes, ...]:
        """Encodes the entries of those keys that the source has."""
        return tuple(self._encode(entry) for entry in self._source.export(keys))

    def merge(self, entries: Iterable[bytes]) -> None:
        """Merges newer entries into the source; malformed ones are skipped."""
        decoded: list[EntryT] = []
        for entry in entries:
            try:
                decoded.append(self._decode(entry))
            except errors.MalformedMessageError:
                continue
        self._source.merge(decoded)


def make_topic(
    number: int,
    source: gossip_topics.GossipSource[EntryT],
    entry_type: type[EntryT],
) -> EncodedTopic[EntryT]:
    """Returns a topic whose entries msgspec encodes in MessagePack.

    `entry_type` has to be a type that msgspec can encode by itself, such as a
    data class; entries of other types need an `EncodedTopic` with a codec.
    """
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(entry_type)

    def decode(data: bytes) -> EntryT:
        try:
            return decoder.decode(data)
        except decode_errors.DECODE_ERRORS as error:
            raise errors.MalformedMessageError(str(error)) from error

    return EncodedTopic(number, source, encoder.encode, decode)
