"""Encodes the settings records and reports stored in the platform."""

import datetime as dt
from typing import Any

import msgspec

from kumquatridge.encoding import settings_text
from kumquatridge.settings import errors
from kumquatridge.settings import in_force
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record


class _RecordBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    version: int
    settings: dict[str, Any] | None
    owner: str
    writer: str
    nonce: str
    written_at_ms: int
    signature: str = ""


class _NodeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    path: str
    record: _RecordBody
    history: tuple[_RecordBody, ...] = ()


_encoder = msgspec.json.Encoder()
_node_decoder = msgspec.json.Decoder(_NodeBody)
_report_decoder = msgspec.json.Decoder(in_force.InForceReport)


def encode_node(stored: settings_record.StoredNode) -> bytes:
    """Encodes a node as the value of its platform object."""
    body = _NodeBody(
        stored.record.path,
        _make_body(stored.record),
        tuple(_make_body(record) for record in stored.history),
    )
    return _encoder.encode(body)


def decode_node(
    path: str, value: bytes, revision: int
) -> settings_record.StoredNode:
    """Decodes a node from the value of its platform object.

    Raises:
      SettingsError: the value is malformed, or of a node with another path.
    """
    try:
        body = _node_decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.SettingsError(
            f"platform object of node {path}: malformed: {error}"
        ) from error
    if body.path != path:
        raise errors.InvalidValueError(
            "platform object",
            path,
            body.path,
            "the path in the object's key",
        )
    return settings_record.StoredNode(
        _make_record(path, body.record),
        tuple(_make_record(path, record) for record in body.history),
        revision,
    )


def encode_report(report: in_force.InForceReport) -> bytes:
    """Encodes a data centre's report of the settings in force."""
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
    """Returns a record as JSON values for display and for scripts."""
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


def _make_body(record: settings_record.NodeRecord) -> _RecordBody:
    settings = record.settings
    return _RecordBody(
        record.version,
        None if settings is None else settings_text.encode_settings(settings),
        record.owner,
        record.writer,
        record.nonce,
        record.written_at_ms,
        record.signature,
    )


def _make_record(path: str, body: _RecordBody) -> settings_record.NodeRecord:
    return settings_record.NodeRecord(
        path,
        body.version,
        _decode_settings(path, body.settings),
        body.owner,
        body.writer,
        body.nonce,
        body.written_at_ms,
        body.signature,
    )


def _decode_settings(
    path: str, settings: dict[str, Any] | None
) -> settings_node.NodeSettings | None:
    if settings is None:
        return None
    return settings_text.decode_settings("platform object", path, settings)
