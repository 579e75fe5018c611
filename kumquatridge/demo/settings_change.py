"""Applies the settings tree of the demo as an operator does."""

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
    """A write was rejected, or the tree is not in force within TIMEOUT_S."""


async def apply_tree(
    address: str, credential: credentials.Credential, file: pathlib.Path
) -> float:
    """Applies a tree; returns the seconds until all daemons have it in force.

    Raises:
      SettingsChangeError: a write was rejected, or a daemon was still lagging
        after TIMEOUT_S.
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
        return await _wait_until_in_force(nodes)


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
    results = await writer.NodeWriter(settings, nodes).write_all(plan.changes)
    if not writer.are_accepted(results):
        raise SettingsChangeError(
            f"settings tree of the demo was not accepted: {results}"
        )


async def _wait_until_in_force(
    nodes: platform_repository.PlatformRepository,
) -> float:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    lagging = await waiting.wait_until_in_force(
        nodes, settings_node.ROOT_PATH, TIMEOUT_S, POLL_S
    )
    if lagging:
        raise SettingsChangeError(
            f"settings tree not in force at all daemons after {TIMEOUT_S} s"
        )
    return loop.time() - started_s
