"""Waits until a subtree of the settings is in force everywhere."""

import asyncio
from typing import Protocol

from kumquatridge.settings import digests
from kumquatridge.settings import editing
from kumquatridge.settings import in_force
from kumquatridge.settings import repository


class Repository(
    repository.NodeRepository, repository.ReportRepository, Protocol
):
    """Keeps both the nodes and the reports of what is in force."""


async def find_missing(
    nodes: Repository, path: str
) -> tuple[in_force.NotYet, ...]:
    """Returns what of a subtree is not in force, and where.

    Raises:
      RepositoryError: the platform does not answer.
    """
    versions = editing.get_versions(editing.index(await nodes.list_nodes()))
    subtree = editing.Edit("", path, ())
    wanted = {
        one: version for one, version in versions.items() if subtree.covers(one)
    }
    return in_force.find_missing(
        await nodes.list_reports(), digests.make_digest(versions), wanted
    )


async def wait_until_in_force(
    nodes: Repository, path: str, timeout_s: float, poll_s: float
) -> tuple[in_force.NotYet, ...]:
    """Returns what is not in force when the time is over.

    Raises:
      RepositoryError: the platform does not answer.
    """
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + timeout_s
    missing = await find_missing(nodes, path)
    while missing and loop.time() < ends_at_s:
        await asyncio.sleep(poll_s)
        missing = await find_missing(nodes, path)
    return missing
