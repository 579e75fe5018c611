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

NEWEST_VERSIONS = 64
MAX_NAMED_BEHIND = 32


class ReporterDuty(Protocol):
    """The members of a data centre and which of them reports."""

    def is_reporter(self) -> bool:
        """Tells whether this daemon reports for its data centre."""
        ...

    def list_instances(self) -> Iterable[str]:
        """Returns the other live members of the data centre."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ReporterSettings:
    """How soon a change is reported, and how far apart reports are.

    The gap doubles while reports follow each other, up to the highest.
    """

    instance: str
    data_centre: str
    settle_s: float = 0.2
    first_gap_s: float = 0.5
    max_gap_s: float = 8.0
    repeat_s: float = 30.0


class InForceReporter(background.BackgroundOwner):
    """Writes a report on change while its context is open."""

    def __init__(
        self,
        settings: ReporterSettings,
        *,
        reports: repository.ReportRepository,
        store: settings_store.NodeStore,
        table: instances.InstanceTable,
        duty: ReporterDuty,
        recorder: settings_recorder.SettingsRecorder,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._reports = reports
        self._store = store
        self._table = table
        self._duty = duty
        self._recorder = recorder
        self._rng = rng
        self._written: in_force.InForceReport | None = None
        self._gap_s = settings.first_gap_s

    async def _run(self) -> None:
        settings = self._settings
        while True:
            try:
                async with asyncio.timeout(settings.repeat_s):
                    await self._store.changes.wait()
            except TimeoutError:
                self._gap_s = settings.first_gap_s
            await asyncio.sleep(settings.settle_s)
            if self._duty.is_reporter():
                await self._report()
            else:
                self._written = None

    async def _report(self) -> None:
        report = self.make_report()
        while not report.says_same(self._written):
            try:
                await self._reports.write_report(report)
                self._written = report
            except errors.RepositoryError:
                self._recorder.record_platform_failure("report")
            await asyncio.sleep(self._gap_s * self._rng.uniform(0.8, 1.2))
            self._gap_s = min(self._gap_s * 2, self._settings.max_gap_s)
            report = self.make_report()

    def make_report(self) -> in_force.InForceReport:
        """Returns what is in force in the data centre, as far as known."""
        others = tuple(self._duty.list_instances())
        behind = self._table.find_behind(others)
        return in_force.InForceReport(
            data_centre=self._settings.data_centre,
            instance=self._settings.instance,
            digest=self._store.digest,
            versions=dict(self._store.list_newest(NEWEST_VERSIONS)),
            members=len(others) + 1,
            behind=behind[:MAX_NAMED_BEHIND],
            written_at_ms=time.time_ns() // 1_000_000,
        )
