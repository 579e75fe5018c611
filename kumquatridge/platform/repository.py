"""Stores settings nodes and in-force reports as objects of the platform.

Each node (see `settings.record`) and each report (see `settings.in_force`) is
an object of its own.
"""

from collections.abc import AsyncIterator, Iterator, Mapping
import contextlib

from kumquatridge.encoding import record_text
from kumquatridge.platform import errors
from kumquatridge.platform import objects
from kumquatridge.settings import errors as settings_errors
from kumquatridge.settings import in_force
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import repository

NODE_PREFIX = "settings"
REPORT_PREFIX = "status/settings/"


class PlatformRepository:
    """Repository of settings nodes and reports in the platform's store."""

    def __init__(self, api: objects.ObjectApi) -> None:
        self._api = api

    async def read(self, path: str) -> repository.StoredObject | None:
        """Returns a node, None if it was never stored."""
        with _translate_errors():
            platform_object = await self._api.get(_make_key(path))
        return None if platform_object is None else _read_node(platform_object)

    async def write(
        self, stored: settings_record.StoredNode
    ) -> repository.WriteReply:
        """Stores a node if its object still has `stored.revision`."""
        reply = await self._api.put(
            _make_key(stored.record.path),
            record_text.encode_node(stored),
            stored.revision,
        )
        match reply:
            case objects.Stored():
                return repository.Stored()
            case objects.Conflict(version):
                return repository.Conflict(version)
            case objects.Denied(reason):
                return repository.Denied(reason)
            case objects.AnswerLost(reason):
                return repository.AnswerLost(reason)

    async def list_nodes(self) -> repository.Listing:
        """Returns all nodes; those that can't be decoded are `Damaged`."""
        with _translate_errors():
            listing = await self._api.list_objects(_make_key("/"))
        return repository.Listing(
            tuple(
                _read_node(platform_object)
                for platform_object in listing.objects
            ),
            listing.version,
        )

    async def list_revisions(self) -> Mapping[str, int]:
        """Returns the revisions of all nodes' objects by path."""
        with _translate_errors():
            object_versions = await self._api.list_versions(_make_key("/"))
        return {_make_path(item.key): item.version for item in object_versions}

    async def watch(
        self, since_revision: int, window_s: float
    ) -> AsyncIterator[repository.StoredObject]:
        """Yields nodes as they change, for `window_s`."""
        with _translate_errors():
            changes = self._api.watch(_make_key("/"), since_revision, window_s)
            async for platform_object in changes:
                yield _read_node(platform_object)

    async def write_report(self, report: in_force.InForceReport) -> None:
        """Replaces the report of a data centre.

        Raises:
          RepositoryError: the platform failed, or another relay wrote the
            report since it was read.
        """
        key = REPORT_PREFIX + report.data_centre
        with _translate_errors():
            current = await self._api.get(key)
            version = objects.NOT_STORED if current is None else current.version
            reply = await self._api.put(
                key, record_text.encode_report(report), version
            )
        match reply:
            case objects.Stored():
                return
            case objects.Conflict():
                raise settings_errors.RepositoryError(
                    f"write of {key}: another relay changed it since version"
                    f" {version}"
                )
            case objects.Denied(reason) | objects.AnswerLost(reason):
                raise settings_errors.RepositoryError(
                    f"write of {key}: {reason}"
                )

    async def list_reports(self) -> tuple[in_force.InForceReport, ...]:
        """Returns the reports of all data centres."""
        with _translate_errors():
            listing = await self._api.list_objects(REPORT_PREFIX)
        return tuple(
            record_text.decode_report(platform_object.value)
            for platform_object in listing.objects
            if platform_object.value is not None
        )


def _make_key(path: str) -> str:
    return NODE_PREFIX + path


def _make_path(key: str) -> str:
    return key.removeprefix(NODE_PREFIX)


def _read_node(
    platform_object: objects.PlatformObject,
) -> repository.StoredObject:
    path = _make_path(platform_object.key)
    if platform_object.value is None:
        return repository.Damaged(
            path, platform_object.version, "the object is deleted"
        )
    try:
        return record_text.decode_node(
            path, platform_object.value, platform_object.version
        )
    except settings_errors.SettingsError as error:
        return repository.Damaged(path, platform_object.version, str(error))


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    try:
        yield
    except errors.PlatformError as error:
        raise settings_errors.RepositoryError(str(error)) from error
