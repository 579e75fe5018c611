"""`kumquatridge check`: validates settings without applying them."""

import pathlib

import click

from kumquatridge.encoding import daemon_text
from kumquatridge.encoding import settings_text
from kumquatridge.platform import settings_file
from kumquatridge.ui import failures

# The metrics port is an option of the daemon and not part of FILE, so any valid
# port will do for the check.
PLACEHOLDER_METRICS_PORT = 1


@click.command()
@click.option(
    "--daemon", is_flag=True, help="FILE holds the settings of a daemon."
)
@click.option(
    "--platform", is_flag=True, help="FILE was written by the users' platform."
)
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(daemon: bool, platform: bool, file: pathlib.Path) -> None:
    """Checks FILE, a settings tree or a daemon's settings."""
    with failures.report_errors():
        if platform:
            settings_file.read_settings(file, PLACEHOLDER_METRICS_PORT)
        elif daemon:
            daemon_text.read_daemon_settings(file)
        else:
            settings_text.read_tree(file).compile()
    click.echo(f"{file}: valid")
