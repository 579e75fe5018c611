"""The topics of a daemon, their digests, and how they are brought level."""

from collections.abc import Iterable
import itertools

from kumquatridge.membership import digests
from kumquatridge.membership import errors
from kumquatridge.membership import links
from kumquatridge.membership import messages
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import topics as gossip_topics

MAX_ANSWER_BYTES = 65536


class TopicBoard:
    """Compares topics with peers and pulls entries that are newer."""

    def __init__(self, settings: gossip_settings.GossipSettings) -> None:
        self._settings = settings
        self._topics: dict[int, gossip_topics.GossipTopic] = {}
        self._digests: dict[int, tuple[int, digests.Digest]] = {}

    def add(self, topic: gossip_topics.GossipTopic) -> None:
        """Adds a topic to those that are compared."""
        self._topics[topic.number] = topic

    def get_digests(self) -> tuple[messages.TopicDigest, ...]:
        """Returns the digest of each topic."""
        return tuple(
            messages.TopicDigest(number, self._digest(topic).whole)
            for number, topic in self._topics.items()
        )

    def find_differing(
        self, theirs: Iterable[messages.TopicDigest]
    ) -> list[gossip_topics.GossipTopic]:
        """Returns the topics whose digest is not that of a peer."""
        return [
            self._topics[one.topic]
            for one in theirs
            if one.topic in self._topics
            and one.digest != self._digest(self._topics[one.topic]).whole
        ]

    async def pull(
        self,
        link: links.ControlLink,
        address: str,
        topic: gossip_topics.GossipTopic,
    ) -> bool:
        """Fetches a peer's newer entries; returns whether any were taken.

        Raises:
          MembershipError: the peer did not answer.
        """
        before = topic.revision
        wanted = await self._find_newer(link, address, topic)
        while wanted:
            keys = tuple(
                itertools.islice(wanted, self._settings.keys_per_message)
            )
            await self._fetch(link, address, topic, keys)
            left = self._drop_known(topic, wanted)
            if len(left) == len(wanted):
                break
            wanted = left
        return topic.revision != before

    def answer_versions(
        self, request: messages.VersionsRequest
    ) -> messages.VersionsAnswer:
        """Returns the versions in the buckets that differ."""
        topic = self._topics.get(request.topic)
        if topic is None or len(request.buckets) != digests.BUCKET_COUNT:
            return messages.VersionsAnswer(())
        versions = topic.get_versions()
        keys = self._digest(topic).find_differing_keys(request.buckets)
        return messages.VersionsAnswer(
            tuple(messages.KeyVersion(key, versions[key]) for key in keys)
        )

    def answer_entries(
        self, request: messages.EntriesRequest
    ) -> messages.EntriesAnswer:
        """Returns the entries asked for, as many as fit."""
        topic = self._topics.get(request.topic)
        if topic is None:
            return messages.EntriesAnswer(())
        chosen: list[bytes] = []
        size_bytes = 0
        for entry in topic.export(request.keys):
            size_bytes += len(entry)
            if chosen and size_bytes > MAX_ANSWER_BYTES:
                break
            chosen.append(entry)
        return messages.EntriesAnswer(tuple(chosen))

    async def _find_newer(
        self,
        link: links.ControlLink,
        address: str,
        topic: gossip_topics.GossipTopic,
    ) -> dict[str, int]:
        answer = await link.ask(
            address,
            messages.VersionsRequest(topic.number, self._digest(topic).buckets),
            self._settings.answer_timeout_ms,
        )
        match answer:
            case messages.VersionsAnswer(versions):
                listed = {one.key: one.version for one in versions}
                return self._drop_known(topic, listed)
            case _:
                raise errors.PeerRefusedError(f"{address}: no versions")

    async def _fetch(
        self,
        link: links.ControlLink,
        address: str,
        topic: gossip_topics.GossipTopic,
        keys: tuple[str, ...],
    ) -> None:
        answer = await link.ask(
            address,
            messages.EntriesRequest(topic.number, keys),
            self._settings.answer_timeout_ms,
        )
        match answer:
            case messages.EntriesAnswer(entries):
                topic.merge(entries)
            case _:
                raise errors.PeerRefusedError(f"{address}: no entries")

    def _drop_known(
        self, topic: gossip_topics.GossipTopic, listed: dict[str, int]
    ) -> dict[str, int]:
        own = topic.get_versions()
        return {
            key: version
            for key, version in listed.items()
            if version > own.get(key, 0)
        }

    def _digest(self, topic: gossip_topics.GossipTopic) -> digests.Digest:
        cached = self._digests.get(topic.number)
        if cached is not None and cached[0] == topic.revision:
            return cached[1]
        digest = digests.Digest(topic.get_versions())
        self._digests[topic.number] = (topic.revision, digest)
        return digest
