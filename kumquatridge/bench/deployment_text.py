"""Decodes deployments from text.

Also has the base decoder, which scenarios share.
"""

import pathlib
from typing import Any

from kumquatridge.bench import deployments
from kumquatridge.bench import grammar
from kumquatridge.bench import spans

_DEPLOYMENT_FILE = "deployment.scenario"


class _Group(tuple[Any, ...]):
    """The child calls of a step, and whether they are made in parallel.

    A type of its own, by which `CommonDecoder.step` tells the pair from the
    other items of a step.
    """


class CommonDecoder(grammar.Decoder):
    """Decodes the rules that the grammars of both texts share.

    Each method decodes the grammar rule of its name.
    """

    NAME = str
    METHOD = str
    PATH = str
    INT = int
    NUMBER = float

    def STRING(self, token: str) -> str:  # noqa: N802
        """Decodes a quoted string."""
        return token[1:-1]

    def seconds(self, items: list[Any]) -> float:
        """Decodes a time in seconds; returns ms."""
        return float(items[0]) * 1000.0

    def milliseconds(self, items: list[Any]) -> float:
        """Decodes a time in milliseconds."""
        return float(items[0])

    def percent(self, items: list[Any]) -> float:
        """Decodes a percentage; returns a ratio."""
        return float(items[0]) / 100.0

    def span(self, items: list[Any]) -> spans.Span:
        """Decodes a span of time."""
        return spans.Span(*items)

    def work(self, items: list[Any]) -> float:
        """Decodes the factor by which a call's service time is multiplied."""
        return float(items[0])

    def in_turn(self, items: list[Any]) -> _Group:
        """Decodes calls made sequentially."""
        return _Group((tuple(items), False))

    def together(self, items: list[Any]) -> _Group:
        """Decodes calls made in parallel."""
        return _Group((tuple(items), True))

    def step(self, items: list[Any]) -> deployments.Step:
        """Decodes a call and its child calls."""
        method, service, path, *rest = items
        work_ratio = next((item for item in rest if type(item) is float), 1.0)
        groups = [item for item in rest if type(item) is _Group]
        children, is_parallel = groups[0] if groups else ((), False)
        return deployments.Step(
            method, service, path, work_ratio, children, is_parallel
        )

    def poison(self, _: list[Any]) -> bool:
        """Decodes the keyword that marks a poison chain."""
        return True

    def chain(self, items: list[Any]) -> deployments.Chain:
        """Decodes a chain of calls."""
        *poison, name, root = items
        return deployments.Chain(name, root, bool(poison))


class _DeploymentDecoder(CommonDecoder):
    """Decodes a deployment."""

    start = "deployment"

    def service(self, items: list[Any]) -> deployments.Service:
        return deployments.Service(*items)

    def deployment(self, items: list[Any]) -> deployments.Deployment:
        name, *rest = items
        centres = tuple(item for item in rest if type(item) is str)
        delay_ms, caller_delay_ms, scale = (
            item for item in rest if type(item) is float
        )
        return deployments.Deployment(
            name,
            centres,
            delay_ms,
            caller_delay_ms,
            scale,
            tuple(item for item in rest if type(item) is deployments.Service),
            tuple(item for item in rest if type(item) is deployments.Chain),
        )


def read_deployment(
    examples: pathlib.Path, name: str
) -> deployments.Deployment:
    """Reads the deployment of an example.

    Raises:
      BenchError: the file can't be read or has a syntax error.
    """
    file = examples / name / _DEPLOYMENT_FILE
    decoded = grammar.decode(
        str(file), grammar.read(file), _DeploymentDecoder()
    )
    assert isinstance(decoded, deployments.Deployment)
    return decoded
