"""`kumquatridge explain`: prints what a daemon decided and why."""

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
    help="Operators' address of a daemon; may be repeated.",
    multiple=True,
)
@click.option(
    "--count",
    default=20,
    help="Number of the latest decisions to show per daemon.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.argument("root_id", default="")
def explain(
    operator: tuple[str, ...], count: int, as_json: bool, root_id: str
) -> None:
    """Explains the refusals and retries of a request, or the latest ones.

    ROOT_ID is the value of the answer's kumquatridge-root-id header.
    """
    explanations: list[dict[str, Any]] = []
    with failures.report_errors():
        for address in operator:
            explanations += operator_client.fetch(
                address, "/v1/decisions", root_id=root_id, count=count
            )
    explanations.sort(key=lambda explanation: int(explanation["at_ms"]))
    if as_json:
        click.echo(json.dumps(explanations, indent=2))
        return
    for explanation in explanations:
        click.echo(_render(explanation))
    if not explanations:
        click.echo("no decisions are recorded")


def _render(explanation: dict[str, Any]) -> str:
    """Returns one line; see `operators.explanations.Explanation`."""
    at = dt.datetime.fromtimestamp(explanation["at_ms"] / 1000.0, dt.UTC)
    return (
        f"{at.isoformat(timespec='milliseconds')} {explanation['instance']} "
        f"{explanation['service']}/{explanation['route']} "
        f"{explanation['reason']}: {explanation['text']} "
        f"(root {explanation['root_id']})"
    )
