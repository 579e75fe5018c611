"""Encodes the states of remote data centres in MessagePack."""

import msgspec

from kumquatridge import clock
from kumquatridge import decode_errors
from kumquatridge.membership import messages
from kumquatridge.membership import remote
from kumquatridge.peers import errors


class _Gateway(msgspec.Struct, frozen=True, array_like=True):
    instance: str
    call_address: str


class ServiceStruct(msgspec.Struct, frozen=True, array_like=True):
    """A `membership.messages.ServiceSummary` on the wire."""

    service: str
    instances: int
    slots: int
    gateways: tuple[_Gateway, ...]


class _RemoteDataCentre(msgspec.Struct, frozen=True, array_like=True):
    """A remote data centre on the wire; see `remote.RemoteDataCentre`.

    `cut_off_for_ms` is the time from the last answer of the data centre to the
    encoding, None if the data centre is reachable.
    """

    name: str
    version: int
    digest: int
    cut_off_for_ms: float | None
    services: tuple[ServiceStruct, ...]
    contacts: tuple[str, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_RemoteDataCentre)


def encode_remote(data_centre: remote.RemoteDataCentre) -> bytes:
    """Encodes the state of a remote data centre."""
    return _encoder.encode(
        _RemoteDataCentre(
            data_centre.name,
            data_centre.version,
            data_centre.digest,
            _get_cut_off_for_ms(data_centre.reach),
            tuple(service_to_struct(item) for item in data_centre.services),
            data_centre.contacts,
        )
    )


def decode_remote(data: bytes) -> remote.RemoteDataCentre:
    """Decodes the state of a remote data centre.

    Raises:
      MalformedMessageError: the bytes are not a remote data centre.
    """
    try:
        wire = _decoder.decode(data)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.MalformedMessageError(str(error)) from error
    return remote.RemoteDataCentre(
        wire.name,
        wire.version,
        wire.digest,
        _make_reachability(wire.cut_off_for_ms),
        tuple(service_from_struct(item) for item in wire.services),
        wire.contacts,
    )


def service_to_struct(summary: messages.ServiceSummary) -> ServiceStruct:
    """Returns the wire form of a service's summary."""
    return ServiceStruct(
        summary.service,
        summary.instances,
        summary.slots,
        tuple(
            _Gateway(item.instance, item.call_address)
            for item in summary.gateways
        ),
    )


def service_from_struct(wire: ServiceStruct) -> messages.ServiceSummary:
    """Decodes a service's summary from its wire form."""
    return messages.ServiceSummary(
        wire.service,
        wire.instances,
        wire.slots,
        tuple(
            messages.Gateway(item.instance, item.call_address)
            for item in wire.gateways
        ),
    )


def _get_cut_off_for_ms(reachability: remote.Reach) -> float | None:
    match reachability:
        case remote.Reachable():
            return None
        case remote.CutOff(since_ms):
            return clock.get_now_ms() - since_ms


def _make_reachability(cut_off_for_ms: float | None) -> remote.Reach:
    """Returns the reachability, with the start time on the local clock.

    Clocks differ between instances, so the wire carries a duration.
    """
    if cut_off_for_ms is None:
        return remote.Reachable()
    return remote.CutOff(clock.get_now_ms() - cut_off_for_ms)
