"""Choice of an instance by two random candidates.

Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", 2001.
"""

import collections
from collections.abc import Iterator, Set
import contextlib
import random

from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals
from kumquatridge.membership import table
from kumquatridge.routing import choices

RETRY_AFTER_MS = 1000


class InstanceChooser:
    """Chooses instances and keeps count of the calls sent to each."""

    def __init__(self, members: table.MemberTable, seed: int) -> None:
        self._members = members
        self._random = random.Random(seed)
        self._in_flight: collections.Counter[str] = collections.Counter()

    def choose(self, call: calls.Call, tried: Set[str]) -> choices.Choice:
        """Chooses an instance that is not in `tried`."""
        found = [
            member
            for member in self._members.get_instances(call.service)
            if member.instance not in tried
        ]
        if not found:
            return choices.NoneLeft(
                refusals.NoInstance(call.service, RETRY_AFTER_MS)
            )
        candidates = self._random.sample(found, min(2, len(found)))
        return choices.Chosen(
            min(candidates, key=lambda member: self._in_flight[member.instance])
        )

    @contextlib.contextmanager
    def track(self, instance: str) -> Iterator[None]:
        """Counts a call as in flight while the context is open."""
        self._in_flight[instance] += 1
        try:
            yield
        finally:
            self._in_flight[instance] -= 1
