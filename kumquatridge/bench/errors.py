"""Errors of the bench."""

from kumquatridge import errors


class BenchError(errors.KumquatridgeError):
    """A scenario can't be read or run."""


class ScenarioSyntaxError(BenchError):
    """A scenario text has a syntax error; the message says where."""

    def __init__(
        self, source: str, line: int, column: int, problem: str
    ) -> None:
        super().__init__(f"{source}:{line}:{column}: {problem}")
        self.line = line
        self.column = column
