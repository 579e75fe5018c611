"""The scenarios that ship with the package and where the examples are."""

import pathlib

import kumquatridge
from kumquatridge.bench import errors

SUFFIX = ".scenario"
_PACKAGE = pathlib.Path(kumquatridge.__file__).parent
SCENARIOS = _PACKAGE / "bench" / "scenarios"
EXAMPLES = _PACKAGE.parent / "examples"


def find_scenarios() -> dict[str, pathlib.Path]:
    """Returns the files of the shipped scenarios by name."""
    return {
        get_name(file): file for file in sorted(SCENARIOS.rglob(f"*{SUFFIX}"))
    }


def get_name(file: pathlib.Path) -> str:
    """Returns a scenario's name: with its folder if it is a shipped one."""
    if not file.is_relative_to(SCENARIOS):
        return file.stem
    return file.relative_to(SCENARIOS).with_suffix("").as_posix()


def find_file(name: str) -> pathlib.Path:
    """Returns the file of a shipped scenario, or the file of that path.

    Raises:
      BenchError: there is neither.
    """
    shipped = find_scenarios().get(name)
    if shipped is not None:
        return shipped
    file = pathlib.Path(name)
    if not file.is_file():
        raise errors.BenchError(
            f"{name}: no such file, and no scenario of that name; "
            "see `kumquatridge bench list`"
        )
    return file
