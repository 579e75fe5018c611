"""The summary of the own data centre that is sent to other data centres."""

import hashlib

from kumquatridge.membership import member as members
from kumquatridge.membership import messages
from kumquatridge.membership import relays
from kumquatridge.membership import table

# Maximum numbers of gateways of a service and of contacts in a summary.
GATEWAYS_PER_SERVICE = 3
CONTACT_COUNT = 4
_DIGEST_BYTES = 8


def make_summary(
    members_table: table.MemberTable, known_digest: int
) -> messages.SummaryAnswer:
    """Returns the summary of the own data centre.

    The services are left out if `known_digest` is the digest of the current
    summary, because the data centre that asks has them already.
    """
    live = [
        member
        for member in members_table
        if not members.is_leaving_or_dead(member)
    ]
    services = _summarise_services(members_table, live)
    contacts = tuple(
        sorted(
            member.control_address
            for member in relays.pick_live_members(live, CONTACT_COUNT)
        )
    )
    digest = _hash(services, contacts)
    return messages.SummaryAnswer(
        members_table.own.data_centre,
        digest,
        None if digest == known_digest else services,
        contacts,
    )


def _summarise_services(
    members_table: table.MemberTable, live: list[members.Member]
) -> tuple[messages.ServiceSummary, ...]:
    names = sorted(
        {member.announcement.service for member in live if member.announcement}
    )
    return tuple(
        _summarise_service(name, members_table.get_instances(name))
        for name in names
    )


def _summarise_service(
    service: str, instances: tuple[members.Member, ...]
) -> messages.ServiceSummary:
    gateways = relays.pick_live_members(
        instances, GATEWAYS_PER_SERVICE, service
    )
    return messages.ServiceSummary(
        service,
        len(instances),
        sum(
            member.announcement.slots
            for member in instances
            if member.announcement
        ),
        tuple(
            messages.Gateway(member.instance, member.call_address)
            for member in gateways
        ),
    )


def _hash(
    services: tuple[messages.ServiceSummary, ...], contacts: tuple[str, ...]
) -> int:
    text = repr((services, contacts)).encode()
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest(), "big"
    )
