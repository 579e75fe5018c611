"""Stores the contacts of data centres as objects of the platform.

The contacts of a data centre are the control addresses of some of its members,
through which a new daemon joins the gossip.
"""

from collections.abc import Iterator
import contextlib

import msgspec

from kumquatridge import decode_errors
from kumquatridge.membership import bootstrap
from kumquatridge.platform import errors
from kumquatridge.platform import objects
from kumquatridge.telemetry import events

PREFIX = "members/"

_list_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_address_decoder = msgspec.json.Decoder(str)


class PlatformContactRepository:
    """Repository of bootstrap contacts in the platform's store."""

    def __init__(
        self, api: objects.ObjectApi, *, shared_key: str | None = None
    ) -> None:
        """Uses one object for each data centre, or a shared one.

        `shared_key` names the object with the contacts of all data centres;
        it is for deployments whose gossip spans several data centres.
        """
        self._api = api
        self._shared_key = shared_key

    async def read(
        self, data_centre: str, *, allow_stale: bool = False
    ) -> bootstrap.Contacts:
        """Returns the contacts.

        Before the first write there are none, with the version `NOT_STORED`.
        """
        with _translate_errors():
            stored = await self._api.get(
                self._make_key(data_centre), allow_stale=allow_stale
            )
        if stored is None:
            return bootstrap.Contacts((), bootstrap.NOT_STORED)
        return bootstrap.Contacts(_read_addresses(stored), stored.version)

    async def write(
        self, data_centre: str, contacts: bootstrap.Contacts
    ) -> bool:
        """Replaces the contacts if they still have `contacts.version`.

        Returns False if another member wrote them in the meantime.
        """
        reply = await self._api.put(
            self._make_key(data_centre),
            msgspec.json.encode(contacts.addresses),
            contacts.version,
        )
        match reply:
            case objects.Stored():
                return True
            case objects.Conflict():
                return False
            case objects.Denied(reason) | objects.AnswerLost(reason):
                raise bootstrap.BootstrapError(reason)

    async def list_remote(self, data_centre: str) -> tuple[str, ...]:
        """Returns the contacts of all remote data centres.

        The result is empty if there is a shared object: in that case `read`
        already returns the contacts of all data centres.
        """
        if self._shared_key is not None:
            return ()
        with _translate_errors():
            listing = await self._api.list_objects(PREFIX)
        return tuple(
            address
            for stored in listing.objects
            if stored.key != PREFIX + data_centre
            for address in _read_addresses(stored)
        )

    def _make_key(self, data_centre: str) -> str:
        return PREFIX + (self._shared_key or data_centre)


def _read_addresses(stored: objects.PlatformObject) -> tuple[str, ...]:
    """Returns the contacts, without the entries that are no text."""
    try:
        items = _list_decoder.decode(stored.value or b"[]")
    except decode_errors.DECODE_ERRORS as error:
        events.log(events.PlatformEntrySkipped(stored.key, str(error)))
        return ()
    addresses = []
    for item in items:
        try:
            addresses.append(_address_decoder.decode(item))
        except decode_errors.DECODE_ERRORS as error:
            events.log(events.PlatformEntrySkipped(stored.key, str(error)))
    return tuple(addresses)


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    try:
        yield
    except errors.PlatformError as error:
        raise bootstrap.BootstrapError(str(error)) from error
