"""Settings trees of given sizes, written as operators write them."""

import dataclasses

from kumquatridge import errors
from kumquatridge.platform import objects
from kumquatridge.platform import repository as platform_repository
from kumquatridge.settings import credentials
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import writer

KEY = "key of the operators"
OPERATORS = credentials.Credential(settings_node.ROOT_PATH, KEY)
DEADLINE_MS = 5_000


class ChangeError(errors.KumquatridgeError):
    """The platform did not accept a change of the settings."""


@dataclasses.dataclass(frozen=True, slots=True)
class TreeSize:
    """Number of nodes of each kind in a tree, without its root."""

    teams: int
    services: int
    routes: int


SMALL = TreeSize(teams=1, services=10, routes=0)
# The size that the product is designed for.
TARGET = TreeSize(teams=22, services=210, routes=1_000)


def list_paths(size: TreeSize) -> tuple[str, ...]:
    """Returns the paths of all nodes of a tree, parents first."""
    services = [
        f"/team-{number % size.teams}/service-{number}"
        for number in range(size.services)
    ]
    return (
        settings_node.ROOT_PATH,
        *(f"/team-{number}" for number in range(size.teams)),
        *services,
        *(
            f"{services[number % size.services]}/route-{number}"
            for number in range(size.routes)
        ),
    )


class Operator:
    """Writes nodes with the library of the command-line tool."""

    def __init__(self, platform: objects.ObjectApi) -> None:
        self.settings_repository = platform_repository.PlatformRepository(
            platform
        )
        self._writer = writer.NodeWriter(
            writer.WriterSettings("benchmark", OPERATORS),
            self.settings_repository,
        )

    async def write(self, path: str, deadline_ms: int = DEADLINE_MS) -> int:
        """Writes a node; returns its version.

        Raises:
          ChangeError: the write was not accepted.
        """
        base = await self.settings_repository.read(path)
        settings = settings_node.NodeSettings(deadline_ms=deadline_ms)
        outcome = await self._writer.write(writer.Change(path, settings, base))
        match outcome:
            case writer.Accepted(version=version):
                return version
            case _:
                raise ChangeError(writer.describe(outcome))

    async def write_tree(self, size: TreeSize) -> None:
        """Writes all nodes of a tree."""
        for path in list_paths(size):
            await self.write(path)
