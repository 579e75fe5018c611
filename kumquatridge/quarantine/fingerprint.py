"""Fingerprints that identify equal calls across retries and daemons."""

import xxhash

from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls


def make_fingerprint(call: calls.Call) -> str:
    """Returns a digest of service, route, method, path and body.

    A streamed body contributes its announced length only, because its bytes
    are not buffered.
    """
    digest = xxhash.xxh3_64()
    for field in (
        call.service,
        call.policy.route,
        call.method,
        call.path,
    ):
        digest.update(field.encode())
        # Separates the fields.
        digest.update(b"\0")
    match call.body:
        case call_body.BufferedBody(data):
            digest.update(data)
        case call_body.StreamedBody(length_bytes, _):
            digest.update(str(length_bytes).encode())
    return digest.hexdigest()
