"""`kumquatridge bench`: runs scenarios in virtual time."""

from collections.abc import Iterator, Sequence
import itertools
import json
import pathlib
import sys

import click

from kumquatridge.bench import library
from kumquatridge.bench import plots
from kumquatridge.bench import report
from kumquatridge.bench import runner
from kumquatridge.bench import scenario
from kumquatridge.bench import scenario_text
from kumquatridge.ui import failures

NAME_COLUMN_WIDTH = 32

_EXAMPLES = click.option(
    "--examples",
    default=library.EXAMPLES,
    show_default=False,
    type=click.Path(path_type=pathlib.Path),
    help="Folder with the deployments; default: the repository's examples.",
)


@click.group()
def bench() -> None:
    """Checks decisions under load and faults, in virtual time."""


@bench.command("list")
@_EXAMPLES
def list_scenarios(examples: pathlib.Path) -> None:
    """Lists the scenarios that ship with the package."""
    with failures.report_errors():
        for name, file in library.find_scenarios().items():
            script = scenario_text.read_scenario(file, examples)
            click.echo(f"{name:{NAME_COLUMN_WIDTH}} {script.title}")


@bench.command()
@click.argument("files", nargs=-1, required=True)
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(min=1),
    help="Number of consecutive seeds to run.",
)
@click.option("--naive", is_flag=True, help="Run the naive version instead.")
@click.option("--both", is_flag=True, help="Run the naive version as well.")
@click.option(
    "--report",
    "folder",
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    help="Write a table and plots to this folder.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@_EXAMPLES
def run(  # noqa: PLR0917 - click passes them by keyword
    files: tuple[str, ...],
    seed: int,
    seeds: int,
    naive: bool,
    both: bool,
    folder: pathlib.Path | None,
    as_json: bool,
    examples: pathlib.Path,
) -> None:
    """Runs FILES, scenarios by path or by the name that `list` shows.

    Exits with 0 if all bounds and guarantees hold for the product (with
    --naive: for the naive version), otherwise with 1.
    """
    versions = _select_versions(naive, both)
    results: list[runner.RunResult] = []
    with failures.report_errors():
        scripts = [
            scenario_text.read_scenario(library.find_file(name), examples)
            for name in files
        ]
        cases = itertools.product(scripts, range(seed, seed + seeds), versions)
        for script, case_seed, version in cases:
            result = runner.run_scenario(script, examples, version, case_seed)
            results.append(result)
            if not as_json:
                _print_result(result)
        if as_json:
            values = [report.make_values(run_result) for run_result in results]
            click.echo(json.dumps(values, indent=2))
        if folder is not None:
            _write_report(results, folder)
    # With --both, only the results of the product count.
    evaluated = [
        run_result
        for run_result in results
        if run_result.version is versions[0]
    ]
    sys.exit(0 if all(run_result.holds for run_result in evaluated) else 1)


def _select_versions(naive: bool, both: bool) -> tuple[runner.Version, ...]:
    """Returns the versions to run; the first one decides the exit code."""
    if naive and both:
        raise click.UsageError("--naive and --both exclude each other")
    if both:
        return (runner.Version.PRODUCT, runner.Version.NAIVE)
    return (runner.Version.NAIVE if naive else runner.Version.PRODUCT,)


def _print_result(result: runner.RunResult) -> None:
    click.echo(
        f"{result.script.name}, {result.version.value}, seed {result.seed}: "
        f"{len(result.records.finished)} requests in {result.wall_s:.1f} s"
    )
    for measured in result.measured:
        outcome = "holds" if measured.holds else "FAILS"
        click.echo(
            f"  {outcome}  {measured.name}: {measured.figure} "
            f"({measured.bound})"
        )


def _write_report(
    results: Sequence[runner.RunResult], folder: pathlib.Path
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    table = report.format_markdown(results)
    (folder / "bench.md").write_text(table, encoding="utf-8")
    for script, group in _group_by_script(results):
        plots.draw(group, folder / f"{script.name.replace('/', '-')}.png")


def _group_by_script(
    results: Sequence[runner.RunResult],
) -> Iterator[tuple[scenario.Scenario, list[runner.RunResult]]]:
    for script, group in itertools.groupby(
        results, lambda result: result.script
    ):
        yield script, list(group)
