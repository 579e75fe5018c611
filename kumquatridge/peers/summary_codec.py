"""The bytes of what data centres tell each other, in MessagePack."""

import msgspec

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
    reachable: bool
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
            known.reach == remote.Reachable(),
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
        remote.Reachable() if wire.reachable else remote.CutOff(),
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
