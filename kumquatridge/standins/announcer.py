"""Announces a worker to its daemon, as a real worker does."""

import asyncio
import contextlib
import dataclasses
import types
from typing import Self

import aiohttp

from kumquatridge.membership import member as members

ANNOUNCEMENT_PATH = "/v1/announcement"
RENEW_S = 1.0
TIMEOUT_S = 2.0


def make_url(operator_address: str) -> str:
    """Returns where a daemon takes announcements."""
    return f"http://{operator_address}{ANNOUNCEMENT_PATH}"


async def announce(
    operator_address: str, announcement: members.Announcement
) -> None:
    """Announces a worker once.

    Raises:
      aiohttp.ClientError: the daemon does not answer, or refuses.
    """
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            make_url(operator_address),
            json=dataclasses.asdict(announcement),
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as answer,
    ):
        answer.raise_for_status()


class Announcer:
    """Announces and renews while its context is open, then withdraws."""

    def __init__(
        self, operator_address: str, announcement: members.Announcement
    ) -> None:
        self._operator_address = operator_address
        self._announcement = announcement
        self._renewing: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Announces the worker."""
        await announce(self._operator_address, self._announcement)
        self._renewing = asyncio.create_task(self._renew())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Says that the worker leaves, if the daemon still listens."""
        if self._renewing is not None:
            self._renewing.cancel()
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await self._withdraw()

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEW_S)
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await announce(self._operator_address, self._announcement)

    async def _withdraw(self) -> None:
        async with (
            aiohttp.ClientSession() as session,
            session.delete(
                make_url(self._operator_address),
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as answer,
        ):
            await answer.read()
