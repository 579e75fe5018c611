"""Texts that come from clients and are kept after their requests."""

# Ids, targets and hosts of proper clients are shorter. A longer text is as long
# as a request head may be.
MAX_CHARS = 512


def shorten(text: str) -> str:
    """Returns the start of a text, all of it unless it is very long."""
    return text if len(text) <= MAX_CHARS else text[:MAX_CHARS]


def shorten_value(value: object) -> object:
    """Returns a value whose texts, also those in mappings, are shortened."""
    match value:
        case str():
            return shorten(value)
        case dict():
            return {key: shorten_value(item) for key, item in value.items()}
        case _:
            return value
