"""Encoding of the updates between the daemons of a service."""

import pytest

from kumquatridge.callpath import service_exchange
from kumquatridge.http import errors
from kumquatridge.http import service_link
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import home_registry
from kumquatridge.quarantine import crash_registry

# The numbers order the registrations of an instance.
OWN = home_registry.Registration("ordering-1", 7)
LEFT = home_registry.Registration("ordering-2", 3, left=True)
# Fingerprint "f", two crashes of which one is cleared, 12.5 ms old.
CRASH = crash_registry.CrashEntry("f", ("c1", "c2"), ("c1",), 12.5)


@pytest.mark.parametrize(
    "update",
    [
        pytest.param(
            service_exchange.ServiceUpdate(
                "ordering",
                "landshut",
                # Established; the keys cover the last 2.5 ms.
                handover.HomeUpdate(
                    OWN, True, (OWN, LEFT), handover.Handover(("k",), 2.5)
                ),
                (CRASH,),
            ),
            id="with keys and crashes",
        ),
        pytest.param(
            service_exchange.ServiceUpdate(
                "ordering",
                "landshut",
                # Not established, and without keys.
                handover.HomeUpdate(OWN, False, (OWN,), None),
                (),
            ),
            id="without keys and crashes",
        ),
    ],
)
def test_update_is_unchanged_by_encoding(
    update: service_exchange.ServiceUpdate,
) -> None:
    assert service_link.decode(service_link.encode(update)) == update


# Nothing, a value followed by another, a list of one number and an empty map.
@pytest.mark.parametrize("data", [b"", b"\xff\xff", b"\x91\x63", b"\x80"])
def test_invalid_bytes_raise_malformed_request(data: bytes) -> None:
    with pytest.raises(errors.MalformedRequestError):
        service_link.decode(data)
