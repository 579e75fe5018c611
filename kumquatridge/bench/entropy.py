"""Makes a run repeatable though the product asks for random ids."""

from collections.abc import Iterator
import contextlib
import random
import secrets

DEFAULT_BYTES = 32


@contextlib.contextmanager
def seed_secrets(seed: str) -> Iterator[None]:
    """Draws the ids of `secrets.token_hex` from a seed while it is open."""
    source = random.Random(f"{seed}/secrets")
    original = secrets.token_hex

    def make_token(nbytes: int | None = None) -> str:
        return source.randbytes(nbytes or DEFAULT_BYTES).hex()

    secrets.token_hex = make_token
    try:
        yield
    finally:
        secrets.token_hex = original
