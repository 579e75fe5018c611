"""The demo's callers: lookups and bookings at a rate that changes."""

import asyncio
import dataclasses

import aiohttp

from kumquatridge.demo import deployment
from kumquatridge.http import caller_server
from kumquatridge.http import headers

LOOKUP = "lookup"
BOOKING = "booking"
BOOKING_EVERY = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of constant demand, in multiples of the capacity."""

    name: str
    demand_ratio: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """What one caller saw; times are seconds since the load began."""

    kind: str
    due_s: float
    latency_ms: float
    outcome: str
    reason: str
    status: int

    @property
    def is_good(self) -> bool:
        """Tells whether the caller got a worker's good answer."""
        return self.status < 400


class DemoLoad:
    """Sends calls open-loop to all daemons in turn while its session lives."""

    def __init__(
        self, target: deployment.Deployment, session: aiohttp.ClientSession
    ) -> None:
        self._target = target
        self._session = session
        self.results: list[CallResult] = []

    async def send(
        self, phases: tuple[Phase, ...], capacity_per_s: float
    ) -> None:
        """Sends all phases one after the other and waits for the answers."""
        started_s = asyncio.get_running_loop().time()
        number = 0
        phase_due_s = 0.0
        async with asyncio.TaskGroup() as group:
            for phase in phases:
                rate_per_s = phase.demand_ratio * capacity_per_s
                for index in range(int(rate_per_s * phase.duration_s)):
                    due_s = phase_due_s + index / rate_per_s
                    await self._wait_until(started_s + due_s)
                    group.create_task(self._call(number, started_s, due_s))
                    number += 1
                phase_due_s += phase.duration_s

    async def _wait_until(self, due_s: float) -> None:
        delay_s = due_s - asyncio.get_running_loop().time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)

    async def _fetch_key(self, address: str) -> str:
        """Asks a daemon for a request key that names its home."""
        url = f"http://{address}{caller_server.KEYS_PATH}"
        async with self._session.post(url) as answer:
            return (await answer.text()).strip()

    async def _call(self, number: int, started_s: float, due_s: float) -> None:
        addresses = self._target.caller_addresses
        address = addresses[number % len(addresses)]
        kind = BOOKING if number % BOOKING_EVERY == 0 else LOOKUP
        method, path, marks = ("GET", "rounds", {})
        if kind == BOOKING:
            method, path = ("POST", "bookings")
            marks = {headers.REQUEST_KEY: await self._fetch_key(address)}
        url = f"http://{address}/{deployment.SERVICE}/{path}/{number}"
        async with self._session.request(method, url, headers=marks) as answer:
            await answer.read()
            now_s = asyncio.get_running_loop().time() - started_s
            self.results.append(
                CallResult(
                    kind,
                    due_s,
                    (now_s - due_s) * 1000.0,
                    answer.headers.get(headers.OUTCOME, ""),
                    answer.headers.get(headers.REASON, ""),
                    answer.status,
                )
            )
