"""Load of the demo: lookups and bookings in phases of constant demand."""

import asyncio
import dataclasses

import aiohttp

from kumquatridge.demo import deployment
from kumquatridge.http import caller_server
from kumquatridge.http import headers

LOOKUP = "lookup"
BOOKING = "booking"
# One call out of this number is a booking, the others are lookups.
CALLS_PER_BOOKING = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A phase of constant demand, given as a multiple of the capacity."""

    name: str
    demand_ratio: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Result of one call; `due_s` counts from the start of the load.

    `latency_ms` counts from when the call was due, not from when it was sent.
    `kind` is LOOKUP or BOOKING. `outcome` and `reason` are the values of the
    answer's headers `headers.OUTCOME` and `headers.REASON`, empty without them.
    """

    kind: str
    due_s: float
    latency_ms: float
    outcome: str
    reason: str
    status: int

    @property
    def is_good(self) -> bool:
        """Whether the caller got a successful answer."""
        return self.status < 400


class DemoLoad:
    """Sends calls to all daemons in turn, at times fixed in advance.

    A call does not wait for the answers to earlier calls (open loop).
    """

    def __init__(
        self, deployed: deployment.Deployment, session: aiohttp.ClientSession
    ) -> None:
        self._deployed = deployed
        self._session = session
        self.results: list[CallResult] = []

    async def send(
        self, phases: tuple[Phase, ...], capacity_per_s: float
    ) -> None:
        """Sends the calls of all phases in order and waits for the answers.

        The results are in the order of the answers.
        """
        started_s = asyncio.get_running_loop().time()
        number = 0
        phase_start_s = 0.0
        async with asyncio.TaskGroup() as group:
            for phase in phases:
                rate_per_s = phase.demand_ratio * capacity_per_s
                for index in range(int(rate_per_s * phase.duration_s)):
                    due_s = phase_start_s + index / rate_per_s
                    await self._wait_until(started_s + due_s)
                    group.create_task(self._call(number, started_s, due_s))
                    number += 1
                phase_start_s += phase.duration_s

    async def _wait_until(self, loop_time_s: float) -> None:
        delay_s = loop_time_s - asyncio.get_running_loop().time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)

    async def _fetch_key(self, address: str) -> str:
        """Fetches an idempotency key that a daemon issues.

        That daemon is the home of the key, the only one that runs calls with
        it.
        """
        url = f"http://{address}{caller_server.KEYS_PATH}"
        async with self._session.post(url) as answer:
            return (await answer.text()).strip()

    async def _call(self, number: int, started_s: float, due_s: float) -> None:
        """Sends a call and appends its result.

        `started_s` is the time of the event loop at the start of the load.
        """
        addresses = self._deployed.caller_addresses
        address = addresses[number % len(addresses)]
        kind = BOOKING if number % CALLS_PER_BOOKING == 0 else LOOKUP
        method, path, call_headers = ("GET", "rounds", {})
        if kind == BOOKING:
            method, path = ("POST", "bookings")
            call_headers = {
                headers.IDEMPOTENCY_KEY: await self._fetch_key(address)
            }
        url = f"http://{address}/{deployment.SERVICE}/{path}/{number}"
        async with self._session.request(
            method, url, headers=call_headers
        ) as answer:
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
