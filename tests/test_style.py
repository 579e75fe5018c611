"""Style rules of the project that the linter does not check."""

import ast
from collections.abc import Iterator
import importlib.util
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[1]
FILES = sorted(
    path
    for folder in ("kumquatridge", "tests")
    for path in (ROOT / folder).rglob("*.py")
)
# Only imports from these packages are checked.
PACKAGES = ("kumquatridge", "tests")


def parse(path: pathlib.Path) -> ast.Module:
    return ast.parse(path.read_text(encoding="utf-8"))


def iter_nodes(
    path: pathlib.Path, node_type: type[ast.AST]
) -> Iterator[ast.AST]:
    return (
        node for node in ast.walk(parse(path)) if isinstance(node, node_type)
    )


def get_relative_path(path: pathlib.Path) -> str:
    return str(path.relative_to(ROOT))


@pytest.mark.parametrize("path", FILES, ids=get_relative_path)
def test_imports_are_of_modules_only(path: pathlib.Path) -> None:
    violations = [
        f"{node.module}.{alias.name}"
        for node in iter_nodes(path, ast.ImportFrom)
        if isinstance(node, ast.ImportFrom)
        and (node.module or "").split(".")[0] in PACKAGES
        for alias in node.names
        if importlib.util.find_spec(f"{node.module}.{alias.name}") is None
    ]
    assert violations == []


@pytest.mark.parametrize("path", FILES, ids=get_relative_path)
def test_data_classes_are_frozen(path: pathlib.Path) -> None:
    violations = [
        node.name
        for node in iter_nodes(path, ast.ClassDef)
        if isinstance(node, ast.ClassDef)
        for decorator in node.decorator_list
        if "dataclass" in ast.unparse(decorator)
        and "frozen=True" not in ast.unparse(decorator)
    ]
    assert violations == []
