"""Anti-entropy: compares the topics of daemons and pulls newer entries.

A topic is a set of versioned entries; see `topics`.
"""

from collections.abc import Iterable
import itertools

from kumquatridge.membership import digests
from kumquatridge.membership import errors
from kumquatridge.membership import links
from kumquatridge.membership import messages
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import topics as gossip_topics

# Size of the encoded entries in one answer.
MAX_ANSWER_BYTES = 65536


class TopicTable:
    """The topics of a daemon with their digests."""

    def __init__(self, settings: gossip_settings.GossipSettings) -> None:
        self._settings = settings
        self._topics: dict[int, gossip_topics.GossipTopic] = {}
        # Each digest with the topic's revision at which it was computed.
        self._digests: dict[int, tuple[int, digests.Digest]] = {}

    def add(self, topic: gossip_topics.GossipTopic) -> None:
        """Adds a topic, replacing one with the same number."""
        self._topics[topic.number] = topic

    def get_digests(self) -> tuple[messages.TopicDigest, ...]:
        """Returns the combined digest of each topic."""
        return tuple(
            messages.TopicDigest(number, self._get_digest(topic).combined)
            for number, topic in self._topics.items()
        )

    def find_differing(
        self, peer_digests: Iterable[messages.TopicDigest]
    ) -> list[gossip_topics.GossipTopic]:
        """Returns the topics whose digest differs from the peer's.

        Topics that this daemon does not have are ignored.
        """
        return [
            self._topics[peer_digest.topic]
            for peer_digest in peer_digests
            if peer_digest.topic in self._topics
            and peer_digest.digest
            != self._get_digest(self._topics[peer_digest.topic]).combined
        ]

    async def pull(
        self,
        link: links.ControlLink,
        address: str,
        topic: gossip_topics.GossipTopic,
    ) -> bool:
        """Fetches a peer's newer entries; returns whether any were stored.

        Stops early if an answer leaves all entries missing, so that the same
        request is not repeated for ever.

        Raises:
          MembershipError: the peer did not answer, or refused.
        """
        old_revision = topic.revision
        # Maps the keys of the entries still to be fetched to their versions.
        newer = await self._fetch_newer_versions(link, address, topic)
        while newer:
            keys = tuple(
                itertools.islice(newer, self._settings.keys_per_message)
            )
            await self._fetch_entries(link, address, topic, keys)
            remaining = self._filter_newer(topic, newer)
            if len(remaining) == len(newer):
                break
            newer = remaining
        return topic.revision != old_revision

    def answer_versions(
        self, request: messages.VersionsRequest
    ) -> messages.VersionsAnswer:
        """Returns the versions of the entries in buckets that differ.

        The answer is empty if the topic is unknown or the number of buckets is
        not `BUCKET_COUNT`.
        """
        topic = self._topics.get(request.topic)
        if topic is None or len(request.buckets) != digests.BUCKET_COUNT:
            return messages.VersionsAnswer(())
        versions = topic.get_versions()
        keys = self._get_digest(topic).find_differing_keys(request.buckets)
        return messages.VersionsAnswer(
            tuple(messages.KeyVersion(key, versions[key]) for key in keys)
        )

    def answer_entries(
        self, request: messages.EntriesRequest
    ) -> messages.EntriesAnswer:
        """Returns the requested entries up to `MAX_ANSWER_BYTES`.

        The first entry is returned whatever its size.
        """
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

    async def _fetch_newer_versions(
        self,
        link: links.ControlLink,
        address: str,
        topic: gossip_topics.GossipTopic,
    ) -> dict[str, int]:
        """Returns the peer's versions, by key, that are newer than the own."""
        answer = await link.ask(
            address,
            messages.VersionsRequest(
                topic.number, self._get_digest(topic).buckets
            ),
            self._settings.answer_timeout_ms,
        )
        match answer:
            case messages.VersionsAnswer(versions):
                peer_versions = {entry.key: entry.version for entry in versions}
                return self._filter_newer(topic, peer_versions)
            case _:
                raise errors.PeerRefusedError(
                    f"pulling topic {topic.number} from {address}: expected"
                    f" VersionsAnswer, got {type(answer).__name__}"
                )

    async def _fetch_entries(
        self,
        link: links.ControlLink,
        address: str,
        topic: gossip_topics.GossipTopic,
        keys: tuple[str, ...],
    ) -> None:
        answer = await link.ask(
            address,
            messages.EntriesRequest(topic.number, keys),
            self._settings.large_entries_timeout_ms
            if topic.number in gossip_topics.LARGE_TOPICS
            else self._settings.answer_timeout_ms,
        )
        match answer:
            case messages.EntriesAnswer(entries):
                topic.merge(entries)
            case _:
                raise errors.PeerRefusedError(
                    f"pulling topic {topic.number} from {address}: expected"
                    f" EntriesAnswer, got {type(answer).__name__}"
                )

    def _filter_newer(
        self, topic: gossip_topics.GossipTopic, peer_versions: dict[str, int]
    ) -> dict[str, int]:
        own_versions = topic.get_versions()
        return {
            key: version
            for key, version in peer_versions.items()
            if version > own_versions.get(key, 0)
        }

    def _get_digest(self, topic: gossip_topics.GossipTopic) -> digests.Digest:
        cached = self._digests.get(topic.number)
        if cached is not None and cached[0] == topic.revision:
            return cached[1]
        digest = digests.Digest(topic.get_versions())
        self._digests[topic.number] = (topic.revision, digest)
        return digest
