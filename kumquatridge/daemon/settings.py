"""The settings of one daemon."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Settings that a daemon reads at start-up.

    Addresses are "host:port" with an IP address as the host. Callers and the
    local worker connect to `caller_address`, other daemons to `call_address`
    and `control_address`; worker announcements and the operators' requests go
    to `operator_address`. `tree_file` holds the settings tree that is in force
    until a newer one is received. `seeds` are control addresses of daemons in
    the same data centre, `remote_seeds` in others. Daemons authenticate
    messages to each other with `peer_key`; messages authenticated with one of
    `previous_peer_keys` are still accepted.

    `platform_address` is that of the platform's object API, and
    `platform_token` authenticates the daemon to it. With `settings_key`, the
    secret key of the platform's operators, the daemon verifies the signature
    of every node of the settings tree.

    When the daemon stops, it accepts new calls for another `drain_ms`; calls
    in progress then have at most `stop_timeout_ms` to complete.

    A bare idempotency key is one that the caller made, not a daemon. Callers
    may resend it for at most `bare_key_max_age_ms`; `bare_key_transit_ms` is
    the additional time allowed for requests that are delayed in transit.
    """

    instance: str
    data_centre: str
    caller_address: str
    call_address: str
    control_address: str
    operator_address: str
    peer_key: str
    tree_file: str
    seeds: tuple[str, ...] = ()
    remote_seeds: tuple[str, ...] = ()
    previous_peer_keys: tuple[str, ...] = ()
    platform_address: str | None = None
    platform_token: str | None = None
    settings_key: str | None = None
    drain_ms: int = 3000
    stop_timeout_ms: int = 60000
    bare_key_max_age_ms: int = 60000
    bare_key_transit_ms: int = 10000
