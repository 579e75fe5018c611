"""Versions in force in a data centre, and changes that are still pending."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class InForceReport:
    """The settings in force in a data centre, as known to one of its relays.

    `instance` is the relay that reports; see `membership.relays`. `digest`
    covers all versions that the relay has; `versions` maps path to version for
    the most recently changed nodes only. `members` is the number of live
    instances in the data centre, including the relay. `behind` lists lagging
    instances: those that have sent another digest than the relay's, or none.
    The reporter limits the length of both lists. `written_at_ms` is wall-clock
    time for display; no decision depends on it.
    """

    data_centre: str
    instance: str
    digest: int
    versions: Mapping[str, int]
    members: int
    behind: tuple[str, ...]
    written_at_ms: int = 0

    def has_same_content(self, other: "InForceReport | None") -> bool:
        """Compares two reports, ignoring their time and reporting instance.

        A report that differs only in its time and reporting instance is not
        written again, as both say nothing about the settings in force.
        """
        if other is None:
            return False
        return (
            dataclasses.replace(
                self, written_at_ms=other.written_at_ms, instance=other.instance
            )
            == other
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PendingChange:
    """A change that is not yet in force in a data centre.

    `data_centre` is "everywhere" when no data centre has reported.
    """

    data_centre: str
    reason: str


def find_pending(
    reports: tuple[InForceReport, ...],
    digest: int,
    wanted: Mapping[str, int],
) -> tuple[PendingChange, ...]:
    """Returns the data centres and instances where a change is not in force.

    `wanted` has the version of each path that should be in force. `digest`
    covers all versions that the platform stores.
    """
    if wanted and not reports:
        return (PendingChange("everywhere", "no data centre has reported"),)
    pending: list[PendingChange] = []
    for report in reports:
        # Equal digests show that the relay has all versions, also those of
        # nodes that the report does not list.
        if report.digest != digest:
            pending.extend(
                PendingChange(
                    report.data_centre,
                    f"{path}: version {version} not reported as in force",
                )
                for path, version in wanted.items()
                if report.versions.get(path, 0) < version
            )
        pending.extend(
            PendingChange(
                report.data_centre,
                f"instance {instance} has other versions in force",
            )
            for instance in report.behind
        )
    return tuple(pending)
