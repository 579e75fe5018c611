"""Whom a daemon has to know before it may be the first home of a service.

Two daemons that know nobody must not each take themselves for the first. The
settings of both name the same seeds, or both ask the platform, which keeps one
list of contacts for the data centre and lets only one of them begin it.
"""

import dataclasses

from kumquatridge.membership import table


@dataclasses.dataclass(frozen=True, slots=True)
class Seeds:
    """The addresses that the settings name; without any it stands alone."""

    addresses: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformContacts:
    """The first contacts that the platform gave, or took from this daemon.

    `addresses` is None until then.
    """

    addresses: frozenset[str] | None


FirstContacts = Seeds | PlatformContacts


def are_known(
    contacts: FirstContacts, members_table: table.MemberTable
) -> bool:
    """Tells whether a daemon knows all members that it has to know."""
    match contacts:
        case Seeds(addresses) | PlatformContacts(frozenset() as addresses):
            return addresses <= members_table.get_addresses()
        case PlatformContacts():
            return False
