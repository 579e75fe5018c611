"""Reads scenarios from text into frozen data classes."""

import pathlib
from typing import Any

from kumquatridge.bench import bounds
from kumquatridge.bench import demands
from kumquatridge.bench import deployment_text
from kumquatridge.bench import deployments
from kumquatridge.bench import errors
from kumquatridge.bench import grammar
from kumquatridge.bench import library
from kumquatridge.bench import scenario
from kumquatridge.bench import troubles


class _ScenarioDecoder(deployment_text.PartsDecoder):
    """Decodes a scenario; `examples` is the folder of the deployments."""

    start = "scenario"

    def __init__(self, name: str, examples: pathlib.Path) -> None:
        super().__init__()
        self._name = name
        self._examples = examples

    def scaled(self, items: list[Any]) -> scenario.Scaled:
        return scenario.Scaled(items[0])

    def of_capacity(self, items: list[Any]) -> demands.Rate:
        return demands.OfCapacity(items[0])

    def absolute(self, items: list[Any]) -> demands.Rate:
        return demands.Absolute(items[0])

    def swing(self, items: list[Any]) -> demands.Rate:
        return demands.Swing(*items)

    def share(self, items: list[Any]) -> demands.Share:
        return demands.Share(*items)

    def demand(self, items: list[Any]) -> demands.Demand:
        span, rate, *mix = items
        return demands.Demand(span, rate, tuple(mix))

    def double(self, items: list[Any]) -> float:
        return float(items[0])

    def callers(self, items: list[Any]) -> demands.Callers:
        return demands.Callers(*items)

    def slow(self, items: list[Any]) -> troubles.Trouble:
        return troubles.Slow(*items)

    def slow_moments(self, items: list[Any]) -> troubles.Trouble:
        return troubles.SlowMoments(*items)

    def stall(self, items: list[Any]) -> troubles.Trouble:
        return troubles.Stall(*items)

    def crash_worker(self, items: list[Any]) -> troubles.Trouble:
        return troubles.CrashWorker(*items)

    def restart_daemon(self, items: list[Any]) -> troubles.Trouble:
        return troubles.RestartDaemon(*items)

    def restart_data_centre(self, items: list[Any]) -> troubles.Trouble:
        return troubles.RestartDataCentre(*items)

    def platform_down(self, _: list[Any]) -> troubles.Trouble:
        return troubles.PlatformDown()

    def reports_late(self, items: list[Any]) -> troubles.Trouble:
        return troubles.ReportsLate(*items)

    def reports_false(self, items: list[Any]) -> troubles.Trouble:
        return troubles.ReportsFalse(*items)

    def pause_daemon(self, items: list[Any]) -> troubles.Trouble:
        return troubles.PauseDaemon(*items)

    def cut(self, items: list[Any]) -> troubles.Trouble:
        return troubles.Cut(*items)

    def lose_answers(self, items: list[Any]) -> troubles.Trouble:
        return troubles.Lose(troubles.Half.ANSWERS, items[0])

    def lose_calls(self, items: list[Any]) -> troubles.Trouble:
        return troubles.Lose(troubles.Half.CALLS, items[0])

    def fault(self, items: list[Any]) -> troubles.Fault:
        return troubles.Fault(*items)

    def goodput(self, items: list[Any]) -> bounds.Bound:
        return bounds.Goodput(*items)

    def success(self, items: list[Any]) -> bounds.Bound:
        *chains, span, least = items
        return bounds.Success(tuple(chains), span, least)

    def recovery(self, items: list[Any]) -> bounds.Bound:
        *chains, after_ms, before, most_ms = items
        return bounds.Recovery(tuple(chains), after_ms, before, most_ms)

    def tail_latency(self, items: list[Any]) -> bounds.Bound:
        chain, span, most_ratio, quiet = items
        return bounds.TailLatency(chain, span, quiet, most_ratio)

    def standstill(self, items: list[Any]) -> bounds.Bound:
        return bounds.Standstill(*items)

    def crashes(self, items: list[Any]) -> bounds.Bound:
        return bounds.Crashes(*items)

    def innocent_quarantine(self, items: list[Any]) -> bounds.Bound:
        return bounds.InnocentQuarantine(*items)

    def bound(self, items: list[Any]) -> bounds.Bound:
        found: bounds.Bound = items[0]
        return found

    def scenario(self, items: list[Any]) -> scenario.Scenario:
        title, deployment_name, *rest = items
        deployment = deployment_text.read_deployment(
            self._examples, deployment_name
        )
        scales = _pick(rest, scenario.Scaled)
        if scales:
            deployment = deployments.scale_slots(deployment, scales[0].ratio)
        duration_ms = next(one for one in rest if type(one) is float)
        chains = _pick(rest, deployments.Chain)
        callers = _pick(rest, demands.Callers)
        return scenario.Scenario(
            self._name,
            title,
            deployments.add_chains(deployment, chains),
            duration_ms,
            _pick(rest, demands.Demand),
            callers[0] if callers else demands.Callers(),
            _pick(rest, troubles.Fault),
            _pick(rest, *_BOUNDS),
        )


_BOUNDS = (
    bounds.Goodput,
    bounds.Success,
    bounds.Recovery,
    bounds.TailLatency,
    bounds.Standstill,
    bounds.Crashes,
    bounds.InnocentQuarantine,
)


def _pick(items: list[Any], *kinds: type) -> tuple[Any, ...]:
    return tuple(one for one in items if type(one) in kinds)


def decode_scenario(
    source: str, name: str, text: str, examples: pathlib.Path
) -> scenario.Scenario:
    """Decodes a scenario whose deployment stands in the examples' folder.

    Raises:
      ScenarioSyntaxError: names source, line, column and what was expected.
      BenchError: the scenario names something that is not there.
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
    """Reads a scenario from a file."""
    name = library.get_name(file)
    return decode_scenario(str(file), name, grammar.read(file), examples)
