"""The pages of events and metrics in docs match the code."""

from collections.abc import Callable
import pathlib

import pytest

from kumquatridge.telemetry import catalogue

DOCS = pathlib.Path(__file__).parents[2] / "docs"


@pytest.mark.parametrize(
    ("page", "render"),
    [
        pytest.param("EVENTS.md", catalogue.render_events, id="events"),
        pytest.param("METRICS.md", catalogue.render_metrics, id="metrics"),
    ],
)
def test_page_contains_the_generated_table(
    page: str, render: Callable[[], str]
) -> None:
    assert render() in (DOCS / page).read_text(encoding="utf-8")


def test_event_numbers_are_unique() -> None:
    numbers = [event_class.number for event_class in catalogue.iter_events()]
    assert len(set(numbers)) == len(numbers)
