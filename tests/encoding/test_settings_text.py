"""Tests of the decoding of settings trees and of its error messages."""

import pytest

from kumquatridge.calls import importance as call_importance
from kumquatridge.encoding import settings_text
from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node

SOURCE = "tree.jsonc"
# Deep enough for a RecursionError of the JSON parser.
DEEP_NESTING = "[" * 100_000


def make_tree(settings: str, root: str = "") -> str:
    """Returns a tree of the root and a node "/a".

    `settings` are the settings of "/a" and `root` those of the root, as JSON
    without braces.
    """
    return (
        f'{{"settings": {{{root}}}, '
        f'"children": {{"a": {{"settings": {{{settings}}}}}}}}}'
    )


@pytest.mark.parametrize(
    ("text", "expected_texts"),
    [
        pytest.param(
            make_tree('"retries": 3'),
            ["/a settings", "'retries'", "retry_allowance"],
            id="unknown key",
        ),
        pytest.param(
            make_tree('"deadline_s": 2'),
            ["/a settings", "'deadline_s'", "did you mean 'deadline_ms'"],
            id="key with another unit",
        ),
        pytest.param(
            make_tree('"deadline_ms": "2 parsecs"'),
            ["/a deadline_ms", "'2 parsecs'", "a whole number of milliseconds"],
            id="value with a unit",
        ),
        pytest.param(
            make_tree('"deadline_ms": 1.5'),
            ["/a deadline_ms", "1.5", "a whole number"],
            id="fractional value",
        ),
        pytest.param(
            make_tree('"idempotent": 1'),
            ["/a idempotent", "1", "true or false"],
            id="wrong type",
        ),
        pytest.param(
            make_tree('"importance": "Critical"'),
            ["/a importance", "'Critical'", '"critical"'],
            id="wrong case",
        ),
        pytest.param(
            make_tree('"deadline_ms": 300', '"deadline_ms": 200'),
            ["/a deadline_ms", "300", "at most 200"],
            id="looser than its parent",
        ),
        pytest.param(
            make_tree('"deadline_ms": 20000'),
            ["/a deadline_ms", "20000", "at most 10000"],
            id="looser than the defaults of the root",
        ),
        pytest.param(
            '{"children": {"a": {"children": {"s": {}}},'
            '"b": {"children": {"s": {}}}}}',
            ["/b/s", "'s'", "/a/s"],
            id="service in two teams",
        ),
        pytest.param(
            make_tree('"deadline_ms": 2, "deadline_ms": 3'),
            ["duplicate key 'deadline_ms'"],
            id="duplicate key",
        ),
        pytest.param(
            '{"children": {"a/b": {}}}',
            ["/ children", "'a/b'", "letters"],
            id="name with a slash",
        ),
        pytest.param(
            '{"children": {"a": {"children": {"s": {"children": '
            '{"r": {"children": {"x": {}}}}}}}}}',
            ["/a/s/r children", "none below a route"],
            id="node below a route",
        ),
        pytest.param("{", ["not JSON with comments", "line 1"], id="not JSON"),
        pytest.param("[]", ["at /", "an object"], id="not an object"),
        pytest.param("", ["not JSON with comments"], id="empty"),
        pytest.param(
            DEEP_NESTING, ["not JSON with comments"], id="nesting too deep"
        ),
        pytest.param(
            make_tree('"deadline_ms": NaN'), ["NaN"], id="not a number"
        ),
        pytest.param(
            '{"settings": {} /* }', ["not JSON"], id="unclosed comment"
        ),
    ],
)
def test_invalid_text_is_rejected_with_fault_and_expectation(
    text: str, expected_texts: list[str]
) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        settings_text.decode_tree(SOURCE, text)
    message = str(caught.value)
    assert message.startswith(SOURCE)
    assert "\n" not in message
    assert [
        expected for expected in expected_texts if expected not in message
    ] == []


@pytest.mark.parametrize(
    ("text", "deadline_ms"),
    [
        pytest.param(make_tree('"deadline_ms": 7'), 7, id="own value"),
        pytest.param(make_tree("", '"deadline_ms": 8'), 8, id="inherited"),
        # The value in defaults.jsonc.
        pytest.param(make_tree(""), 10_000, id="default"),
        pytest.param(
            make_tree('"deadline_ms": 7, // not 8 "deadline_ms": 8\n'),
            7,
            id="comment and trailing comma",
        ),
        pytest.param(
            make_tree('"path_prefix": "/a//b,}/*", "deadline_ms": 7'),
            7,
            id="string that looks like a comment",
        ),
    ],
)
def test_effective_value_is_decoded(text: str, deadline_ms: int) -> None:
    tree = settings_text.decode_tree(SOURCE, text)
    assert tree.get_effective("/a").deadline_ms == deadline_ms


def test_encoded_tree_decodes_to_the_same_nodes() -> None:
    nodes = [
        settings_node.Node("/", settings_node.NodeSettings()),
        settings_node.Node(
            "/a",
            settings_node.NodeSettings(
                importance=call_importance.Importance.NORMAL,
                idempotent=False,
                methods=("GET", "PUT"),
            ),
        ),
        settings_node.Node("/a/s", settings_node.NodeSettings(deadline_ms=5)),
    ]
    text = settings_text.encode_nodes(nodes)
    assert settings_text.decode_nodes(SOURCE, text) == nodes
