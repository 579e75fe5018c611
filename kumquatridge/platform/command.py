"""Command line of the daemon on the platform."""

import pathlib
import sys

import click
import uvloop

from kumquatridge import errors
from kumquatridge.platform import runtime
from kumquatridge.platform import settings_file


@click.command()
@click.option(
    "--settings",
    type=click.Path(path_type=pathlib.Path),
    envvar=settings_file.ENVIRONMENT_VARIABLE,
    required=True,
    help="The TOML settings file that the platform writes.",
)
@click.option(
    "--metrics-port",
    type=click.IntRange(1, 65535),
    required=True,
    help="Port on which metrics are served, as in the deploy file.",
)
def main(settings: pathlib.Path, metrics_port: int) -> None:
    """Runs the daemon of one worker."""
    try:
        source = settings_file.SettingsSource(settings, metrics_port)
        uvloop.run(runtime.run(source))
    except errors.KumquatridgeError as error:
        click.echo(f"kumquatridged: {error}", err=True)
        sys.exit(1)
