"""`kumquatridge explain`: says what a daemon decided and why."""

import datetime as dt
import json
from typing import Any

import click

from kumquatridge.ui import failures
from kumquatridge.ui import operator_client


@click.command()
@click.option(
    "--operator",
    required=True,
    metavar="ADDRESS",
    help="The operators' address of a daemon; may be given again.",
    multiple=True,
)
@click.option("--count", default=20, help="How many of the latest to show.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.argument("root_id", default="")
def explain(
    operator: tuple[str, ...], count: int, as_json: bool, root_id: str
) -> None:
    """Explains the refusals and retries of a request, or the latest ones.

    ROOT_ID is the kumquatridge-root-id header of the answer.
    """
    found: list[dict[str, Any]] = []
    with failures.report_errors():
        for address in operator:
            found += operator_client.fetch(
                address, "/v1/decisions", root_id=root_id, count=count
            )
    found.sort(key=lambda one: int(one["at_ms"]))
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    for one in found:
        click.echo(_render(one))
    if not found:
        click.echo("no decision is remembered")


def _render(one: dict[str, Any]) -> str:
    at = dt.datetime.fromtimestamp(one["at_ms"] / 1000.0, dt.UTC)
    return (
        f"{at.isoformat(timespec='milliseconds')} {one['instance']} "
        f"{one['service']}/{one['route']} {one['reason']}: {one['text']} "
        f"(root {one['root_id']})"
    )
