"""`kumquatridge check`: validates settings without applying them."""

import pathlib

import click

from kumquatridge.encoding import daemon_text
from kumquatridge.encoding import settings_text
from kumquatridge.ui import failures


@click.command()
@click.option("--daemon", is_flag=True, help="FILE is a daemon's settings.")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(daemon: bool, file: pathlib.Path) -> None:
    """Checks FILE, a settings tree or a daemon's settings."""
    with failures.report_errors():
        if daemon:
            daemon_text.read_daemon_settings(file)
        else:
            settings_text.read_tree(file).compile()
    click.echo(f"{file}: valid")
