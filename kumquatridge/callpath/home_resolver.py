"""Resolves an idempotency key to its home, the daemon that may run its call.

A key that a daemon issued names its home. The home of a bare key, which the
caller made, is chosen among the daemons of the called service.
"""

import dataclasses
import math

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import home_registry
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import settings as key_settings
from kumquatridge.idempotency import stalls as key_stalls
from kumquatridge.membership import member as members
from kumquatridge.membership import table

HOME_LOST = "the home of the key is gone; the call is not run again"
KEY_EXPIRED = "the key has expired; the call is not run again"
FORGED_KEY = "the request key has the form of an issued key, but is not one"


@dataclasses.dataclass(frozen=True, slots=True)
class LocalHome:
    """This daemon is the home of the key and may run the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteHome:
    """`instance` is the home of the key, or is asked before the home."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoHome:
    """No daemon is known that may run the call; `detail` says why."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForgedKey:
    """The key has the form of an issued key but was not issued."""


Resolution = LocalHome | RemoteHome | NoHome | ForgedKey


class HomeResolver:
    """Finds the home of a key: in an issued key, else in the registry.

    `own` identifies this daemon process in the keys that it issues.
    """

    def __init__(
        self,
        settings: key_settings.KeySettings,
        own: keys.HomeId,
        issuer: keys.KeyIssuer,
        registry: home_registry.HomeRegistry,
        members_table: table.MemberTable,
        *,
        stalls: key_stalls.StallSource,
        handed_over_keys: handover.HandedOverKeys,
    ) -> None:
        self._handed_over_keys = handed_over_keys
        self._stalls = stalls
        self._settings = settings
        self._own = own
        self._issuer = issuer
        self._registry = registry
        self._members = members_table

    def find_member(self, instance: str) -> members.Member | None:
        """Returns the member of an instance, None when unknown."""
        for member in self._members:
            if member.instance == instance:
                return member
        return None

    def get_max_key_age_ms(self, call: calls.Call) -> int:
        """Returns the highest age that the key of a call may have now.

        The age at arrival is the one that the caller reported, else the highest
        age that the settings allow a key made by a caller. The time since
        arrival is added, and the length of a recent stall of this process,
        during which the call may have waited unread (`idempotency.stalls`).
        """
        reported_ms = call.key_age_ms
        if reported_ms is None:
            reported_ms = self._settings.bare_key_max_age_ms
        elapsed_ms = clock.get_now_ms() - call.received_ms
        return math.ceil(reported_ms + elapsed_ms + self._stalls.get_stall_ms())

    def resolve(self, call: calls.Call, key_digest: str) -> Resolution:
        """Returns the home of a call's key, or why the call must not run."""
        match self._issuer.parse(call.idempotency_key or ""):
            case keys.ForgedKey():
                return ForgedKey()
            case keys.IssuedKey(home, issued_ms):
                return self._resolve_issued(home, issued_ms)
            case keys.BareKey():
                return self._resolve_bare(call, key_digest)

    def resolve_first_hop(
        self, call: calls.Call, key_digest: str
    ) -> Resolution:
        """Returns the daemon to ask first about a call's key.

        If this daemon is of another service than the called one, it can't be
        the home of a bare key and has no registry of the homes. It then asks an
        instance of the called service in its data centre.
        """
        resolution = self.resolve(call, key_digest)
        match resolution, self._issuer.parse(call.idempotency_key or ""):
            case NoHome(), keys.BareKey() if not self._is_serving(call.service):
                return self._choose_home(call.service, key_digest)
            case _:
                return resolution

    def _resolve_issued(self, home: keys.HomeId, issued_ms: int) -> Resolution:
        """Resolves an issued key; an earlier process here may have issued it.

        This process does not know which calls that one ran.
        """
        if home.instance != self._own.instance:
            return RemoteHome(home.instance)
        if home != self._own:
            return NoHome(HOME_LOST)
        age_ms = clock.get_now_ms() - issued_ms
        if age_ms > self._settings.retention_ms:
            return NoHome(KEY_EXPIRED)
        return LocalHome()

    def _resolve_bare(self, call: calls.Call, key_digest: str) -> Resolution:
        if not self._is_serving(call.service):
            return NoHome("this daemon is not a home of the service")
        age_ms = self.get_max_key_age_ms(call) + self._settings.transit_ms
        match self._registry.decide(key_digest, age_ms):
            case home_registry.LocalHome():
                # The daemon that handed the key over is asked, since it may
                # know of a run with the key.
                sender = self._handed_over_keys.find(key_digest)
                return LocalHome() if sender is None else RemoteHome(sender)
            case home_registry.RemoteHome(instance):
                return RemoteHome(instance)
            case home_registry.Unproved(detail):
                return NoHome(f"{detail}; the call is not run")

    def _is_serving(self, service: str) -> bool:
        announcement = self._members.own.announcement
        return announcement is not None and announcement.service == service

    def _choose_home(self, service: str, key_digest: str) -> Resolution:
        """Returns the likely home, by the members that this daemon knows."""
        instances = [
            member.instance
            for member in self._members.get_instances(service)
            if member.data_centre == self._members.own.data_centre
        ]
        if not instances:
            return NoHome(f"no home of {service} is known")
        return RemoteHome(
            max(
                instances,
                key=lambda name: keys.get_rendezvous_weight(name, key_digest),
            )
        )
