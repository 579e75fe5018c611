"""Which versions are in force in a data centre, and what is still missing."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class InForceReport:
    """What a relay knows of the settings in force in its data centre.

    `digest` stands for all versions that the relay has, `versions` names the
    newest of them by path. `behind` are instances whose digest differs.
    `written_at_ms` is wall-clock time, for people only.
    """

    data_centre: str
    instance: str
    digest: int
    versions: Mapping[str, int]
    members: int
    behind: tuple[str, ...]
    written_at_ms: int = 0

    def says_same(self, other: "InForceReport | None") -> bool:
        """Tells whether two reports differ in their time alone."""
        if other is None:
            return False
        return (
            dataclasses.replace(
                self, written_at_ms=other.written_at_ms, instance=other.instance
            )
            == other
        )


@dataclasses.dataclass(frozen=True, slots=True)
class NotYet:
    """A change that is not in force somewhere, and where."""

    data_centre: str
    reason: str


def find_missing(
    reports: tuple[InForceReport, ...],
    digest: int,
    wanted: Mapping[str, int],
) -> tuple[NotYet, ...]:
    """Returns where the wanted version of each path is not in force yet.

    `digest` stands for all versions that the platform has.
    """
    if wanted and not reports:
        return (NotYet("everywhere", "no data centre has reported"),)
    found: list[NotYet] = []
    for report in reports:
        if report.digest != digest:
            found.extend(
                NotYet(
                    report.data_centre,
                    f"{path} version {version} not reported",
                )
                for path, version in wanted.items()
                if report.versions.get(path, 0) < version
            )
        found.extend(
            NotYet(report.data_centre, f"{instance} has other versions")
            for instance in report.behind
        )
    return tuple(found)
