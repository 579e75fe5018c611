"""The daemon's program on the platform."""

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
    help="The settings file that the platform wrote, in TOML.",
)
@click.option(
    "--metrics-port",
    type=click.IntRange(1, 65535),
    required=True,
    help="Where metrics are served, as the deploy file says it.",
)
def main(settings: pathlib.Path, metrics_port: int) -> None:
    """Runs the daemon that stands beside one worker."""
    try:
        source = settings_file.SettingsSource(settings, metrics_port)
        uvloop.run(runtime.run(source))
    except errors.KumquatridgeError as error:
        click.echo(f"kumquatridged: {error}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
