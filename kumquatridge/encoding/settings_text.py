"""Reads and encodes settings trees in JSON with comments.

The text is an object of nested nodes, each of the form
{"settings": {...}, "children": {name: node}}.
"""

from collections.abc import Callable, Iterable, Iterator
import dataclasses
import difflib
import functools
import json
import pathlib
import re
from typing import Any

from kumquatridge.calls import importance as call_importance
from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import tree

_NODE_KEYS = ("settings", "children")
_DEFAULTS_FILE = pathlib.Path(__file__).parent.parent / "defaults.jsonc"

# The patterns match whole strings too, so that nothing within a string is taken
# for a comment or a trailing comma.
_STRING = r'"(?:\\.|[^"\\\n])*"'
_COMMENT = re.compile(rf"{_STRING}|//[^\n]*|/\*.*?\*/", re.DOTALL)
_TRAILING_COMMA = re.compile(rf"{_STRING}|,(?=\s*[}}\]])")
_NON_LINE_BREAK = re.compile(r"[^\n]")


# These functions convert a JSON value into the value of a setting; they return
# None if it is invalid.


def _as_importance(value: object) -> call_importance.Importance | None:
    if not isinstance(value, str) or value != value.lower():
        return None
    return call_importance.Importance.__members__.get(value.upper())


def _as_bool(value: object) -> bool | None:
    return value if isinstance(value, bool) else None


def _as_count(value: object) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        return None
    return value


def _as_positive(value: object) -> int | None:
    return _as_count(value) or None


def _as_prefix(value: object) -> str | None:
    if not isinstance(value, str) or not value.startswith("/"):
        return None
    return value


def _as_methods(value: object) -> tuple[str, ...] | None:
    if not isinstance(value, list) or not value:
        return None
    if not all(isinstance(item, str) and item.isupper() for item in value):
        return None
    return tuple(value)


@dataclasses.dataclass(frozen=True, slots=True)
class _KeyRule:
    """How to convert the JSON value of a key, and which values are valid.

    `convert` returns None for an invalid value; error messages then contain
    `expected`.
    """

    convert: Callable[[object], Any]
    expected: str


_IMPORTANCES = ", ".join(
    f'"{name.lower()}"' for name in call_importance.Importance.__members__
)
_MILLISECONDS = _KeyRule(_as_positive, "a whole number of milliseconds above 0")
_BYTES = _KeyRule(_as_positive, "a whole number of bytes above 0")
_FLAG = _KeyRule(_as_bool, "true or false")

_KEY_RULES = {
    "importance": _KeyRule(_as_importance, f"one of {_IMPORTANCES}"),
    "idempotent": _FLAG,
    "deadline_ms": _MILLISECONDS,
    "retry_allowance": _KeyRule(
        _as_count, "a whole number of retries, 0 or more"
    ),
    "long_running": _FLAG,
    "max_body_bytes": _BYTES,
    "queue_wait_ms": _MILLISECONDS,
    "path_prefix": _KeyRule(_as_prefix, 'a path that starts with "/"'),
    "methods": _KeyRule(_as_methods, "a list of HTTP methods in capitals"),
}


def parse_text(source: str, text: str) -> Any:
    """Parses JSON with comments and trailing commas.

    Raises:
      SettingsError: the text can't be parsed; the message has the source and
        the position.
    """
    plain = _TRAILING_COMMA.sub(_blank_out, _COMMENT.sub(_blank_out, text))
    try:
        return json.loads(
            plain,
            object_pairs_hook=_make_object,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(
            f"{source}: not JSON with comments: {error}"
        ) from error


def _blank_out(match: re.Match[str]) -> str:
    """Blanks a comment or comma; string literals are returned unchanged.

    Line breaks are kept, so that errors of the parser have the right line.
    """
    token = match.group()
    return token if token.startswith('"') else _NON_LINE_BREAK.sub(" ", token)


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    parsed = dict(pairs)
    if len(parsed) < len(pairs):
        keys = [key for key, _ in pairs]
        duplicate = next(key for key in keys if keys.count(key) > 1)
        raise ValueError(f"duplicate key {duplicate!r} in one object")
    return parsed


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")


def decode_tree(source: str, text: str) -> tree.SettingsTree:
    """Decodes a whole settings tree.

    Raises:
      SettingsError: a node is invalid; the message has the source, the path,
        the value and what was expected.
    """
    return tree.SettingsTree(
        source, decode_nodes(source, text), read_defaults()
    )


def decode_nodes(
    source: str, text: str, path: str = settings_node.ROOT_PATH
) -> list[settings_node.Node]:
    """Decodes the nodes of a subtree.

    `path` is the path of its top node.

    Raises:
      SettingsError: a node is invalid.
    """
    return list(_walk_nodes(source, path, parse_text(source, text)))


@functools.cache
def read_defaults() -> settings_node.NodeSettings:
    """Returns the values of the settings that the root node does not set."""
    text = _DEFAULTS_FILE.read_text(encoding="utf-8")
    source = _DEFAULTS_FILE.name
    settings = _expect_object(source, "/", parse_text(source, text))
    return decode_settings(source, "/", settings)


def encode_settings(settings: settings_node.NodeSettings) -> dict[str, Any]:
    """Returns the settings that a node sets itself, as JSON values."""
    return {
        field.name: _encode_value(getattr(settings, field.name))
        for field in dataclasses.fields(settings)
        if getattr(settings, field.name) is not None
    }


def encode_nodes(
    nodes: Iterable[settings_node.Node],
    path: str = settings_node.ROOT_PATH,
) -> str:
    """Encodes a subtree as text that `decode_nodes` accepts.

    `path` is the path of its top node.
    """
    top: dict[str, Any] = {}
    for node in sorted(nodes, key=lambda node: node.path):
        target = top
        relative_path = node.path.removeprefix(path).strip("/")
        for name in relative_path.split("/") if relative_path else ():
            target = target.setdefault("children", {}).setdefault(name, {})
        settings = encode_settings(node.settings)
        if settings:
            target["settings"] = settings
    return json.dumps(top, indent=2)


def _encode_value(value: object) -> object:
    match value:
        case call_importance.Importance():
            return value.name.lower()
        case tuple():
            return list(value)
        case _:
            return value


def read_tree(path: pathlib.Path) -> tree.SettingsTree:
    """Reads a settings tree from a file.

    Raises:
      SettingsError: the file can't be read or holds no valid tree.
    """
    return tree.SettingsTree(str(path), read_nodes(path), read_defaults())


def read_nodes(
    path: pathlib.Path, top_path: str = settings_node.ROOT_PATH
) -> list[settings_node.Node]:
    """Reads the nodes of a subtree from a file.

    `top_path` is the path of the top node.

    Raises:
      SettingsError: the file can't be read or holds no valid nodes.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: can't be read: {error}") from error
    return decode_nodes(str(path), text, top_path)


def _walk_nodes(
    source: str, path: str, value: object
) -> Iterator[settings_node.Node]:
    value = _expect_object(source, path, value)
    reject_unknown_keys(source, path, value, _NODE_KEYS)
    settings = _expect_object(source, path, value.get("settings", {}))
    yield settings_node.Node(path, decode_settings(source, path, settings))
    children = _expect_object(source, path, value.get("children", {}))
    if children and settings_node.get_depth(path) >= settings_node.ROUTE_DEPTH:
        raise errors.InvalidValueError(
            source, f"{path} children", sorted(children), "none below a route"
        )
    for name, child in children.items():
        if not settings_node.is_name(name):
            raise errors.InvalidValueError(
                source,
                f"{path} children",
                name,
                f"a name of {settings_node.NAME_RULE}",
            )
        yield from _walk_nodes(source, f"{path.rstrip('/')}/{name}", child)


def _expect_object(source: str, path: str, value: object) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise errors.InvalidValueError(source, path, value, "an object")
    return value


def reject_unknown_keys(
    source: str, path: str, value: dict[str, Any], known_keys: tuple[str, ...]
) -> None:
    """Raises InvalidValueError for the first key not in `known_keys`."""
    for key in value:
        if key not in known_keys:
            # At most one key, with a similarity of at least 0.5.
            matches = difflib.get_close_matches(key, known_keys, 1, 0.5)
            hint = f"; did you mean {matches[0]!r}?" if matches else ""
            raise errors.InvalidValueError(
                source,
                path,
                key,
                f"one of the keys {', '.join(known_keys)}{hint}",
            )


def decode_settings(
    source: str, path: str, settings: dict[str, Any]
) -> settings_node.NodeSettings:
    """Decodes the settings that one node sets itself.

    Raises:
      InvalidValueError: a key is unknown or a value is invalid.
    """
    reject_unknown_keys(source, f"{path} settings", settings, tuple(_KEY_RULES))
    decoded: dict[str, Any] = {}
    for name, value in settings.items():
        rule = _KEY_RULES[name]
        converted = rule.convert(value)
        if converted is None:
            raise errors.InvalidValueError(
                source, f"{path} {name}", value, rule.expected
            )
        decoded[name] = converted
    return settings_node.NodeSettings(**decoded)
