"""Decodes scenarios from text into frozen data classes."""

import pathlib
from typing import Any

from kumquatridge.bench import bounds
from kumquatridge.bench import demands
from kumquatridge.bench import deployment_text
from kumquatridge.bench import deployments
from kumquatridge.bench import errors
from kumquatridge.bench import fault_types
from kumquatridge.bench import grammar
from kumquatridge.bench import library
from kumquatridge.bench import scenario


class _ScenarioDecoder(deployment_text.CommonDecoder):
    """Decodes a scenario; `examples` is the folder of the deployments.

    Each method decodes the grammar rule of its name; `items` are the decoded
    parts of the rule, in the order of the text.
    """

    start = "scenario"

    def __init__(self, name: str, examples: pathlib.Path) -> None:
        super().__init__()
        self._name = name
        self._examples = examples

    def scaled(self, items: list[Any]) -> scenario.SlotScale:
        return scenario.SlotScale(items[0])

    def of_capacity(self, items: list[Any]) -> demands.Rate:
        return demands.CapacityMultiple(items[0])

    def absolute(self, items: list[Any]) -> demands.Rate:
        return demands.AbsoluteRate(items[0])

    def swing(self, items: list[Any]) -> demands.Rate:
        return demands.TriangleWave(*items)

    def share(self, items: list[Any]) -> demands.Share:
        return demands.Share(*items)

    def demand(self, items: list[Any]) -> demands.Demand:
        span, rate, *mix = items
        return demands.Demand(span, rate, tuple(mix))

    def double(self, items: list[Any]) -> float:
        """Decodes the ratio of attempts that callers send twice."""
        return float(items[0])

    def callers(self, items: list[Any]) -> demands.CallerBehaviour:
        return demands.CallerBehaviour(*items)

    def slow(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.SlowWorkers(*items)

    def slow_moments(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.PeriodicSlowdown(*items)

    def stall(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.StallWorker(*items)

    def crash_worker(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.CrashWorker(*items)

    def restart_daemon(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.RestartDaemon(*items)

    def restart_data_centre(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.RestartDataCentre(*items)

    def platform_down(self, _: list[Any]) -> fault_types.FaultType:
        return fault_types.PlatformDown()

    def reports_late(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.DelayedReports(*items)

    def reports_false(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.FalseReports(*items)

    def pause_daemon(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.PauseDaemon(*items)

    def cut(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.CutOffDataCentre(*items)

    def lose_answers(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.LoseMessages(fault_types.Direction.ANSWERS, items[0])

    def lose_calls(self, items: list[Any]) -> fault_types.FaultType:
        return fault_types.LoseMessages(fault_types.Direction.CALLS, items[0])

    def fault(self, items: list[Any]) -> fault_types.Fault:
        return fault_types.Fault(*items)

    def goodput(self, items: list[Any]) -> bounds.Bound:
        return bounds.Goodput(*items)

    def success(self, items: list[Any]) -> bounds.Bound:
        *chains, span, min_ratio = items
        return bounds.Success(tuple(chains), span, min_ratio)

    def recovery(self, items: list[Any]) -> bounds.Bound:
        *chains, after_ms, reference, max_ms = items
        return bounds.Recovery(tuple(chains), after_ms, reference, max_ms)

    def tail_latency(self, items: list[Any]) -> bounds.Bound:
        chain, span, max_ratio, reference = items
        return bounds.TailLatency(chain, span, reference, max_ratio)

    def standstill(self, items: list[Any]) -> bounds.Bound:
        return bounds.Standstill(*items)

    def crashes(self, items: list[Any]) -> bounds.Bound:
        return bounds.Crashes(*items)

    def innocent_quarantine(self, items: list[Any]) -> bounds.Bound:
        return bounds.FalseQuarantine(*items)

    def bound(self, items: list[Any]) -> bounds.Bound:
        decoded: bounds.Bound = items[0]
        return decoded

    def scenario(self, items: list[Any]) -> scenario.Scenario:
        title, deployment_name, *rest = items
        deployment = deployment_text.read_deployment(
            self._examples, deployment_name
        )
        scales = _filter_by_type(rest, scenario.SlotScale)
        if scales:
            deployment = deployments.scale_slots(deployment, scales[0].ratio)
        # The duration is the only part that decodes to a bare number.
        duration_ms = next(item for item in rest if type(item) is float)
        chains = _filter_by_type(rest, deployments.Chain)
        callers = _filter_by_type(rest, demands.CallerBehaviour)
        return scenario.Scenario(
            self._name,
            title,
            deployments.add_chains(deployment, chains),
            duration_ms,
            _filter_by_type(rest, demands.Demand),
            callers[0] if callers else demands.CallerBehaviour(),
            _filter_by_type(rest, fault_types.Fault),
            _filter_by_type(rest, *_BOUNDS),
        )


_BOUNDS = (
    bounds.Goodput,
    bounds.Success,
    bounds.Recovery,
    bounds.TailLatency,
    bounds.Standstill,
    bounds.Crashes,
    bounds.FalseQuarantine,
)


def _filter_by_type(items: list[Any], *types: type) -> tuple[Any, ...]:
    return tuple(item for item in items if type(item) in types)


def decode_scenario(
    source: str, name: str, text: str, examples: pathlib.Path
) -> scenario.Scenario:
    """Decodes a scenario; reads its deployment from the folder `examples`.

    Raises:
      ScenarioSyntaxError: the text does not match the grammar.
      BenchError: the deployment can't be read, or lacks a chain, service,
        worker or data centre that the scenario refers to.
    """
    decoded = grammar.decode(source, text, _ScenarioDecoder(name, examples))
    assert isinstance(decoded, scenario.Scenario)
    problem = scenario.find_problem(decoded)
    if problem is not None:
        raise errors.BenchError(f"{source}: {problem}")
    return decoded


def read_scenario(
    file: pathlib.Path, examples: pathlib.Path
) -> scenario.Scenario:
    """Reads a scenario from a file; raises as `decode_scenario` does."""
    name = library.get_name(file)
    return decode_scenario(str(file), name, grammar.read(file), examples)
