"""Reports to the platform which settings are in force in a data centre."""

import asyncio
from collections.abc import Iterable
import dataclasses
import random
import time
from typing import Protocol

from kumquatridge import background
from kumquatridge.settings import errors
from kumquatridge.settings import in_force
from kumquatridge.settings import instances
from kumquatridge.settings import recorder as settings_recorder
from kumquatridge.settings import repository
from kumquatridge.settings import store as settings_store

# Bounds on the two lists of a report, `versions` and `behind`.
MAX_LISTED_VERSIONS = 64
MAX_LISTED_LAGGING = 32


class ReporterRole(Protocol):
    """The live members of a data centre, and whether this daemon reports."""

    def is_reporter(self) -> bool:
        """Returns whether this daemon reports for its data centre."""
        ...

    def list_instances(self) -> Iterable[str]:
        """Returns the other live members of the data centre."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ReporterSettings:
    """How soon a change is reported, and the intervals between reports.

    A report is written `settle_s` after a change. The interval to the next one
    starts at `first_interval_s` and doubles with each report up to
    `max_interval_s`. After `recheck_interval_s` without a change the interval
    is reset, and the report is written again if it differs.
    """

    instance: str
    data_centre: str
    settle_s: float = 0.2
    first_interval_s: float = 0.5
    max_interval_s: float = 8.0
    recheck_interval_s: float = 30.0


class InForceReporter(background.BackgroundOwner):
    """Writes a report after each change while its context is open."""

    def __init__(
        self,
        settings: ReporterSettings,
        *,
        reports: repository.ReportRepository,
        store: settings_store.NodeStore,
        table: instances.InstanceTable,
        role: ReporterRole,
        recorder: settings_recorder.SettingsRecorder,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._reports = reports
        self._store = store
        self._table = table
        self._role = role
        self._recorder = recorder
        self._rng = rng
        self._last_written: in_force.InForceReport | None = None
        self._interval_s = settings.first_interval_s

    async def _run(self) -> None:
        settings = self._settings
        while True:
            try:
                async with asyncio.timeout(settings.recheck_interval_s):
                    await self._store.changes.wait()
            except TimeoutError:
                self._interval_s = settings.first_interval_s
            await asyncio.sleep(settings.settle_s)
            if self._role.is_reporter():
                await self._report()
            else:
                # Another daemon writes the report now. When this daemon becomes
                # the reporter again, it must write a report even if its content
                # is the same as that of the last one it wrote.
                self._last_written = None

    async def _report(self) -> None:
        report = self.make_report()
        while not report.has_same_content(self._last_written):
            try:
                await self._reports.write_report(report)
                self._last_written = report
            except errors.RepositoryError:
                self._recorder.record_platform_failure("report")
            await asyncio.sleep(self._interval_s * self._rng.uniform(0.8, 1.2))
            self._interval_s = min(
                self._interval_s * 2, self._settings.max_interval_s
            )
            report = self.make_report()

    def make_report(self) -> in_force.InForceReport:
        """Returns a report from the versions known to this daemon."""
        peers = tuple(self._role.list_instances())
        lagging = self._table.find_lagging(peers)
        return in_force.InForceReport(
            data_centre=self._settings.data_centre,
            instance=self._settings.instance,
            digest=self._store.digest,
            versions=dict(self._store.list_newest(MAX_LISTED_VERSIONS)),
            members=len(peers) + 1,
            behind=lagging[:MAX_LISTED_LAGGING],
            written_at_ms=time.time_ns() // 1_000_000,
        )
