"""Digests of versioned entries, whole and in buckets.

Two daemons compare one number; only when it differs do they compare the
buckets, and only the entries of buckets that differ are listed.
"""

from collections.abc import Iterator, Mapping
import hashlib

BUCKET_COUNT = 32
_BUCKET_BYTES = 4
_DIGEST_BYTES = 8


class Digest:
    """The digest of one revision of a topic."""

    def __init__(self, versions: Mapping[str, int]) -> None:
        buckets = [0] * BUCKET_COUNT
        self._keys: list[list[str]] = [[] for _ in buckets]
        for key, version in versions.items():
            index = find_bucket(key)
            buckets[index] ^= _hash_entry(key, version)
            self._keys[index].append(key)
        self.buckets = tuple(buckets)
        self.whole = _fold(self.buckets)

    def find_differing_keys(self, buckets: tuple[int, ...]) -> Iterator[str]:
        """Iterates over the keys in buckets that differ from the other's."""
        for own, other, keys in zip(
            self.buckets, buckets, self._keys, strict=True
        ):
            if own != other:
                yield from keys


def find_bucket(key: str) -> int:
    """Returns the index of the bucket that a key belongs to."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % (
        BUCKET_COUNT
    )


def _hash_entry(key: str, version: int) -> int:
    text = f"{key}\0{version}".encode()
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=_BUCKET_BYTES).digest(), "big"
    )


def _fold(buckets: tuple[int, ...]) -> int:
    joined = b"".join(one.to_bytes(_BUCKET_BYTES, "big") for one in buckets)
    return int.from_bytes(
        hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).digest(), "big"
    )
