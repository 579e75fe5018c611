"""Parses texts of the bench's language; errors name line and column."""

import functools
import importlib.resources
import pathlib

import lark
import lark.exceptions
import lark.lexer

from kumquatridge.bench import errors

_GRAMMAR = "scenario.lark"


class Decoder(lark.Transformer):  # type: ignore[misc]
    """Decodes the syntax tree of a whole text, whose rule is `start`."""

    start: str


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


def read(file: pathlib.Path) -> str:
    """Returns the text of a file."""
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.BenchError(f"{file}: can't be read: {error}") from error


def decode(source: str, text: str, decoder: Decoder) -> object:
    """Returns what a decoder makes of a text from a named source."""
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
