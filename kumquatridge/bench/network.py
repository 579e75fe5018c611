"""Simulated network: delays, loss and partitions."""

import asyncio
import random

from kumquatridge.bench import deployments
from kumquatridge.bench import fake_reports
from kumquatridge.bench import fault_types

# One-way delay of a message within a data centre.
LOCAL_DELAY_MS = 0.2


class FakeNetwork:
    """Delays messages and loses those that a fault affects.

    `reports` delays and falsifies the load reports attached to answers.
    """

    def __init__(self, deployment: deployments.Deployment, seed: str) -> None:
        self._deployment = deployment
        self._random = random.Random(f"{seed}/network")
        self._cut_off: set[str] = set()
        self._loss_ratios = dict.fromkeys(fault_types.Direction, 0.0)
        self.reports = fake_reports.FakeReports()

    def cut_off(self, data_centre: str) -> None:
        """Partitions a data centre from the others."""
        self._cut_off.add(data_centre)

    def restore(self, data_centre: str) -> None:
        """Ends the partition of a data centre."""
        self._cut_off.discard(data_centre)

    def set_loss_ratio(
        self, direction: fault_types.Direction, ratio: float
    ) -> None:
        """Sets the share of calls or answers that are lost from now on."""
        self._loss_ratios[direction] = ratio

    def is_cut_off(self, source: str, target: str) -> bool:
        """Returns whether two data centres are cut off from each other."""
        return source != target and (
            source in self._cut_off or target in self._cut_off
        )

    async def transmit(
        self, source: str, target: str, direction: fault_types.Direction
    ) -> bool:
        """Sleeps for the one-way delay; returns whether the message arrived.

        `source` and `target` are the data centres of sender and receiver.
        """
        delay_ms = LOCAL_DELAY_MS
        if source != target:
            delay_ms = self._deployment.delay_ms
        await asyncio.sleep(delay_ms / 1000.0)
        if self.is_cut_off(source, target):
            return False
        ratio = self._loss_ratios[direction]
        return not ratio or self._random.random() >= ratio
