"""Reports a `KumquatridgeError` as one line and an exit code."""

from collections.abc import Iterator
import contextlib
import sys

import click

from kumquatridge import errors

# Exit code; click itself exits with 2 for wrong usage.
EXIT_FAILED = 1


@contextlib.contextmanager
def report_errors() -> Iterator[None]:
    """Prints a `KumquatridgeError` as one line and exits with 1."""
    try:
        yield
    except errors.KumquatridgeError as error:
        line = " ".join(str(error).split())
        click.echo(f"kumquatridge: {line}", err=True)
        sys.exit(EXIT_FAILED)
