"""Parser of scenarios and deployments; errors give line and column."""

import functools
import importlib.resources
import pathlib

import lark
import lark.exceptions
import lark.lexer

from kumquatridge.bench import errors

_GRAMMAR = "scenario.lark"


class Decoder(lark.Transformer):  # type: ignore[misc]
    """Decodes the syntax tree of a text; `start` is its top rule."""

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
    """Returns the text of a file.

    Raises:
      BenchError: the file can't be read or is not UTF-8.
    """
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.BenchError(f"{file}: can't be read: {error}") from error


def decode(source: str, text: str, decoder: Decoder) -> object:
    """Parses a text and returns the result of the decoder.

    `source` names the text in errors.

    Raises:
      ScenarioSyntaxError: the text does not match the grammar.
      BenchError: raised by the decoder.
    """
    parser = _make_parser(decoder.start)
    try:
        return decoder.transform(parser.parse(text))
    except lark.exceptions.UnexpectedInput as error:
        raise _make_syntax_error(source, parser, error) from error
    except lark.exceptions.VisitError as error:
        if isinstance(error.orig_exc, errors.BenchError):
            raise error.orig_exc from error
        raise


def _make_syntax_error(
    source: str, parser: lark.Lark, error: lark.exceptions.UnexpectedInput
) -> errors.ScenarioSyntaxError:
    unexpected = getattr(error, "token", None) or getattr(error, "char", "")
    expected = getattr(error, "expected", None) or getattr(
        error, "allowed", None
    )
    literals = {
        terminal.name: f'"{terminal.pattern.value}"'
        for terminal in parser.terminals
        if type(terminal.pattern) is lark.lexer.PatternStr
    }
    names = ", ".join(
        sorted(literals.get(name, name.lower()) for name in expected or ())
    )
    unexpected_text = (
        "the end of the text" if not str(unexpected) else repr(str(unexpected))
    )
    return errors.ScenarioSyntaxError(
        source,
        error.line,
        error.column,
        f"got {unexpected_text}, expected {names}",
    )
