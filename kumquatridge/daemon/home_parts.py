"""Puts together what a daemon needs to be the home of request keys."""

import secrets

from kumquatridge.callpath import home_resolver
from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import memory as key_memory
from kumquatridge.idempotency import roster as home_roster
from kumquatridge.idempotency import settings as key_settings
from kumquatridge.idempotency import stalls
from kumquatridge.membership import table

BOOT_BYTES = 8


class HomeParts:
    """The issuer, the roster and the memory of one daemon process."""

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        members_table: table.MemberTable,
    ) -> None:
        kept = key_settings.KeySettings(
            bare_key_max_age_ms=settings.bare_key_max_age_ms,
            transit_ms=settings.bare_key_transit_ms,
        )
        own = keys.HomeId(settings.instance, secrets.token_hex(BOOT_BYTES))
        self.issuer = keys.KeyIssuer(own, settings.peer_key)
        self.roster = home_roster.HomeRoster(
            kept, settings.instance, members_table.own.incarnation
        )
        self.stalls = stalls.StallWatch()
        self.memory = key_memory.KeyMemory(kept)
        handed = handover.HandedKeys(kept)
        self.exchange = handover.HomeExchange(self.roster, self.memory, handed)
        self.resolver = home_resolver.HomeResolver(
            kept,
            own,
            self.issuer,
            self.roster,
            members_table,
            stalls=self.stalls,
            handed=handed,
        )
