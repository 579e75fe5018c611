"""The program `kumquatridge`."""

import click

import kumquatridge
from kumquatridge.ui import bench
from kumquatridge.ui import check
from kumquatridge.ui import demo
from kumquatridge.ui import explain
from kumquatridge.ui import retire
from kumquatridge.ui import settings
from kumquatridge.ui import status


@click.group()
@click.version_option(kumquatridge.__version__, prog_name="kumquatridge")
def main() -> None:
    """Operates an overload control layer and explains its decisions."""


main.add_command(bench.bench)
main.add_command(check.check)
main.add_command(settings.settings)
main.add_command(demo.demo)
main.add_command(explain.explain)
main.add_command(retire.retire)
main.add_command(status.status)
