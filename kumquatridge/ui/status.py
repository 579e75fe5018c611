"""`kumquatridge status`: prints the state of daemons and the fleet."""

from collections.abc import Iterator
import json
from typing import Any

import click

from kumquatridge.calls import importance as call_importance
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
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(operator: tuple[str, ...], as_json: bool) -> None:
    """Shows members, reasons for suspicion, settings and what is cut off."""
    with failures.report_errors():
        statuses = [
            operator_client.fetch(address, "/v1/status") for address in operator
        ]
    if as_json:
        click.echo(json.dumps(statuses, indent=2))
        return
    for daemon_status in statuses:
        for line in render(daemon_status):
            click.echo(line)


def render(daemon_status: dict[str, Any]) -> Iterator[str]:
    """Yields the lines of text that describe one daemon.

    `daemon_status` is the JSON form of `operators.app.DaemonStatus`.
    """
    yield (
        f"{daemon_status['instance']} in {daemon_status['data_centre']}: "
        f"{daemon_status['in_progress']} of {daemon_status['limit']} "
        f"in progress, {daemon_status['queued']} queued"
    )
    yield f"  {_render_admission(daemon_status['admission'])}"
    settings = daemon_status["settings"]
    yield (
        f"  settings: {settings['origin']}, {settings['nodes']} nodes, "
        f"digest {settings['digest']:x}"
    )
    if settings.get("fault"):
        yield f"  settings fault: {settings['fault']}"
    yield f"  {_render_platform(daemon_status['platform'])}"
    for member in daemon_status["members"]:
        yield f"  {_render_member(member)}"
    for data_centre in daemon_status["data_centres"]:
        yield f"  {_render_data_centre(data_centre)}"


def _render_admission(admission: dict[str, Any]) -> str:
    level = admission["level"]
    importance = call_importance.Importance(level["importance"]).name.lower()
    state = "overloaded" if admission["is_overloaded"] else "not overloaded"
    return (
        f"admission: {state}, limit {admission['limit']} of "
        f"{admission['slots']} slots, admits importance {importance} at depth "
        f"class {level['depth_class']} and root hash up to "
        f"{level['threshold']}, latency {admission['latency_ms']:.1f} ms"
    )


def _render_platform(platform: dict[str, Any]) -> str:
    if platform["since_s"] is None:
        return "platform: not asked by any relay"
    relays = ", ".join(
        f"{relay['instance']} {relay['reach']} for {relay['since_s']} s"
        for relay in platform["relays"]
    )
    return (
        f"platform: {platform['reach']} for {platform['since_s']} s "
        f"(relays: {relays})"
    )


def _render_member(member: dict[str, Any]) -> str:
    service = member["service"] or "no worker"
    line = f"{member['instance']} ({service}): {member['state']}"
    if member["since_s"] is not None:
        line += f" for {member['since_s']} s: {member['reason']}"
    return line


def _render_data_centre(data_centre: dict[str, Any]) -> str:
    reach = "reachable" if data_centre["reachable"] else "cut off"
    return (
        f"data centre {data_centre['name']}: {reach} for "
        f"{data_centre['since_s']} s, {data_centre['instances']} instances, "
        f"relays {', '.join(data_centre['relays'])}"
    )
