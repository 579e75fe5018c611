"""Members that a daemon has to know before it may be the first home.

The homes of a service are the daemons that keep its idempotency keys. A daemon
that finds no other home becomes the first one. Two daemons that do not know
each other must not both do so, because a call with the same key could then run
at both. They learn of each other from the seeds in their settings, or else from
the platform, which stores one list of contacts for each data centre and lets
only one daemon create it.
"""

import dataclasses

from kumquatridge.membership import table


@dataclasses.dataclass(frozen=True, slots=True)
class Seeds:
    """The seed addresses in the settings; empty for a single daemon."""

    addresses: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformContacts:
    """The first contacts that were read from the platform or written to it.

    `addresses` is None until then.
    """

    addresses: frozenset[str] | None


FirstContacts = Seeds | PlatformContacts


def knows_all_contacts(
    contacts: FirstContacts, members_table: table.MemberTable
) -> bool:
    """Returns whether the member table has the addresses of all contacts.

    False as long as the contacts of the platform were neither read nor
    written.
    """
    match contacts:
        # The pattern `frozenset()` matches a set of any size, but not None.
        case Seeds(addresses) | PlatformContacts(frozenset() as addresses):
            return addresses <= members_table.get_addresses()
        case PlatformContacts():
            return False
