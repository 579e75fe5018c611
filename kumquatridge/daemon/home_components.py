"""Creates the components that make a daemon a home of idempotency keys.

The home of a key is the daemon that runs the call with this key and answers
when the call is resent. A bare key is made by the caller, not issued by a
daemon.
"""

import secrets

from kumquatridge.callpath import home_resolver
from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import home_registry
from kumquatridge.idempotency import key_table
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import settings as key_settings
from kumquatridge.idempotency import stalls
from kumquatridge.membership import table

# Length of the random id that tells the processes of one instance apart.
BOOT_ID_BYTES = 8


class HomeComponents:
    """The key issuer, registry of homes and key table of one daemon process.

    `stalls` detects pauses of this process, `home_exchange` hands keys over to
    other homes, and `resolver` finds the home of a key.
    """

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        members_table: table.MemberTable,
    ) -> None:
        key_limits = key_settings.KeySettings(
            bare_key_max_age_ms=settings.bare_key_max_age_ms,
            transit_ms=settings.bare_key_transit_ms,
        )
        own_home_id = keys.HomeId(
            settings.instance, secrets.token_hex(BOOT_ID_BYTES)
        )
        self.issuer = keys.KeyIssuer(own_home_id, settings.peer_key)
        self.home_registry = home_registry.HomeRegistry(
            key_limits, settings.instance, members_table.own.incarnation
        )
        self.stalls = stalls.StallWatch()
        self.key_table = key_table.KeyTable(key_limits)
        handed_over = handover.HandedOverKeys(key_limits)
        self.home_exchange = handover.HomeExchange(
            self.home_registry, self.key_table, handed_over
        )
        self.resolver = home_resolver.HomeResolver(
            key_limits,
            own_home_id,
            self.issuer,
            self.home_registry,
            members_table,
            stalls=self.stalls,
            handed_over_keys=handed_over,
        )
