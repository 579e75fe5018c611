"""First contact through the platform, for daemons without reachable seeds.

The platform stores one object for each data centre with the control addresses
of a few members. One member writes it, and only when those addresses change. A
daemon without seeds reads it once; any daemon reads it while it knows no other
live member.
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

# Selects the member that writes the contacts; see `relays`.
RELAY_PURPOSE = "bootstrap"
# Version of contacts that were never written.
NOT_STORED = 0


class BootstrapError(errors.MembershipError):
    """The platform did not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Contacts:
    """Control addresses of some members, and the stored object's version."""

    addresses: tuple[str, ...]
    version: int


class ContactRepository(Protocol):
    """Stores the contacts of each data centre.

    Every method raises BootstrapError when the platform does not answer.
    """

    async def read(
        self, data_centre: str, *, allow_stale: bool = False
    ) -> Contacts:
        """Returns the contacts.

        If they were never written, there are no addresses and the version is
        `NOT_STORED`. With `allow_stale` they may be seconds old, which costs
        the platform less.
        """
        ...

    async def write(self, data_centre: str, contacts: Contacts) -> bool:
        """Replaces the contacts if the stored version is `contacts.version`.

        Returns whether they were replaced.
        """
        ...

    async def list_remote(self, data_centre: str) -> tuple[str, ...]:
        """Returns contacts in all other data centres."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class BootstrapSettings:
    """Intervals of calls to the platform.

    The first call is made at a random time within `start_jitter_ms`, so that
    the calls are spread out when all daemons restart. After that a daemon
    checks every `interval_ms` on average which calls are due; failures double
    this interval up to `retry_max_ms`. The contacts in other data centres are
    read every `remote_interval_ms`. `contact_count` is the number of members
    whose addresses are written.

    With `allows_stale_reads` the first read may be seconds old, which costs the
    platform less. It must be off where the first home of a service is chosen by
    the contacts (`first_contact`).
    """

    start_jitter_ms: int = 12_000
    interval_ms: int = 10_000
    retry_max_ms: int = 60_000
    remote_interval_ms: int = 300_000
    contact_count: int = 8
    allows_stale_reads: bool = False


class Bootstrap(background.BackgroundOwner):
    """Reads and writes contacts while its context is open.

    `join_local` is called with addresses in the own data centre, `join_remote`
    with addresses in other ones. `needs_contacts` says that the settings name
    no seeds, so that only the platform knows the first contacts of this daemon.
    `seed` is that of the random numbers.
    """

    def __init__(
        self,
        settings: BootstrapSettings,
        members_table: table.MemberTable,
        repository: ContactRepository,
        recorder: membership_recorder.Recorder,
        seed: int,
        *,
        join_local: Callable[[Iterable[str]], Awaitable[None]],
        join_remote: Callable[[Iterable[str]], None],
        needs_contacts: bool = True,
    ) -> None:
        self._settings = settings
        self._members = members_table
        self._repository = repository
        self._recorder = recorder
        self._random = random.Random(seed)
        self._join_local = join_local
        self._join_remote = join_remote
        # The addresses that this daemon selected when it last wrote contacts.
        self._published: tuple[str, ...] = ()
        # Time of the last read of the contacts in other data centres.
        self._remote_read_at_ms = float("-inf")
        self._contacts: frozenset[str] | None = None
        self._has_completed_round = False
        # Whether a read may be stale: until one has not led to a live member
        # or its version was not that of the stored contacts.
        self._allows_stale = settings.allows_stale_reads
        self._needs_contacts = needs_contacts

    @property
    def has_completed_round(self) -> bool:
        """Whether there was a round in which no call to the platform failed."""
        return self._has_completed_round

    @property
    def contacts(self) -> frozenset[str] | None:
        """The first non-empty contacts of the own data centre.

        They were read from the platform or written to it; None until then.
        """
        return self._contacts

    async def _run(self) -> None:
        settings = self._settings
        await asyncio.sleep(
            self._random.random() * settings.start_jitter_ms / 1000.0
        )
        interval_ms = settings.interval_ms
        while True:
            try:
                await self._call_if_due()
                self._has_completed_round = True
                interval_ms = settings.interval_ms
            except BootstrapError:
                self._recorder.record_peer_failure("platform")
                interval_ms = min(interval_ms * 2, settings.retry_max_ms)
            jitter_factor = 0.5 + self._random.random()
            await asyncio.sleep(interval_ms * jitter_factor / 1000.0)

    async def _call_if_due(self) -> None:
        own = self._members.own
        stored = None
        is_due = self._needs_contacts and self._contacts is None
        if is_due or not self._members.get_live():
            stored = await self._read_contacts()
        if not relays.is_relay(own, self._members, 1, RELAY_PURPOSE):
            return
        await self._publish(stored)
        await self._read_remote_contacts()

    async def _read_contacts(self) -> Contacts:
        """Reads the contacts; joins the addresses without a live member."""
        data_centre = self._members.own.data_centre
        stored = await self._repository.read(
            data_centre, allow_stale=self._allows_stale
        )
        self._record_contacts(stored.addresses)
        live = {member.control_address for member in self._members.get_live()}
        await self._join_local(set(stored.addresses) - live)
        if not self._members.get_live():
            self._allows_stale = False
        return stored

    async def _publish(self, stored: Contacts | None) -> None:
        """Writes the selected contacts if they differ from the last written.

        `stored` are the contacts that the platform stores, if just read.
        """
        picked = relays.pick_live_members(
            self._members, self._settings.contact_count, RELAY_PURPOSE
        )
        addresses = tuple(sorted(member.control_address for member in picked))
        if addresses == self._published:
            return
        if stored is None:
            stored = await self._read_contacts()
        written = {*addresses, *self._find_unknown_contacts(stored)}
        contacts = Contacts(tuple(sorted(written)), stored.version)
        data_centre = self._members.own.data_centre
        if await self._repository.write(data_centre, contacts):
            self._published = addresses
            self._record_contacts(addresses)
        else:
            self._allows_stale = False

    def _find_unknown_contacts(self, contacts: Contacts) -> frozenset[str]:
        """Returns the contacts that are not addresses of known members.

        They stay in the stored contacts: a member that is unreachable now may
        be live, and a daemon that starts later has to know of it.
        """
        known = self._members.get_addresses()
        return frozenset(contacts.addresses) - known

    def _record_contacts(self, addresses: tuple[str, ...]) -> None:
        if self._contacts is None and addresses:
            self._contacts = frozenset(addresses)

    async def _read_remote_contacts(self) -> None:
        now_ms = clock.get_now_ms()
        due_ms = self._remote_read_at_ms + self._settings.remote_interval_ms
        if now_ms < due_ms:
            return
        own_data_centre = self._members.own.data_centre
        self._join_remote(await self._repository.list_remote(own_data_centre))
        self._remote_read_at_ms = now_ms
