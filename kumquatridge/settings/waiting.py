"""Waits until a subtree of the settings is in force in all data centres.

Only data centres that have reported to the platform are taken into account.
"""

import asyncio
from typing import Protocol

from kumquatridge.settings import digests
from kumquatridge.settings import editing
from kumquatridge.settings import in_force
from kumquatridge.settings import repository


class SettingsRepository(
    repository.NodeRepository, repository.ReportRepository, Protocol
):
    """Stores the nodes, and the reports on which versions are in force."""


async def find_pending(
    settings_repository: SettingsRepository, path: str
) -> tuple[in_force.PendingChange, ...]:
    """Returns which nodes of a subtree are not in force yet, and where.

    Raises:
      RepositoryError: the platform does not answer.
    """
    versions = editing.get_versions(
        editing.index(await settings_repository.list_nodes())
    )
    # Never applied; its `covers` selects the nodes of the subtree.
    subtree = editing.Edit("", path, ())
    wanted = {
        node_path: version
        for node_path, version in versions.items()
        if subtree.covers(node_path)
    }
    return in_force.find_pending(
        await settings_repository.list_reports(),
        digests.make_digest(versions),
        wanted,
    )


async def wait_until_in_force(
    settings_repository: SettingsRepository,
    path: str,
    timeout_s: float,
    poll_interval_s: float,
) -> tuple[in_force.PendingChange, ...]:
    """Polls until a subtree is in force, or until the time-out.

    Returns the changes that are still pending; none if it is in force.

    Raises:
      RepositoryError: the platform does not answer.
    """
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + timeout_s
    pending = await find_pending(settings_repository, path)
    while pending and loop.time() < ends_at_s:
        await asyncio.sleep(poll_interval_s)
        pending = await find_pending(settings_repository, path)
    return pending
