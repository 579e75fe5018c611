"""Reads scenarios and deployments from text into frozen data classes."""

import functools
import importlib.resources
import pathlib
from typing import Any

import lark
import lark.exceptions
import lark.lexer

from kumquatridge.bench import errors
from kumquatridge.bench import scenario

_GRAMMAR = "scenario.lark"
_DEPLOYMENT_FILE = "deployment.scenario"


@functools.cache
def _make_parser(start: str) -> lark.Lark:
    grammar = (
        importlib.resources.files("kumquatridge.bench")
        .joinpath(_GRAMMAR)
        .read_text(encoding="utf-8")
    )
    return lark.Lark(
        grammar, parser="lalr", start=start, propagate_positions=True
    )


class _Group(tuple[Any, ...]):
    """The decoded items of a grammar rule that occurs once."""


class _Decoder(lark.Transformer):  # type: ignore[misc]
    """Turns the parts of a syntax tree that scenario and deployment share.

    Each method decodes the grammar rule of its name; `start` is the rule of
    a whole text.
    """

    start: str
    NAME = str
    METHOD = str
    PATH = str
    INT = int
    NUMBER = float

    def STRING(self, token: str) -> str:  # noqa: N802
        return token[1:-1]

    def seconds(self, items: list[Any]) -> float:
        return float(items[0]) * 1000.0

    def milliseconds(self, items: list[Any]) -> float:
        return float(items[0])

    def percent(self, items: list[Any]) -> float:
        return float(items[0]) / 100.0

    def span(self, items: list[Any]) -> scenario.Span:
        return scenario.Span(*items)

    def work(self, items: list[Any]) -> float:
        return float(items[0])

    def in_turn(self, items: list[Any]) -> _Group:
        return _Group((tuple(items), False))

    def together(self, items: list[Any]) -> _Group:
        return _Group((tuple(items), True))

    def step(self, items: list[Any]) -> scenario.Step:
        method, service, path, *rest = items
        work_ratio = next((one for one in rest if type(one) is float), 1.0)
        groups = [one for one in rest if type(one) is _Group]
        children, is_parallel = groups[0] if groups else ((), False)
        return scenario.Step(
            method, service, path, work_ratio, children, is_parallel
        )

    def poison(self, _: list[Any]) -> bool:
        return True

    def chain(self, items: list[Any]) -> scenario.Chain:
        *poison, name, root = items
        return scenario.Chain(name, root, bool(poison))


class _DeploymentDecoder(_Decoder):
    """Decodes a deployment."""

    start = "deployment"

    def service(self, items: list[Any]) -> scenario.Service:
        return scenario.Service(*items)

    def deployment(self, items: list[Any]) -> scenario.Deployment:
        name, *rest = items
        centres = tuple(one for one in rest if type(one) is str)
        delay_ms, caller_delay_ms, scale = (
            one for one in rest if type(one) is float
        )
        return scenario.Deployment(
            name,
            centres,
            delay_ms,
            caller_delay_ms,
            scale,
            tuple(one for one in rest if type(one) is scenario.Service),
            tuple(one for one in rest if type(one) is scenario.Chain),
        )


class _ScenarioDecoder(_Decoder):
    """Decodes a scenario; `examples` is the folder of the deployments."""

    start = "scenario"

    def __init__(self, name: str, examples: pathlib.Path) -> None:
        super().__init__()
        self._name = name
        self._examples = examples

    def scaled(self, items: list[Any]) -> scenario.Scaled:
        return scenario.Scaled(items[0])

    def of_capacity(self, items: list[Any]) -> scenario.Rate:
        return scenario.OfCapacity(items[0])

    def absolute(self, items: list[Any]) -> scenario.Rate:
        return scenario.Absolute(items[0])

    def swing(self, items: list[Any]) -> scenario.Rate:
        return scenario.Swing(*items)

    def share(self, items: list[Any]) -> scenario.Share:
        return scenario.Share(*items)

    def demand(self, items: list[Any]) -> scenario.Demand:
        span, rate, *mix = items
        return scenario.Demand(span, rate, tuple(mix))

    def double(self, items: list[Any]) -> float:
        return float(items[0])

    def callers(self, items: list[Any]) -> scenario.Callers:
        return scenario.Callers(*items)

    def slow(self, items: list[Any]) -> scenario.Trouble:
        return scenario.Slow(*items)

    def slow_moments(self, items: list[Any]) -> scenario.Trouble:
        return scenario.SlowMoments(*items)

    def stall(self, items: list[Any]) -> scenario.Trouble:
        return scenario.Stall(*items)

    def crash_worker(self, items: list[Any]) -> scenario.Trouble:
        return scenario.CrashWorker(*items)

    def restart_daemon(self, items: list[Any]) -> scenario.Trouble:
        return scenario.RestartDaemon(*items)

    def pause_daemon(self, items: list[Any]) -> scenario.Trouble:
        return scenario.PauseDaemon(*items)

    def cut(self, items: list[Any]) -> scenario.Trouble:
        return scenario.Cut(*items)

    def lose_answers(self, items: list[Any]) -> scenario.Trouble:
        return scenario.Lose(scenario.Half.ANSWERS, items[0])

    def lose_calls(self, items: list[Any]) -> scenario.Trouble:
        return scenario.Lose(scenario.Half.CALLS, items[0])

    def fault(self, items: list[Any]) -> scenario.Fault:
        return scenario.Fault(*items)

    def goodput(self, items: list[Any]) -> scenario.Bound:
        return scenario.Goodput(*items)

    def success(self, items: list[Any]) -> scenario.Bound:
        *chains, span, least = items
        return scenario.Success(tuple(chains), span, least)

    def recovery(self, items: list[Any]) -> scenario.Bound:
        *chains, after_ms, before, most_ms = items
        return scenario.Recovery(tuple(chains), after_ms, before, most_ms)

    def tail_latency(self, items: list[Any]) -> scenario.Bound:
        chain, span, most_ratio, quiet = items
        return scenario.TailLatency(chain, span, quiet, most_ratio)

    def standstill(self, items: list[Any]) -> scenario.Bound:
        return scenario.Standstill(*items)

    def crashes(self, items: list[Any]) -> scenario.Bound:
        return scenario.Crashes(*items)

    def innocent_quarantine(self, items: list[Any]) -> scenario.Bound:
        return scenario.InnocentQuarantine(*items)

    def bound(self, items: list[Any]) -> scenario.Bound:
        found: scenario.Bound = items[0]
        return found

    def scenario(self, items: list[Any]) -> scenario.Scenario:
        title, deployment_name, *rest = items
        deployment = read_deployment(self._examples, deployment_name)
        scales = _pick(rest, scenario.Scaled)
        if scales:
            deployment = scenario.scale_slots(deployment, scales[0].ratio)
        duration_ms = next(one for one in rest if type(one) is float)
        chains = _pick(rest, scenario.Chain)
        callers = _pick(rest, scenario.Callers)
        return scenario.Scenario(
            self._name,
            title,
            scenario.add_chains(deployment, chains),
            duration_ms,
            _pick(rest, scenario.Demand),
            callers[0] if callers else scenario.Callers(),
            _pick(rest, scenario.Fault),
            _pick(rest, *_BOUNDS),
        )


_BOUNDS = (
    scenario.Goodput,
    scenario.Success,
    scenario.Recovery,
    scenario.TailLatency,
    scenario.Standstill,
    scenario.Crashes,
    scenario.InnocentQuarantine,
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
    decoded = _decode(source, text, _ScenarioDecoder(name, examples))
    assert isinstance(decoded, scenario.Scenario)
    problem = scenario.find_problem(decoded)
    if problem is not None:
        raise errors.BenchError(f"{source}: {problem}")
    return decoded


def read_scenario(
    file: pathlib.Path, examples: pathlib.Path
) -> scenario.Scenario:
    """Reads a scenario from a file."""
    return decode_scenario(str(file), file.stem, _read(file), examples)


def read_deployment(examples: pathlib.Path, name: str) -> scenario.Deployment:
    """Reads the deployment of an example."""
    file = examples / name / _DEPLOYMENT_FILE
    decoded = _decode(str(file), _read(file), _DeploymentDecoder())
    assert isinstance(decoded, scenario.Deployment)
    return decoded


def _read(file: pathlib.Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.BenchError(f"{file}: can't be read: {error}") from error


def _decode(source: str, text: str, decoder: _Decoder) -> object:
    parser = _make_parser(decoder.start)
    try:
        return decoder.transform(parser.parse(text))
    except lark.exceptions.UnexpectedInput as error:
        raise _explain(source, parser, error) from error
    except lark.exceptions.VisitError as error:
        if isinstance(error.orig_exc, errors.BenchError):
            raise error.orig_exc from error
        raise


def _explain(
    source: str, parser: lark.Lark, error: lark.exceptions.UnexpectedInput
) -> errors.ScenarioSyntaxError:
    found = getattr(error, "token", None) or getattr(error, "char", "")
    expected = getattr(error, "expected", None) or getattr(
        error, "allowed", None
    )
    literals = {
        one.name: f'"{one.pattern.value}"'
        for one in parser.terminals
        if type(one.pattern) is lark.lexer.PatternStr
    }
    names = ", ".join(
        sorted(literals.get(name, name.lower()) for name in expected or ())
    )
    shown = "the end of the text" if not str(found) else repr(str(found))
    return errors.ScenarioSyntaxError(
        source, error.line, error.column, f"got {shown}, expected {names}"
    )
