"""The program `kumquatridged`."""

import pathlib
import sys

import click
import eliot
import uvloop

import kumquatridge
from kumquatridge import errors
from kumquatridge.daemon import runtime
from kumquatridge.encoding import daemon_text


@click.command()
@click.version_option(kumquatridge.__version__, prog_name="kumquatridged")
@click.option(
    "--settings",
    "settings_file",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="The daemon's settings file, in JSON with comments.",
)
def main(settings_file: pathlib.Path) -> None:
    """Runs the sidecar daemon of one worker."""
    try:
        settings = daemon_text.read_daemon_settings(settings_file)
        eliot.to_file(sys.stderr)
        uvloop.run(runtime.run(settings))
    except errors.KumquatridgeError as error:
        click.echo(f"kumquatridged: {error}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
