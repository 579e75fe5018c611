"""Shipped scenarios and the folder of the examples."""

import pathlib

import kumquatridge
from kumquatridge.bench import errors

SUFFIX = ".scenario"
_PACKAGE = pathlib.Path(kumquatridge.__file__).parent
SCENARIOS = _PACKAGE / "bench" / "scenarios"
EXAMPLES = _PACKAGE.parent / "examples"


def find_scenarios() -> dict[str, pathlib.Path]:
    """Returns the files of the shipped scenarios, keyed by name."""
    return {
        get_name(file): file for file in sorted(SCENARIOS.rglob(f"*{SUFFIX}"))
    }


def get_name(file: pathlib.Path) -> str:
    """Returns a scenario's name: the file name without suffix.

    A shipped scenario's name starts with its folders below SCENARIOS.
    """
    if not file.is_relative_to(SCENARIOS):
        return file.stem
    return file.relative_to(SCENARIOS).with_suffix("").as_posix()


def find_file(name: str) -> pathlib.Path:
    """Returns the file of a shipped scenario, or `name` as a path.

    Raises:
      BenchError: there is no such shipped scenario and no such file.
    """
    shipped = find_scenarios().get(name)
    if shipped is not None:
        return shipped
    file = pathlib.Path(name)
    if not file.is_file():
        raise errors.BenchError(
            f"{name}: neither a shipped scenario nor a file; "
            "see `kumquatridge bench list`"
        )
    return file
