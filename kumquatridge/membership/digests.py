"""Digests of versioned entries for anti-entropy.

Two daemons first compare one combined digest. Only when it differs do they
compare the digests of the buckets, and only the entries of buckets that differ
are listed.
"""

from collections.abc import Iterator, Mapping
import hashlib

BUCKET_COUNT = 32
_BUCKET_BYTES = 4
_DIGEST_BYTES = 8


class Digest:
    """Combined and bucket digests of one revision of a topic."""

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
        """Yields the keys in buckets whose digest differs from the peer's."""
        for own, other, keys in zip(
            self.buckets, buckets, self._keys, strict=True
        ):
            if own != other:
                yield from keys


def get_bucket_index(key: str) -> int:
    """Returns the index of a key's bucket."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % (
        BUCKET_COUNT
    )


def _hash_entry(key: str, version: int) -> int:
    text = f"{key}\0{version}".encode()
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=_BUCKET_BYTES).digest(), "big"
    )


def _combine(buckets: tuple[int, ...]) -> int:
    joined = b"".join(
        bucket.to_bytes(_BUCKET_BYTES, "big") for bucket in buckets
    )
    return int.from_bytes(
        hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).digest(), "big"
    )
