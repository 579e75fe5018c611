"""Prints the log events and metrics of a daemon as Markdown tables.

python -m kumquatridge.telemetry.catalogue events
python -m kumquatridge.telemetry.catalogue metrics
"""

from collections.abc import Iterator
import dataclasses
import inspect
from typing import cast

import click

from kumquatridge.telemetry import events
from kumquatridge.telemetry import metric_specs


def iter_events() -> Iterator[type[events.Event]]:
    """Iterates over all event classes in the order of their numbers."""
    event_classes = [
        cast(type[events.Event], event_class)
        for _, event_class in inspect.getmembers(events, inspect.isclass)
        if dataclasses.is_dataclass(event_class)
    ]
    yield from sorted(event_classes, key=lambda event_class: event_class.number)


def render_events() -> str:
    """Returns a Markdown table of all log events.

    The meaning of an event is the first paragraph of its class docstring.
    """
    rows = ["| number | event | fields | meaning |", "|---|---|---|---|"]
    for event_class in iter_events():
        fields = ", ".join(
            field.name
            for field in dataclasses.fields(event_class)  # type: ignore[arg-type]
        )
        meaning = (inspect.getdoc(event_class) or "").split("\n\n")[0]
        rows.append(
            f"| KQ{event_class.number} | {event_class.__name__} | {fields} | "
            f"{' '.join(meaning.split())} |"
        )
    return "\n".join(rows) + "\n"


def render_metrics() -> str:
    """Returns a Markdown table of all counters, gauges and histograms."""
    rows = ["| metric | kind | meaning |", "|---|---|---|"]
    for counter in metric_specs.COUNTERS:
        rows.append(
            f"| {counter.name} | counter by {', '.join(counter.labels)} | "
            f"{counter.description} |"
        )
    for gauge in metric_specs.GAUGES:
        rows.append(
            f"| {gauge.name} | {_describe_gauge(gauge)} | {gauge.description} |"
        )
    for histogram in metric_specs.HISTOGRAMS:
        rows.append(
            f"| {histogram.name} | histogram by {', '.join(histogram.labels)}"
            f" | {histogram.description} |"
        )
    return "\n".join(rows) + "\n"


def _describe_gauge(gauge: metric_specs.GaugeSpec) -> str:
    if not gauge.labels:
        return "gauge"
    return f"gauge by {', '.join(gauge.labels)}"


@click.command()
@click.argument("kind", type=click.Choice(["events", "metrics"]))
def main(kind: str) -> None:
    """Prints a Markdown table of all log events or all metrics."""
    match kind:
        case "events":
            click.echo(render_events(), nl=False)
        case _:
            click.echo(render_metrics(), nl=False)


if __name__ == "__main__":
    main()
