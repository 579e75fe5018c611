"""The settings file that the platform lays beside the daemon, in TOML.

Fields that this daemon has no use for are ignored.
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
# The file may change without a signal; a change is seen within this time.
CHECK_INTERVAL_S = 2.0


class _LocalNode(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    region: str
    # The address of the worker, not of another service.
    upstream: str
    service: str


class _ListenAddresses(msgspec.Struct, rename="camel"):
    inbound: str
    outbound: str
    readiness: str
    admin: str


class _Network(msgspec.Struct, rename="camel"):
    # The first and the last of a range, not a list of ports.
    internal_ports: tuple[int, int]
    listen_addrs: _ListenAddresses
    # Region by zone.
    zones: dict[str, str]


class _Store(msgspec.Struct, rename="camel"):
    address: str


class _Platform(msgspec.Struct, rename="camel"):
    platform: _Store


class _Bounds(msgspec.Struct, rename="camel"):
    grace_s: float = 6.0
    drain_s: float = 2.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    # Repeats that are allowed on top of the ratio, not a duration.
    retry_slack: float = 49.0


class _Terms(msgspec.Struct, rename="camel"):
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class _SettingsFile(msgspec.Struct, rename="camel"):
    local_node: _LocalNode
    network: _Network
    platform: _Platform
    terms: _Terms = msgspec.field(default_factory=_Terms)


@dataclasses.dataclass(frozen=True, slots=True)
class SiteSettings:
    """What the platform tells a daemon about its place.

    Addresses are "host:port". `data_centres` are those of the own region.
    `retry_ratio` and `retry_floor` bound the retries of all daemons together
    in any `retry_window_ms`. The process is killed `grace_ms` after SIGTERM.
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


def read_settings(path: pathlib.Path, metrics_port: int) -> SiteSettings:
    """Reads and checks the file.

    The port of the metrics stands in the deploy file, not in this one.

    Raises:
      SettingsFileError: it can't be read, or a value is not what its field
        expects; the text names field, value and what was expected.
    """
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        decoded = msgspec.convert(table, _SettingsFile, strict=True)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsFileError(f"{path}: {error}") from error
    except msgspec.ValidationError as error:
        raise errors.SettingsFileError(
            f"{path}: {error}{_name_value(table, str(error))}"
        ) from error
    return _check(path, _translate(decoded, metrics_port))


def _name_value(table: object, fault: str) -> str:
    """Returns the value that a fault is about, if the fault names a path."""
    _, found, path = fault.partition("`$.")
    if not found:
        return ""
    value = table
    for key in path.rstrip("`").split("."):
        if not isinstance(value, dict) or key not in value:
            return ""
        value = value[key]
    return f", got {value!r}"


def _translate(file: _SettingsFile, metrics_port: int) -> SiteSettings:
    node, network = file.local_node, file.network
    bounds = file.terms.bounds
    first_port, _ = network.internal_ports
    return SiteSettings(
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
        store_address=file.platform.platform.address,
        metrics_address=f"{node.ip}:{metrics_port}",
        grace_ms=bounds.grace_s * MS_PER_S,
        retry_ratio=bounds.retry_budget_ratio,
        retry_floor=bounds.retry_slack,
        retry_window_ms=bounds.retry_window_s * MS_PER_S,
    )


def _check(path: pathlib.Path, settings: SiteSettings) -> SiteSettings:
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
    """The settings file and what was read from it last."""

    def __init__(self, path: pathlib.Path, metrics_port: int) -> None:
        """Reads the file for the first time.

        Raises:
          SettingsFileError: it can't be used.
        """
        self._path = path
        self._metrics_port = metrics_port
        self.settings = read_settings(path, metrics_port)

    def read_again(self) -> bool:
        """Reads the file; returns whether the settings differ.

        Raises:
          SettingsFileError: it can't be used; the settings stay.
        """
        settings = read_settings(self._path, self._metrics_port)
        changed = settings != self.settings
        self.settings = settings
        return changed


class SettingsWatch(background.BackgroundOwner):
    """Reads the file again on request and at intervals while it is open.

    `asked` is set when the file is to be read at once, as after SIGHUP.
    """

    def __init__(
        self,
        source: SettingsSource,
        on_change: Callable[[SiteSettings], None],
        asked: asyncio.Event,
    ) -> None:
        self._source = source
        self._on_change = on_change
        self._asked = asked
        self._fault = ""

    async def _run(self) -> None:
        while True:
            trigger = "interval"
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._asked.wait()
                trigger = "signal"
            except TimeoutError:
                pass
            self._asked.clear()
            self._check(trigger)

    def _check(self, trigger: str) -> None:
        try:
            changed = self._source.read_again()
        except errors.SettingsFileError as error:
            if str(error) != self._fault:
                self._fault = str(error)
                events.log(events.SettingsFileRejected(self._fault))
            return
        self._fault = ""
        if changed or trigger == "signal":
            settings = self._source.settings
            events.log(
                events.SettingsFileRead(
                    settings.instance, settings.service, trigger
                )
            )
        if changed:
            self._on_change(self._source.settings)
