"""The settings of one daemon."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonSettings:
    """What a daemon is told when it starts.

    Addresses are "host:port" by IP number. Callers and the own worker use
    `caller_address`, other daemons `call_address` and `control_address`,
    workers' announcements and operators `operator_address`. `tree_file` is
    the settings tree served before any other is known. `seeds` are control
    addresses in the own data centre, `remote_seeds` in others. Messages made
    with one of `previous_peer_keys` are still accepted. `platform_token` is
    shown to the platform. With `settings_key`, the platform operators' key,
    the daemon checks the signature of every node.

    Callers may resend a request key of their own making for at most
    `bare_key_max_age_ms`; `bare_key_transit_ms` more is allowed for requests
    that are held up on their way.
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
