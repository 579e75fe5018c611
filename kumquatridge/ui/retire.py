"""`kumquatridge retire`: retires a destroyed instance as a home of keys.

The home of an idempotency key is the only daemon that may run calls with it.
"""

import json
from urllib import parse

import click

from kumquatridge.ui import failures
from kumquatridge.ui import operator_client


@click.command()
@click.option(
    "--operator",
    required=True,
    metavar="ADDRESS",
    help="Operators' address of any daemon of the same service.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.argument("instance")
def retire(operator: str, as_json: bool, instance: str) -> None:
    """Gives the idempotency keys of a destroyed INSTANCE to other instances.

    Only for an instance that can't run calls any more: calls with its keys
    may run on other instances afterwards.
    """
    with failures.report_errors():
        name = parse.quote(instance, safe="")
        operator_client.delete(operator, f"/v1/homes/{name}")
    if as_json:
        click.echo(json.dumps({"retired": instance, "operator": operator}))
        return
    click.echo(
        f"{instance} is retired; the other daemons are notified by {operator}"
    )
