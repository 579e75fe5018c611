"""Encodes settings nodes and in-force reports, which the platform stores."""

import datetime as dt
from typing import Any

import msgspec

from kumquatridge.encoding import settings_text
from kumquatridge.settings import errors
from kumquatridge.settings import in_force
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record


class _RecordStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A `settings.record.NodeRecord` without its path."""

    version: int
    settings: dict[str, Any] | None
    owner: str
    writer: str
    nonce: str
    written_at_ms: int
    signature: str = ""


class _NodeStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A `settings.record.StoredNode` without its revision."""

    path: str
    record: _RecordStruct
    history: tuple[_RecordStruct, ...] = ()


_encoder = msgspec.json.Encoder()
_node_decoder = msgspec.json.Decoder(_NodeStruct)
_report_decoder = msgspec.json.Decoder(in_force.InForceReport)


def encode_node(stored: settings_record.StoredNode) -> bytes:
    """Encodes a node in JSON, as the value of its platform object."""
    node_struct = _NodeStruct(
        stored.record.path,
        _record_to_struct(stored.record),
        tuple(_record_to_struct(record) for record in stored.history),
    )
    return _encoder.encode(node_struct)


def decode_node(
    path: str, value: bytes, revision: int
) -> settings_record.StoredNode:
    """Decodes a node from the value of its platform object.

    `path` is the path that the key of the object names, and `revision` the
    revision that the platform assigned to the object.

    Raises:
      SettingsError: the value is malformed, or of a node with another path.
    """
    try:
        node_struct = _node_decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.SettingsError(
            f"platform object of node {path}: malformed: {error}"
        ) from error
    if node_struct.path != path:
        raise errors.InvalidValueError(
            "platform object",
            path,
            node_struct.path,
            "the path in the object's key",
        )
    return settings_record.StoredNode(
        _record_from_struct(path, node_struct.record),
        tuple(
            _record_from_struct(path, record) for record in node_struct.history
        ),
        revision,
    )


def encode_report(report: in_force.InForceReport) -> bytes:
    """Encodes a data centre's report of the settings in force, in JSON."""
    return _encoder.encode(report)


def decode_report(value: bytes) -> in_force.InForceReport:
    """Decodes a data centre's report of the settings in force.

    Raises:
      SettingsError: the bytes are not a report.
    """
    try:
        return _report_decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.SettingsError(
            f"platform object: malformed settings report: {error}"
        ) from error


def describe(record: settings_record.NodeRecord) -> dict[str, Any]:
    """Returns a record as JSON values, for users and their scripts.

    `settings` is None for a deletion, `written_at` an ISO 8601 time in UTC.
    """
    written_at = dt.datetime.fromtimestamp(record.written_at_ms / 1000, dt.UTC)
    settings = record.settings
    return {
        "path": record.path,
        "version": record.version,
        "written_at": written_at.isoformat(timespec="milliseconds"),
        "writer": record.writer,
        "owner": record.owner,
        "settings": None
        if settings is None
        else settings_text.encode_settings(settings),
    }


def _record_to_struct(record: settings_record.NodeRecord) -> _RecordStruct:
    settings = record.settings
    return _RecordStruct(
        record.version,
        None if settings is None else settings_text.encode_settings(settings),
        record.owner,
        record.writer,
        record.nonce,
        record.written_at_ms,
        record.signature,
    )


def _record_from_struct(
    path: str, record_struct: _RecordStruct
) -> settings_record.NodeRecord:
    return settings_record.NodeRecord(
        path,
        record_struct.version,
        _decode_settings(path, record_struct.settings),
        record_struct.owner,
        record_struct.writer,
        record_struct.nonce,
        record_struct.written_at_ms,
        record_struct.signature,
    )


def _decode_settings(
    path: str, settings: dict[str, Any] | None
) -> settings_node.NodeSettings | None:
    if settings is None:
        return None
    return settings_text.decode_settings("platform object", path, settings)
