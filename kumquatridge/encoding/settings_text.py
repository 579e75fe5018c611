"""Reads a settings tree from JSON with comments.

A text holds nested nodes: {"settings": {...}, "children": {name: node}}.
"""

from collections.abc import Callable, Iterator
import dataclasses
import difflib
import pathlib
from typing import Any

import pyjson5

from kumquatridge.calls import importance as call_importance
from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import tree

_MAX_DEPTH = tree.ROUTE_DEPTH
_NODE_KEYS = ("settings", "children")


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
class _Key:
    convert: Callable[[object], Any]
    expected: str


_IMPORTANCES = ", ".join(
    f'"{name.lower()}"' for name in call_importance.Importance.__members__
)
_MILLISECONDS = _Key(_as_positive, "a whole number of milliseconds above 0")
_BYTES = _Key(_as_positive, "a whole number of bytes above 0")
_FLAG = _Key(_as_bool, "true or false")

_KEYS = {
    "importance": _Key(_as_importance, f"one of {_IMPORTANCES}"),
    "idempotent": _FLAG,
    "deadline_ms": _MILLISECONDS,
    "retry_allowance": _Key(_as_count, "a whole number of retries, 0 or more"),
    "long_running": _FLAG,
    "max_body_bytes": _BYTES,
    "queue_wait_ms": _MILLISECONDS,
    "path_prefix": _Key(_as_prefix, 'a path that starts with "/"'),
    "methods": _Key(_as_methods, "a list of HTTP methods in capitals"),
}


def parse_text(source: str, text: str) -> Any:
    """Parses JSON with comments.

    Raises:
      SettingsError: the text is not JSON; says where.
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        raise errors.SettingsError(
            f"{source}: not JSON with comments: {error}"
        ) from error


def decode_tree(
    source: str, text: str, path: str = settings_node.ROOT_PATH
) -> tree.SettingsTree:
    """Decodes a whole settings tree.

    Raises:
      SettingsError: names the source, the path, the value and what was
        expected.
    """
    return tree.SettingsTree(source, decode_nodes(source, text, path))


def decode_nodes(
    source: str, text: str, path: str = settings_node.ROOT_PATH
) -> list[settings_node.Node]:
    """Decodes the nodes of a subtree whose top has the given path."""
    return list(_walk(source, path, parse_text(source, text)))


def read_tree(path: pathlib.Path) -> tree.SettingsTree:
    """Reads a settings tree from a file.

    Raises:
      SettingsError: the file can't be read or holds no valid tree.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: can't be read: {error}") from error
    return decode_tree(str(path), text)


def _walk(
    source: str, path: str, value: object
) -> Iterator[settings_node.Node]:
    value = _expect_object(source, path, value)
    reject_unknown(source, path, value, _NODE_KEYS)
    settings = _expect_object(source, path, value.get("settings", {}))
    yield settings_node.Node(path, _decode_settings(source, path, settings))
    children = _expect_object(source, path, value.get("children", {}))
    if children and tree.get_depth(path) >= _MAX_DEPTH:
        raise errors.InvalidValueError(
            source, f"{path} children", sorted(children), "none below a route"
        )
    for name, child in children.items():
        if not name or "/" in name:
            raise errors.InvalidValueError(
                source, f"{path} children", name, 'a name without "/"'
            )
        yield from _walk(source, f"{path.rstrip('/')}/{name}", child)


def _expect_object(source: str, path: str, value: object) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise errors.InvalidValueError(source, path, value, "an object")
    return value


def reject_unknown(
    source: str, path: str, value: dict[str, Any], known: tuple[str, ...]
) -> None:
    """Raises InvalidValueError for the first key that is not known."""
    for key in value:
        if key not in known:
            close = difflib.get_close_matches(key, known, 1, 0.5)
            hint = f"; did you mean {close[0]!r}?" if close else ""
            raise errors.InvalidValueError(
                source, path, key, f"one of the keys {', '.join(known)}{hint}"
            )


def _decode_settings(
    source: str, path: str, settings: dict[str, Any]
) -> settings_node.NodeSettings:
    reject_unknown(source, f"{path} settings", settings, tuple(_KEYS))
    decoded: dict[str, Any] = {}
    for name, value in settings.items():
        key = _KEYS[name]
        converted = key.convert(value)
        if converted is None:
            raise errors.InvalidValueError(
                source, f"{path} {name}", value, key.expected
            )
        decoded[name] = converted
    return settings_node.NodeSettings(**decoded)
