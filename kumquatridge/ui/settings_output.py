"""Output of `kumquatridge settings`."""

from collections.abc import Mapping
import dataclasses
import json
from typing import Any

import click

from kumquatridge.encoding import settings_text
from kumquatridge.settings import editing
from kumquatridge.settings import in_force
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import writer


def print_nodes(
    nodes: list[settings_node.Node], path: str, as_json: bool
) -> None:
    """Prints a subtree as text, or as JSON with the version of each node."""
    if as_json:
        print_json([_describe_node(node) for node in nodes])
    else:
        click.echo(settings_text.encode_nodes(nodes, path))


def print_plan(plan: editing.Plan, as_json: bool) -> None:
    """Prints planned changes without applying them."""
    changes = [_describe_change(change) for change in plan.changes]
    if as_json:
        print_json({"changes": changes, "warnings": list(plan.warnings)})
        return
    for line in changes or ["no change"]:
        click.echo(line)
    _print_warnings(plan)


def print_outcomes(
    plan: editing.Plan,
    outcomes: tuple[writer.WriteOutcome, ...],
    as_json: bool,
) -> None:
    """Prints the outcome of each change; failures go to stderr.

    Writing stops at the first failure, so there may be fewer outcomes than
    changes.
    """
    if as_json:
        described = [_describe_outcome(outcome) for outcome in outcomes]
        print_json({"outcomes": described, "warnings": list(plan.warnings)})
        return
    if not plan.changes:
        click.echo("no change")
    for outcome in outcomes:
        failed = not writer.are_accepted((outcome,))
        prefix = "kumquatridge: " if failed else ""
        click.echo(prefix + writer.describe(outcome), err=failed)
    for change in plan.changes[len(outcomes) :]:
        click.echo(
            f"kumquatridge: {change.path}: not attempted after the failure",
            err=True,
        )
    _print_warnings(plan)


def print_history(records: list[dict[str, Any]], as_json: bool) -> None:
    """Prints the versions of a node, one per line."""
    if as_json:
        print_json(records)
        return
    for record in records:
        click.echo(
            f"{record['version']}\t{record['written_at']}\t{record['writer']}\t"
            f"{json.dumps(record['settings'])}"
        )


def print_pending(
    pending: tuple[in_force.PendingChange, ...], as_json: bool
) -> None:
    """Prints the data centres where settings are not yet in force."""
    if as_json:
        print_json([dataclasses.asdict(change) for change in pending])
        return
    if not pending:
        click.echo("in force everywhere")
    for change in pending:
        click.echo(
            "kumquatridge: not yet in force: "
            f"{change.data_centre}: {change.reason}",
            err=True,
        )


def print_json(value: object) -> None:
    """Prints a value as JSON."""
    click.echo(json.dumps(value, indent=2))


def _describe_node(node: settings_node.Node) -> Mapping[str, Any]:
    return {
        "path": node.path,
        "version": node.version,
        "settings": settings_text.encode_settings(node.settings),
    }


def _describe_change(change: writer.Change) -> str:
    """Returns a line: "-" deletes a node, "+" adds one, "~" changes one."""
    if change.settings is None:
        return f"- {change.path}"
    sign = "+" if change.base is None else "~"
    values = json.dumps(settings_text.encode_settings(change.settings))
    return f"{sign} {change.path} {values}"


def _describe_outcome(outcome: writer.WriteOutcome) -> Mapping[str, Any]:
    name = type(outcome).__name__.lower()
    return {"outcome": name, **dataclasses.asdict(outcome)}


def _print_warnings(plan: editing.Plan) -> None:
    for warning in plan.warnings:
        click.echo(f"kumquatridge: warning: {warning}", err=True)
