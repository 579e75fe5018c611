"""`kumquatridge demo`: demonstrates an overload and the recovery."""

import dataclasses
import json

import click
import uvloop

from kumquatridge.demo import deployment
from kumquatridge.demo import report
from kumquatridge.demo import runner
from kumquatridge.ui import failures


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def demo(as_json: bool) -> None:
    """Runs local daemons and sample workers and overloads them briefly."""
    settings = deployment.DeploymentSettings()
    if not as_json:
        click.echo(
            f"{settings.workers} workers with {settings.slots} slots each, "
            "normal load, then twice the capacity, then normal; 13 s ..."
        )
    with failures.report_errors():
        measurements = uvloop.run(runner.run_demo(settings))
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(measurements), indent=2))
    else:
        click.echo(report.render(measurements))
