"""The demo's operator, who applies the settings tree."""

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

WRITER = "demo"
TIMEOUT_S = 14.0
POLL_S = 0.02


class SettingsChangeError(errors.KumquatridgeError):
    """The tree was not accepted, or is not in force in time."""


async def apply_tree(
    address: str, credential: credentials.Credential, file: pathlib.Path
) -> float:
    """Applies a tree; returns the seconds until it is in force everywhere.

    Raises:
      SettingsChangeError: a write was not accepted, or a daemon lags.
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
        nodes = platform_repository.PlatformRepository(client)
        await _write(edit, credential, nodes)
        return await _wait(nodes)


async def _write(
    edit: editing.Edit,
    credential: credentials.Credential,
    nodes: platform_repository.PlatformRepository,
) -> None:
    current = editing.index(await nodes.list_nodes())
    plan = editing.plan(
        edit, current, settings_text.read_defaults(), credential
    )
    settings = writer.WriterSettings(WRITER, credential)
    written = await writer.NodeWriter(settings, nodes).write_all(plan.changes)
    if not writer.are_accepted(written):
        raise SettingsChangeError(f"not accepted: {written}")


async def _wait(nodes: platform_repository.PlatformRepository) -> float:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    missing = await waiting.wait_until_in_force(
        nodes, settings_node.ROOT_PATH, TIMEOUT_S, POLL_S
    )
    if missing:
        raise SettingsChangeError(f"not in force after {TIMEOUT_S} s")
    return loop.time() - started_s
