"""Decoding of scenarios, and errors with line, column and expected words."""

import dataclasses

import pytest

from kumquatridge.bench import bounds
from kumquatridge.bench import demands
from kumquatridge.bench import deployment_text
from kumquatridge.bench import errors
from kumquatridge.bench import fault_types
from kumquatridge.bench import library
from kumquatridge.bench import scenario
from kumquatridge.bench import scenario_text
from kumquatridge.bench import spans

HEAD = 'title "t"\ndeployment milchdienst\nduration 5 s\n'
DEMAND = "demand from 0 s to 1 s 0.5 x lookup 1\n"


def decode(text: str) -> scenario.Scenario:
    """Decodes a scenario on the deployments of the examples."""
    return scenario_text.decode_scenario("s", "s", text, library.EXAMPLES)


@dataclasses.dataclass(frozen=True)
class BadText:
    """An invalid text and a part of its error message.

    Messages start with the source "s", line and column.
    """

    text: str
    message: str


BAD_TEXTS = {
    "empty": BadText("", "s:1:1: "),
    "unknown word": BadText(HEAD + DEMAND + "fauld", "s:5:1: "),
    "no unit": BadText(HEAD + "demand from 0 to 1 s", "s:4:15: got 'to'"),
    "no demand": BadText(HEAD, "expected"),
    "bound without a figure": BadText(
        HEAD + DEMAND + "bound goodput from 0 s to 1 s", 'expected ">="'
    ),
    "unknown chain": BadText(
        HEAD + "demand from 0 s to 1 s 1 x lookout 1", "no chain 'lookout'"
    ),
    "unknown service": BadText(
        HEAD + DEMAND + "fault from 0 s to 1 s stall worker orders 1",
        "no service 'orders'",
    ),
    "unknown data centre": BadText(
        HEAD + DEMAND + "fault from 0 s to 1 s cut berlin",
        "no data centre 'berlin'",
    ),
    "restart of unknown data centre": BadText(
        HEAD + DEMAND + "fault from 0 s to 1 s restart data_centre berlin",
        "no data centre 'berlin'",
    ),
    "unknown worker": BadText(
        HEAD + DEMAND + "fault from 0 s to 1 s stall worker ordering 5",
        "no worker 5 of ordering: ordering has 4 workers",
    ),
    "unknown deployment": BadText(
        'title "t"\ndeployment nowhere\nduration 5 s\n' + DEMAND,
        "can't be read",
    ),
}


@pytest.mark.parametrize("bad", BAD_TEXTS.values(), ids=BAD_TEXTS.keys())
def test_invalid_text_is_rejected_with_place_and_reason(
    bad: BadText,
) -> None:
    with pytest.raises(errors.BenchError) as raised:
        decode(bad.text)
    assert bad.message in str(raised.value)


RATES: dict[str, demands.Rate] = {
    "2 x": demands.CapacityMultiple(2.0),
    "90 per second": demands.AbsoluteRate(90.0),
    "0.5 x to 2 x within 4 s": demands.TriangleWave(0.5, 2.0, 4000.0),
}


@pytest.mark.parametrize(("text", "rate"), RATES.items(), ids=RATES.keys())
def test_rate_is_decoded(text: str, rate: demands.Rate) -> None:
    script = decode(HEAD + f"demand from 0 s to 1 s {text} lookup 1")
    assert script.demands[0].rate == rate


FAULT_TYPES: dict[str, fault_types.FaultType] = {
    "restart daemon ordering 2": fault_types.RestartDaemon("ordering", 2),
    "restart data_centre landshut": fault_types.RestartDataCentre("landshut"),
    "platform down": fault_types.PlatformDown(),
    "reports late by 5 s": fault_types.DelayedReports(5000.0),
    "reports false 33 %": fault_types.FalseReports(0.33),
    "lose 3 % of calls": fault_types.LoseMessages(
        fault_types.Direction.CALLS, 0.03
    ),
}


@pytest.mark.parametrize(
    ("text", "trouble"), FAULT_TYPES.items(), ids=FAULT_TYPES.keys()
)
def test_fault_is_decoded(text: str, trouble: fault_types.FaultType) -> None:
    script = decode(HEAD + DEMAND + f"fault from 0 s to 1 s {text}")
    span = spans.Span(0.0, 1000.0)
    assert script.faults == (fault_types.Fault(span, trouble),)


BOUNDS: dict[str, bounds.Bound] = {
    "goodput from 1 s to 2 s >= 90 %": bounds.Goodput(
        spans.Span(1000.0, 2000.0), 0.9
    ),
    "success lookup stock from 1 s to 2 s >= 50 %": bounds.Success(
        ("lookup", "stock"), spans.Span(1000.0, 2000.0), 0.5
    ),
    "p99 lookup from 1 s to 2 s <= 1.5 x from 0 s to 1 s": (
        bounds.TailLatency(
            "lookup",
            spans.Span(1000.0, 2000.0),
            spans.Span(0.0, 1000.0),
            1.5,
        )
    ),
    "recovery lookup after 2 s against from 0 s to 1 s <= 3 s": (
        bounds.Recovery(("lookup",), 2000.0, spans.Span(0.0, 1000.0), 3000.0)
    ),
    "crashes ordering <= 3": bounds.Crashes("ordering", 3),
}


@pytest.mark.parametrize(("text", "bound"), BOUNDS.items(), ids=BOUNDS.keys())
def test_bound_is_decoded(text: str, bound: bounds.Bound) -> None:
    assert decode(HEAD + DEMAND + f"bound {text}").bounds == (bound,)


def test_chain_with_children_is_decoded() -> None:
    text = "chain c GET ordering /a work 2 { GET ordering /b GET ordering /c }"
    script = decode(HEAD + text + "\n" + DEMAND)
    root = script.deployment.chains[-1].root
    assert root.work_ratio == 2.0
    assert [child.path for child in root.children] == ["/b", "/c"]
    assert not root.is_parallel


@pytest.mark.parametrize("name", library.find_scenarios())
def test_shipped_scenarios_are_valid(name: str) -> None:
    file = library.find_file(name)
    script = scenario_text.read_scenario(file, library.EXAMPLES)
    assert script.demands
    assert script.name == name


@pytest.mark.parametrize(
    ("name", "workers", "data_centres"),
    [("milchdienst", 16, 3), ("botellas", 17, 4)],
)
def test_deployment_has_expected_size(
    name: str, workers: int, data_centres: int
) -> None:
    deployment = deployment_text.read_deployment(library.EXAMPLES, name)
    assert sum(service.workers for service in deployment.services) == workers
    assert len(deployment.data_centres) == data_centres
