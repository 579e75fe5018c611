"""Records, credentials, stores and writers for the settings tests."""

import dataclasses

from kumquatridge.encoding import settings_text
from kumquatridge.platform import repository as platform_repository
from kumquatridge.settings import credentials
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import store as settings_store
from kumquatridge.settings import writer
from kumquatridge.standins import platform_store
from kumquatridge.telemetry import settings_counts

ROOT_KEY = "key of the operators"
OPERATORS = credentials.Credential("/", ROOT_KEY)
TEAM = credentials.delegate(OPERATORS, "/team")
OTHER_TEAM = credentials.delegate(OPERATORS, "/other")
# Nodes of the settings file; its only service is "old".
FILE_NODES = (
    settings_node.Node("/", settings_node.NodeSettings()),
    settings_node.Node("/file", settings_node.NodeSettings()),
    settings_node.Node("/file/old", settings_node.NodeSettings()),
)


def make_store(
    file_nodes: tuple[settings_node.Node, ...] = FILE_NODES,
    counts: settings_counts.SettingsCounts | None = None,
) -> settings_store.NodeStore:
    """Returns a store that verifies signatures with `ROOT_KEY`."""
    return settings_store.NodeStore(
        settings_store.StoreSettings(
            file_nodes,
            settings_text.read_defaults(),
            credentials.RecordVerifier(ROOT_KEY),
        ),
        counts or settings_counts.SettingsCounts(),
    )


def make_record(
    path: str,
    version: int = 1,
    settings: settings_node.NodeSettings | None = None,
    credential: credentials.Credential = OPERATORS,
) -> settings_record.NodeRecord:
    """Returns a signed record; by default the node sets no values.

    The nonce is the same for all records of one version.
    """
    return credential.sign(
        settings_record.NodeRecord(
            path,
            version,
            settings or settings_node.NodeSettings(),
            credential.owner,
            "writer",
            f"nonce {version}",
            0,  # written_at_ms
        )
    )


def make_tombstone(path: str, version: int) -> settings_record.NodeRecord:
    """Returns the signed record of a deletion."""
    record = dataclasses.replace(make_record(path, version), settings=None)
    return OPERATORS.sign(record)


def connect(
    platform: platform_store.PlatformStore,
) -> platform_repository.PlatformRepository:
    """Returns a repository connected to an in-memory platform."""
    return platform_repository.PlatformRepository(platform.connect())


def make_writer(
    platform: platform_store.PlatformStore,
    name: str = "ada",
    credential: credentials.Credential = OPERATORS,
) -> writer.NodeWriter:
    """Returns a writer connected to an in-memory platform."""
    return writer.NodeWriter(
        writer.WriterSettings(name, credential), connect(platform)
    )
