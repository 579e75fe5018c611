"""First contact through the platform, for daemons that no seed answers.

The platform keeps one object for each data centre with the control addresses
of a few members. One member writes it, and only when those addresses change.
A daemon without seeds reads it once; any reads it while it knows nobody.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
import dataclasses
import random
from typing import Protocol

from kumquatridge import background
from kumquatridge import clock
from kumquatridge.membership import errors
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.membership import relays
from kumquatridge.membership import table

PURPOSE = "bootstrap"
NOT_STORED = 0


class BootstrapError(errors.MembershipError):
    """The platform did not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Contacts:
    """Control addresses of some members, and the object's version."""

    addresses: tuple[str, ...]
    version: int


class ContactRepository(Protocol):
    """Keeps the contacts of each data centre.

    Every method raises BootstrapError when the platform does not answer.
    """

    async def read(self, data_centre: str) -> Contacts:
        """Returns the contacts; none with version 0 if never written."""
        ...

    async def write(self, data_centre: str, contacts: Contacts) -> bool:
        """Replaces the contacts if the version is still that given."""
        ...

    async def list_others(self, data_centre: str) -> tuple[str, ...]:
        """Returns contacts in all other data centres."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class BootstrapSettings:
    """How often the platform may be called.

    The first call comes at a random moment within `spread_ms`, so that a
    restart of all daemons is spread out; failures double the interval up to
    `retry_max_ms`.
    """

    spread_ms: int = 12_000
    interval_ms: int = 10_000
    retry_max_ms: int = 60_000
    others_interval_ms: int = 300_000
    contacts: int = 8


class Bootstrap(background.BackgroundOwner):
    """Reads and writes contacts while its context is open.

    `meet` tries addresses of the own data centre, `join_remote` takes those
    of others. `needs_contacts` says that no seeds stand in the settings, so
    that only the platform can say whom this daemon has to know.
    """

    def __init__(
        self,
        settings: BootstrapSettings,
        members_table: table.MemberTable,
        repository: ContactRepository,
        recorder: membership_recorder.Recorder,
        seed: int,
        *,
        meet: Callable[[Iterable[str]], Awaitable[None]],
        join_remote: Callable[[Iterable[str]], None],
        needs_contacts: bool = True,
    ) -> None:
        self._settings = settings
        self._members = members_table
        self._repository = repository
        self._recorder = recorder
        self._random = random.Random(seed)
        self._meet = meet
        self._join_remote = join_remote
        self._published: tuple[str, ...] = ()
        self._read_others_at_ms = float("-inf")
        self._contacts: frozenset[str] | None = None
        self._has_asked = False
        self._needs_contacts = needs_contacts

    @property
    def has_asked(self) -> bool:
        """Whether this daemon has done what was due for first contact."""
        return self._has_asked

    @property
    def contacts(self) -> frozenset[str] | None:
        """The first contacts of the own data centre, read or written.

        None until there are any.
        """
        return self._contacts

    async def _run(self) -> None:
        settings = self._settings
        await asyncio.sleep(self._random.random() * settings.spread_ms / 1000.0)
        interval_ms = settings.interval_ms
        while True:
            try:
                await self._call_if_due()
                self._has_asked = True
                interval_ms = settings.interval_ms
            except BootstrapError:
                self._recorder.record_peer_failure("platform")
                interval_ms = min(interval_ms * 2, settings.retry_max_ms)
            spread = 0.5 + self._random.random()
            await asyncio.sleep(interval_ms * spread / 1000.0)

    async def _call_if_due(self) -> None:
        own = self._members.own
        known = None
        is_due = self._needs_contacts and self._contacts is None
        if is_due or not self._members.get_live():
            known = await self._read_contacts()
        if not relays.is_relay(own, self._members, 1, PURPOSE):
            return
        await self._publish(known)
        await self._read_others()

    async def _read_contacts(self) -> Contacts:
        """Reads the contacts and talks to those that aren't known to live."""
        data_centre = self._members.own.data_centre
        known = await self._repository.read(data_centre)
        self._note_contacts(known.addresses)
        live = {one.control_address for one in self._members.get_live()}
        await self._meet(set(known.addresses) - live)
        return known

    async def _publish(self, known: Contacts | None) -> None:
        """Writes the own choice of contacts, if it differs from the last.

        `known` is what the platform holds, if that was read just now.
        """
        picked = relays.pick_relays(
            self._members, self._settings.contacts, PURPOSE
        )
        addresses = tuple(sorted(one.control_address for one in picked))
        if addresses == self._published:
            return
        if known is None:
            known = await self._read_contacts()
        kept = {*addresses, *self._find_strangers(known)}
        contacts = Contacts(tuple(sorted(kept)), known.version)
        data_centre = self._members.own.data_centre
        if await self._repository.write(data_centre, contacts):
            self._published = addresses
            self._note_contacts(addresses)

    def _find_strangers(self, contacts: Contacts) -> frozenset[str]:
        """Returns the contacts that no member here is known by.

        They stay in the platform: a member that nobody can reach now may
        live, and whoever starts anew has to know of it.
        """
        known = self._members.get_addresses()
        return frozenset(contacts.addresses) - known

    def _note_contacts(self, addresses: tuple[str, ...]) -> None:
        if self._contacts is None and addresses:
            self._contacts = frozenset(addresses)

    async def _read_others(self) -> None:
        now_ms = clock.get_now_ms()
        due_ms = self._read_others_at_ms + self._settings.others_interval_ms
        if now_ms < due_ms:
            return
        own = self._members.own.data_centre
        self._join_remote(await self._repository.list_others(own))
        self._read_others_at_ms = now_ms
