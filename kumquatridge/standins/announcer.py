"""Client of a daemon's announcement endpoint, for stand-in workers."""

import asyncio
import contextlib
import dataclasses
import types
from typing import Self

import aiohttp

from kumquatridge.membership import member as members

ANNOUNCEMENT_PATH = "/v1/announcement"
# An announcement without a lease is renewed too, so that a restarted daemon
# learns of its worker.
RENEWAL_INTERVAL_S = 1.0
# Limits each request to the daemon.
TIMEOUT_S = 2.0


def make_url(operator_address: str) -> str:
    """Returns the announcement URL in a daemon's operator API."""
    return f"http://{operator_address}{ANNOUNCEMENT_PATH}"


async def announce(
    operator_address: str, announcement: members.Announcement
) -> None:
    """Sends one announcement of a worker to its daemon.

    Raises:
      aiohttp.ClientError: the daemon cannot be reached or answers with an error
        status.
      TimeoutError: the daemon did not answer within TIMEOUT_S.
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
    """Keeps a worker announced while its context is open."""

    def __init__(
        self, operator_address: str, announcement: members.Announcement
    ) -> None:
        self._operator_address = operator_address
        self._announcement = announcement
        self._renewal_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Announces the worker and starts to renew the announcement."""
        await announce(self._operator_address, self._announcement)
        self._renewal_task = asyncio.create_task(self._renew())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Withdraws the announcement; ignores a daemon that does not answer."""
        if self._renewal_task is not None:
            self._renewal_task.cancel()
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await self._withdraw()

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
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
