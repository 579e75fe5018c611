"""Makes runs repeatable by seeding the random ids of the product."""

from collections.abc import Iterator
import contextlib
import random
import secrets

# Length of a token for which no length is given, as in `secrets`.
DEFAULT_BYTES = 32


@contextlib.contextmanager
def seed_secrets(seed: str) -> Iterator[None]:
    """Seeds `secrets.token_hex` while the context is open.

    The patch is global to the process.
    """
    source = random.Random(f"{seed}/secrets")
    original = secrets.token_hex

    def make_token(nbytes: int | None = None) -> str:
        return source.randbytes(nbytes or DEFAULT_BYTES).hex()

    secrets.token_hex = make_token
    try:
        yield
    finally:
        secrets.token_hex = original
