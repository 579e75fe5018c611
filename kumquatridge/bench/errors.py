"""Errors of the bench."""

from kumquatridge import errors


class BenchError(errors.KumquatridgeError):
    """A scenario that can't be run."""


class ScenarioSyntaxError(BenchError):
    """A scenario text that can't be understood; says where."""

    def __init__(
        self, source: str, line: int, column: int, problem: str
    ) -> None:
        super().__init__(f"{source}:{line}:{column}: {problem}")
        self.line = line
        self.column = column
