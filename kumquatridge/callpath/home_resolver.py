"""Decides whether this daemon may run a request key, and who else may."""

import dataclasses
import math

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import roster as home_roster
from kumquatridge.idempotency import settings as key_settings
from kumquatridge.idempotency import stalls as key_stalls
from kumquatridge.membership import member as members
from kumquatridge.membership import table

HOME_GONE = "the home of the key is gone; the call is not run again"
KEY_EXPIRED = "the key has expired; the call is not run again"
FORGED = "the request key has the form of an issued key, but is not one"


@dataclasses.dataclass(frozen=True, slots=True)
class Here:
    """This daemon may run the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class There:
    """Another instance must be asked."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Nowhere:
    """No daemon may run the key; `detail` says why."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The key is not one that may be used."""


Place = Here | There | Nowhere | Invalid


class HomeResolver:
    """Finds the homes of keys by the roster and by the keys themselves."""

    def __init__(
        self,
        settings: key_settings.KeySettings,
        own: keys.HomeId,
        issuer: keys.KeyIssuer,
        roster: home_roster.HomeRoster,
        members_table: table.MemberTable,
        *,
        stalls: key_stalls.StallSource,
        handed: handover.HandedKeys,
    ) -> None:
        self._handed = handed
        self._stalls = stalls
        self._settings = settings
        self._own = own
        self._issuer = issuer
        self._roster = roster
        self._members = members_table

    def find_member(self, instance: str) -> members.Member | None:
        """Returns the member of an instance, or None when not known."""
        for member in self._members:
            if member.instance == instance:
                return member
        return None

    def measure_age_ms(self, call: calls.Call) -> int:
        """Returns how old a call's key may be by now."""
        told_ms = call.key_age_ms
        if told_ms is None:
            told_ms = self._settings.bare_key_max_age_ms
        held_ms = clock.get_now_ms() - call.received_ms
        return math.ceil(told_ms + held_ms + self._stalls.get_lost_ms())

    def judge(self, call: calls.Call, scope: str) -> Place:
        """Decides whether this daemon may run a call by its key."""
        match self._issuer.read(call.idempotency_key or ""):
            case keys.ForgedKey():
                return Invalid()
            case keys.IssuedKey(home, issued_ms):
                return self._judge_issued(home, issued_ms)
            case keys.BareKey():
                return self._judge_bare(call, scope)

    def choose(self, call: calls.Call, scope: str) -> Place:
        """Decides which daemon to ask first about a call's key."""
        place = self.judge(call, scope)
        match place, self._issuer.read(call.idempotency_key or ""):
            case Nowhere(), keys.BareKey() if not self._serves(call.service):
                return self._rank_members(call.service, scope)
            case _:
                return place

    def _judge_issued(self, home: keys.HomeId, issued_ms: int) -> Place:
        if home.instance != self._own.instance:
            return There(home.instance)
        if home != self._own:
            return Nowhere(HOME_GONE)
        age_ms = clock.get_now_ms() - issued_ms
        if age_ms > self._settings.retention_ms:
            return Nowhere(KEY_EXPIRED)
        return Here()

    def _judge_bare(self, call: calls.Call, scope: str) -> Place:
        if not self._serves(call.service):
            return Nowhere("this daemon is not a home of the service")
        age_ms = self.measure_age_ms(call) + self._settings.transit_ms
        match self._roster.judge(scope, age_ms):
            case home_roster.Home():
                teller = self._handed.find(scope)
                return Here() if teller is None else There(teller)
            case home_roster.Elsewhere(instance):
                return There(instance)
            case home_roster.Unproved(detail):
                return Nowhere(f"{detail}; the call is not run")

    def _serves(self, service: str) -> bool:
        announcement = self._members.own.announcement
        return announcement is not None and announcement.service == service

    def _rank_members(self, service: str, scope: str) -> Place:
        found = [
            member.instance
            for member in self._members.get_instances(service)
            if member.data_centre == self._members.own.data_centre
        ]
        if not found:
            return Nowhere(f"no home of {service} is known")
        return There(max(found, key=lambda name: keys.rank(name, scope)))
