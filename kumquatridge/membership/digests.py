"""Digests of versioned entries for anti-entropy.

Two daemons first compare one combined digest. Only when it differs do they
compare the digests of the buckets, and only the entries of buckets that differ
are listed. A hash of its key assigns each entry to one of `BUCKET_COUNT`
buckets; both daemons must have the same number of them.
"""

from collections.abc import Iterator, Mapping
import hashlib

BUCKET_COUNT = 32
_BUCKET_DIGEST_BYTES = 4
_COMBINED_DIGEST_BYTES = 8


class Digest:
    """Combined and bucket digests of one revision of a topic.

    `versions` maps the key of each entry to its version. `buckets` has the
    digest of each bucket, 0 for an empty one.
    """

    def __init__(self, versions: Mapping[str, int]) -> None:
        buckets = [0] * BUCKET_COUNT
        self._keys: list[list[str]] = [[] for _ in buckets]
        for key, version in versions.items():
            index = get_bucket_index(key)
            buckets[index] ^= _hash_entry(key, version)
            self._keys[index].append(key)
        self.buckets = tuple(buckets)
        self.combined = _combine(self.buckets)

    def find_differing_keys(self, buckets: tuple[int, ...]) -> Iterator[str]:
        """Yields the keys in buckets whose digest differs from the peer's.

        `buckets` has the digests of the peer's buckets.
        """
        for own_digest, peer_digest, keys in zip(
            self.buckets, buckets, self._keys, strict=True
        ):
            if own_digest != peer_digest:
                yield from keys


def get_bucket_index(key: str) -> int:
    """Returns the index of a key's bucket."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % (
        BUCKET_COUNT
    )


def _hash_entry(key: str, version: int) -> int:
    text = f"{key}\0{version}".encode()
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=_BUCKET_DIGEST_BYTES).digest(), "big"
    )


def _combine(buckets: tuple[int, ...]) -> int:
    joined = b"".join(
        bucket.to_bytes(_BUCKET_DIGEST_BYTES, "big") for bucket in buckets
    )
    return int.from_bytes(
        hashlib.blake2b(joined, digest_size=_COMBINED_DIGEST_BYTES).digest(),
        "big",
    )
