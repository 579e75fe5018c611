"""Distances and disturbances between the stand-ins."""

import asyncio
import random

from kumquatridge.bench import deployments
from kumquatridge.bench import fake_reports
from kumquatridge.bench import troubles

LOCAL_DELAY_MS = 0.2


class FakeNetwork:
    """Delays messages, and loses them when a fault says so."""

    def __init__(self, deployment: deployments.Deployment, seed: str) -> None:
        self._deployment = deployment
        self._random = random.Random(f"{seed}/network")
        self._cut: set[str] = set()
        self._lost_ratio = dict.fromkeys(troubles.Half, 0.0)
        self.reports = fake_reports.FakeReports()

    def cut(self, data_centre: str) -> None:
        """Cuts a data centre off from the others."""
        self._cut.add(data_centre)

    def mend(self, data_centre: str) -> None:
        """Ends a cut."""
        self._cut.discard(data_centre)

    def set_lost(self, half: troubles.Half, ratio: float) -> None:
        """Loses a part of the calls or of the answers from now on."""
        self._lost_ratio[half] = ratio

    def is_cut(self, source: str, target: str) -> bool:
        """Tells whether two data centres are cut off from each other."""
        return source != target and (source in self._cut or target in self._cut)

    async def carry(
        self, source: str, target: str, half: troubles.Half
    ) -> bool:
        """Takes the time of one way; returns whether the message arrived."""
        delay_ms = LOCAL_DELAY_MS
        if source != target:
            delay_ms = self._deployment.delay_ms
        await asyncio.sleep(delay_ms / 1000.0)
        if self.is_cut(source, target):
            return False
        ratio = self._lost_ratio[half]
        return not ratio or self._random.random() >= ratio
