"""Which updates daemons exchange within a service, and how often."""

import asyncio
import contextlib
import dataclasses

import pytest

from kumquatridge.callpath import service_exchange
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import home_registry
from kumquatridge.idempotency import key_table
from kumquatridge.idempotency import settings as key_settings
from kumquatridge.membership import first_contact
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.quarantine import crash_registry

# Several times the intervals at which members are checked (1 s) and unanswered
# updates are repeated (0.5 s).
SETTLING_TIME_S = 5.0
# Fingerprint, ids of crashes, ids of cleared crashes, age in ms.
CRASH = crash_registry.CrashEntry("poison", ("crash-1",), (), 0.0)


class MemoryLink:
    """Carries updates between the daemons of a test, by call address.

    `sent` also counts the updates that are dropped.
    """

    def __init__(self) -> None:
        self.daemons: dict[str, service_exchange.ServiceExchange] = {}
        self.is_cut = False
        self.sent = 0

    async def exchange(
        self, address: str, update: service_exchange.ServiceUpdate
    ) -> service_exchange.ServiceUpdate | None:
        """Delivers an update at once, or drops it when cut off."""
        self.sent += 1
        if self.is_cut:
            return None
        return self.daemons[address].handle_update(update)


class Daemon:
    """A daemon's member table, registry, crashes and exchange.

    Without seeds, it may be the first home of its service.
    """

    def __init__(self, member: members.Member, link: MemoryLink) -> None:
        settings = key_settings.KeySettings()
        self.members = table.MemberTable(member)
        self.registry = home_registry.HomeRegistry(settings, member.instance, 1)
        self.crashes = crash_registry.CrashRegistry(
            crash_registry.QuarantineSettings(), member.instance, lambda: None
        )
        self.exchange = service_exchange.ServiceExchange(
            self.members,
            self.registry,
            handover.HomeExchange(
                self.registry,
                key_table.KeyTable(settings),
                handover.HandedOverKeys(settings),
            ),
            self.crashes,
            link,
            get_first_contacts=lambda: first_contact.Seeds(frozenset()),
        )
        link.daemons[member.call_address] = self.exchange


def make_member(
    instance: str, service: str | None, data_centre: str = "landshut"
) -> members.Member:
    """Returns a member whose addresses are its name, at incarnation 1.

    Without a service it has no worker.
    """
    announcement = None
    if service is not None:
        # The numbers are slots and connections.
        announcement = members.Announcement(service, instance, 10, 40)
    return members.Member(
        instance, 1, data_centre, instance, instance, announcement
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """The peer of member "a", and what it receives from that member."""

    peer: members.Member
    receives_home: bool
    receives_crash: bool
    is_cut: bool = False


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            Case(make_member("b", "ordering"), True, True), id="same service"
        ),
        pytest.param(
            Case(make_member("b", "stock"), False, False), id="other service"
        ),
        pytest.param(
            Case(make_member("b", None), False, False), id="no worker"
        ),
        pytest.param(
            Case(make_member("b", "ordering"), False, False, is_cut=True),
            id="cut off",
        ),
    ],
)
async def test_updates_reach_members_of_the_same_service(case: Case) -> None:
    link = MemoryLink()
    link.is_cut = case.is_cut
    own = make_member("a", "ordering")
    sender, receiver = Daemon(own, link), Daemon(case.peer, link)
    sender.members.apply_update(case.peer)
    receiver.members.apply_update(own)
    sender.crashes.merge((CRASH,))
    async with contextlib.AsyncExitStack() as stack:
        for daemon in (sender, receiver):
            await stack.enter_async_context(daemon.exchange)
        await asyncio.sleep(SETTLING_TIME_S)
        registered = {
            registration.instance
            for registration in receiver.registry.registrations
        }
    assert ("a" in registered) == case.receives_home
    assert bool(receiver.crashes.export()) == case.receives_crash


@pytest.mark.looptime
async def test_remote_data_centre_receives_crashes_but_no_homes() -> None:
    link = MemoryLink()
    local = Daemon(make_member("a", "ordering"), link)
    remote = Daemon(make_member("b", "ordering", "passau"), link)
    local.crashes.merge((CRASH,))
    async with local.exchange, remote.exchange:
        await asyncio.sleep(SETTLING_TIME_S)
        # The daemons are not in each other's member tables and therefore send
        # no updates by themselves.
        update = await link.exchange("a", make_update(remote))
    assert update is not None
    remote.exchange.handle_update(update)
    assert [entry.fingerprint for entry in remote.crashes.export()] == [
        "poison"
    ]
    for daemon, remote_instance in ((local, "b"), (remote, "a")):
        registered = {
            registration.instance
            for registration in daemon.registry.registrations
        }
        assert remote_instance not in registered


def make_update(daemon: Daemon) -> service_exchange.ServiceUpdate:
    """Returns an update that reports only the daemon itself.

    It is not established yet, hands no keys over and reports no crashes.
    """
    own = home_registry.Registration(daemon.members.own.instance, 1)
    return service_exchange.ServiceUpdate(
        "ordering",
        daemon.members.own.data_centre,
        handover.HomeUpdate(own, False, (own,), None),
        (),
    )


@pytest.mark.looptime
async def test_idle_daemons_repeat_at_the_interval_only() -> None:
    link = MemoryLink()
    daemons = [Daemon(make_member(name, "ordering"), link) for name in "ab"]
    daemons[0].members.apply_update(daemons[1].members.own)
    daemons[1].members.apply_update(daemons[0].members.own)
    async with daemons[0].exchange, daemons[1].exchange:
        await asyncio.sleep(SETTLING_TIME_S)
        sent_before = link.sent
        await asyncio.sleep(10 * service_exchange.REPEAT_INTERVAL_S)
    # Each of the two daemons sends one update in each interval.
    assert link.sent - sent_before <= 2 * 10
