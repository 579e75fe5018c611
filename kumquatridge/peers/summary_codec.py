"""The bytes of what data centres tell each other, in MessagePack."""

import msgspec

from kumquatridge import clock
from kumquatridge.membership import messages
from kumquatridge.membership import remote
from kumquatridge.peers import errors


class _Gateway(msgspec.Struct, frozen=True, array_like=True):
    instance: str
    call_address: str


class ServiceStruct(msgspec.Struct, frozen=True, array_like=True):
    """The summary of a service as it is sent."""

    service: str
    instances: int
    slots: int
    gateways: tuple[_Gateway, ...]


class _Remote(msgspec.Struct, frozen=True, array_like=True):
    name: str
    version: int
    digest: int
    silent_ms: float | None
    services: tuple[ServiceStruct, ...]
    contacts: tuple[str, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Remote)


def encode_remote(known: remote.RemoteDataCentre) -> bytes:
    """Returns the bytes of what is known of a data centre."""
    return _encoder.encode(
        _Remote(
            known.name,
            known.version,
            known.digest,
            _get_silence_ms(known.reach),
            tuple(write_service(one) for one in known.services),
            known.contacts,
        )
    )


def decode_remote(data: bytes) -> remote.RemoteDataCentre:
    """Returns what is known of a data centre.

    Raises:
      MalformedMessageError: the bytes are something else.
    """
    try:
        wire = _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise errors.MalformedMessageError(str(error)) from error
    return remote.RemoteDataCentre(
        wire.name,
        wire.version,
        wire.digest,
        _read_reach(wire.silent_ms),
        tuple(read_service(one) for one in wire.services),
        wire.contacts,
    )


def write_service(summary: messages.ServiceSummary) -> ServiceStruct:
    """Returns the summary of a service as it is sent."""
    return ServiceStruct(
        summary.service,
        summary.instances,
        summary.slots,
        tuple(
            _Gateway(one.instance, one.call_address) for one in summary.gateways
        ),
    )


def read_service(wire: ServiceStruct) -> messages.ServiceSummary:
    """Returns the summary of a service that was sent."""
    return messages.ServiceSummary(
        wire.service,
        wire.instances,
        wire.slots,
        tuple(
            messages.Gateway(one.instance, one.call_address)
            for one in wire.gateways
        ),
    )


def _get_silence_ms(reach: remote.Reach) -> float | None:
    match reach:
        case remote.Reachable():
            return None
        case remote.CutOff(since_ms):
            return clock.get_now_ms() - since_ms


def _read_reach(silent_ms: float | None) -> remote.Reach:
    """Returns a reach; times are those of the local clock."""
    if silent_ms is None:
        return remote.Reachable()
    return remote.CutOff(clock.get_now_ms() - silent_ms)
