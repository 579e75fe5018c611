"""Reads and watches the TOML settings file that the platform writes.

Unknown fields are ignored.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import pathlib
import tomllib

import msgspec

from kumquatridge import background
from kumquatridge.platform import errors
from kumquatridge.telemetry import events

ENVIRONMENT_VARIABLE = "KUMQUATRIDGE_SETTINGS"
MS_PER_S = 1000.0
BYTES_PER_MB = 1024 * 1024
# The file may change without a SIGHUP; a change is noticed within this time.
CHECK_INTERVAL_S = 2.0


class _MachineLimits(msgspec.Struct, rename="camel"):
    # Of a process; one that needs more memory is killed.
    memory_mb: float = 300
    max_fds: float = 4100


class _LocalNode(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    region: str
    # Address of the local worker.
    upstream: str
    service: str
    limits: _MachineLimits = msgspec.field(default_factory=_MachineLimits)


class _ListenAddresses(msgspec.Struct, rename="camel"):
    # For calls of other daemons.
    inbound: str
    # For callers on this instance.
    outbound: str
    readiness: str
    # For the reports of the local worker.
    admin: str


class _Network(msgspec.Struct, rename="camel"):
    # First and last port of a range; the first one serves control messages.
    internal_ports: tuple[int, int]
    listen_addrs: _ListenAddresses
    # Maps each zone to its region.
    zones: dict[str, str]


class _Store(msgspec.Struct, rename="camel"):
    address: str


class _Platform(msgspec.Struct, rename="camel"):
    platform: _Store


class _Bounds(msgspec.Struct, rename="camel"):
    # Time from SIGTERM to SIGKILL.
    grace_s: float = 6.0
    # Not used: the length of a drain depends on `grace_s`.
    drain_s: float = 2.0
    # Retries per window as a fraction of the requests in it.
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    # Retries per window that are allowed whatever the ratio; not a duration.
    retry_slack: float = 49.0
    # Time within which a changed configuration must be in force.
    config_apply_s: float = 2.0


class _Terms(msgspec.Struct, rename="camel"):
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class _SettingsFile(msgspec.Struct, rename="camel"):
    local_node: _LocalNode
    network: _Network
    platform: _Platform
    terms: _Terms = msgspec.field(default_factory=_Terms)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Identity, addresses and bounds of a daemon on the platform.

    Addresses are "host:port". `data_centres` are those of the daemon's region.
    `retry_ratio`, a fraction of the requests, and `retry_floor`, a number of
    retries, bound the retries of all daemons together in any
    `retry_window_ms`. The platform sends SIGKILL `grace_ms` after SIGTERM. A
    changed configuration must be in force within `config_apply_ms`. The process
    may use `memory_bytes` and have `max_descriptors` open.
    """

    instance: str
    data_centre: str
    region: str
    data_centres: frozenset[str]
    service: str
    worker_address: str
    caller_address: str
    call_address: str
    control_address: str
    readiness_address: str
    announcement_address: str
    store_address: str
    metrics_address: str
    grace_ms: float
    retry_ratio: float
    retry_floor: float
    retry_window_ms: float
    config_apply_ms: float
    memory_bytes: int = 300 * BYTES_PER_MB
    max_descriptors: int = 4100


def read_settings(path: pathlib.Path, metrics_port: int) -> PlatformSettings:
    """Reads and validates the settings file.

    The metrics port comes from the deployment file, not the settings file.

    Raises:
      SettingsFileError: the file can't be read, or a value is invalid; the
        message has the field, its value and what was expected.
    """
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        decoded = msgspec.convert(table, _SettingsFile, strict=True)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsFileError(f"{path}: {error}") from error
    except msgspec.ValidationError as error:
        raise errors.SettingsFileError(
            f"{path}: {error}{_format_value(table, str(error))}"
        ) from error
    return _validate_addresses(path, _make_settings(decoded, metrics_port))


def _format_value(table: object, message: str) -> str:
    """Formats the rejected value if the error message contains its path."""
    _, separator, path = message.partition("`$.")
    if not separator:
        return ""
    value = table
    for key in path.rstrip("`").split("."):
        if not isinstance(value, dict) or key not in value:
            return ""
        value = value[key]
    return f", got {value!r}"


def _make_settings(
    decoded_file: _SettingsFile, metrics_port: int
) -> PlatformSettings:
    node, network = decoded_file.local_node, decoded_file.network
    bounds = decoded_file.terms.bounds
    first_port, _ = network.internal_ports
    return PlatformSettings(
        instance=node.node_name,
        data_centre=node.zone,
        region=node.region,
        data_centres=frozenset(
            zone
            for zone, region in network.zones.items()
            if region == node.region
        )
        | {node.zone},
        service=node.service,
        worker_address=node.upstream,
        caller_address=network.listen_addrs.outbound,
        call_address=network.listen_addrs.inbound,
        control_address=f"{node.ip}:{first_port}",
        readiness_address=network.listen_addrs.readiness,
        announcement_address=network.listen_addrs.admin,
        store_address=decoded_file.platform.platform.address,
        metrics_address=f"{node.ip}:{metrics_port}",
        grace_ms=bounds.grace_s * MS_PER_S,
        retry_ratio=bounds.retry_budget_ratio,
        retry_floor=bounds.retry_slack,
        retry_window_ms=bounds.retry_window_s * MS_PER_S,
        config_apply_ms=bounds.config_apply_s * MS_PER_S,
        memory_bytes=int(node.limits.memory_mb * BYTES_PER_MB),
        max_descriptors=int(node.limits.max_fds),
    )


def _validate_addresses(
    path: pathlib.Path, settings: PlatformSettings
) -> PlatformSettings:
    for field in dataclasses.fields(settings):
        if not field.name.endswith("_address"):
            continue
        address = getattr(settings, field.name)
        host, colon, port = address.rpartition(":")
        if not (host and colon and port.isdecimal() and 0 < int(port) < 65536):
            raise errors.SettingsFileError(
                f"{path}: {field.name}: got {address!r}, expected host:port"
            )
    return settings


class SettingsSource:
    """The settings file and the last valid settings read from it."""

    def __init__(self, path: pathlib.Path, metrics_port: int) -> None:
        """Reads the file for the first time.

        Raises:
          SettingsFileError: the file can't be read or is invalid.
        """
        self._path = path
        self._metrics_port = metrics_port
        self.settings = read_settings(path, metrics_port)

    def reload(self) -> bool:
        """Reads the file again; returns whether the settings changed.

        Raises:
          SettingsFileError: the file can't be read or is invalid; the last
            settings stay in force.
        """
        settings = read_settings(self._path, self._metrics_port)
        changed = settings != self.settings
        self.settings = settings
        return changed


class SettingsWatch(background.BackgroundOwner):
    """Rereads the settings file while its context is open.

    The file is read every `CHECK_INTERVAL_S`, and at once when
    `reload_requested` is set, as on SIGHUP.
    """

    def __init__(
        self,
        source: SettingsSource,
        on_change: Callable[[PlatformSettings], None],
        reload_requested: asyncio.Event,
    ) -> None:
        self._source = source
        self._on_change = on_change
        self._reload_requested = reload_requested
        self._last_error = ""

    async def _run(self) -> None:
        while True:
            trigger = "interval"
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._reload_requested.wait()
                trigger = "signal"
            except TimeoutError:
                pass
            self._reload_requested.clear()
            self._reload(trigger)

    def _reload(self, trigger: str) -> None:
        try:
            changed = self._source.reload()
        except errors.SettingsFileError as error:
            if str(error) != self._last_error:
                self._last_error = str(error)
                events.log(events.SettingsFileRejected(self._last_error))
            return
        self._last_error = ""
        if changed or trigger == "signal":
            settings = self._source.settings
            events.log(
                events.SettingsFileRead(
                    settings.instance, settings.service, trigger
                )
            )
        if changed:
            self._on_change(self._source.settings)
