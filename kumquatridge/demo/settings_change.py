"""Applies the demo's settings tree like `kumquatridge settings apply`."""

import asyncio
import pathlib

from kumquatridge import errors
from kumquatridge.encoding import settings_text
from kumquatridge.platform import client as platform_client
from kumquatridge.platform import repository as platform_repository
from kumquatridge.settings import credentials
from kumquatridge.settings import editing
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import waiting
from kumquatridge.settings import writer

# Recorded with the nodes that the demo writes.
WRITER_NAME = "demo"
# Limits the wait until the settings tree is in force at every daemon.
TIMEOUT_S = 14.0
POLL_INTERVAL_S = 0.02


class SettingsChangeError(errors.KumquatridgeError):
    """A write was rejected, or the tree is not in force within TIMEOUT_S."""


async def apply_tree(
    address: str, credential: credentials.Credential, file: pathlib.Path
) -> float:
    """Writes a tree; returns the seconds until it is in force at all daemons.

    Raises:
      SettingsChangeError: a write was rejected, or the tree was not in force at
        every daemon after TIMEOUT_S.
    """
    edit = editing.Edit(
        str(file),
        settings_node.ROOT_PATH,
        tuple(settings_text.read_nodes(file, settings_node.ROOT_PATH)),
    )
    client = platform_client.PlatformClient(
        platform_client.ClientSettings(address, credential.platform_token)
    )
    async with client:
        settings_repository = platform_repository.PlatformRepository(client)
        await _write(edit, credential, settings_repository)
        return await _wait_until_in_force(settings_repository)


async def _write(
    edit: editing.Edit,
    credential: credentials.Credential,
    settings_repository: platform_repository.PlatformRepository,
) -> None:
    current = editing.index(await settings_repository.list_nodes())
    plan = editing.plan(
        edit, current, settings_text.read_defaults(), credential
    )
    settings = writer.WriterSettings(WRITER_NAME, credential)
    results = await writer.NodeWriter(settings, settings_repository).write_all(
        plan.changes
    )
    if not writer.are_accepted(results):
        raise SettingsChangeError(
            f"settings tree of the demo was not accepted: {results}"
        )


async def _wait_until_in_force(
    settings_repository: platform_repository.PlatformRepository,
) -> float:
    """Returns the seconds for which it waited."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    pending = await waiting.wait_until_in_force(
        settings_repository, settings_node.ROOT_PATH, TIMEOUT_S, POLL_INTERVAL_S
    )
    if pending:
        raise SettingsChangeError(
            f"settings tree not in force at every daemon after {TIMEOUT_S} s"
        )
    return loop.time() - started_s
