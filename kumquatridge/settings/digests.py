"""A digest over the versions of all nodes.

The digest is the exclusive or of the hashes of all (path, version) pairs, so a
change of one node updates it in constant time.
"""

from collections.abc import Mapping

import xxhash


def hash_entry(path: str, version: int) -> int:
    """Returns the 64-bit hash of one version of a node."""
    return xxhash.xxh64_intdigest(f"{path} {version}".encode())


def make_digest(versions: Mapping[str, int]) -> int:
    """Returns the digest of the given versions, which map path to version."""
    digest = 0
    for path, version in versions.items():
        digest ^= hash_entry(path, version)
    return digest
