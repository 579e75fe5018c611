"""Exchange of summaries with other data centres by the relays."""

import asyncio
from collections.abc import Coroutine, Iterable
import dataclasses
import random
import types
from typing import Self

from kumquatridge import clock
from kumquatridge.membership import errors
from kumquatridge.membership import links
from kumquatridge.membership import messages
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.membership import relays
from kumquatridge.membership import remote
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import table
from kumquatridge.membership import topic_table
from kumquatridge.membership import topics as gossip_topics
from kumquatridge.telemetry import events

# Maximum number of daemons of another data centre that are queried in one
# round; the first answer ends the round.
CONTACTS_PER_ROUND = 3
# Mean interval between queries of a seed; it doubles with each query.
SEED_RETRY_MS = 2000
SEED_RETRY_MAX_MS = 60_000
ANSWER_TIMEOUT_MS = 2000


class RemoteExchange:
    """Requests summaries from the data centres that this daemon is a relay for.

    Runs one task for each seed address until its data centre is known, and one
    task for each other data centre. After each answer the topics that data
    centres share are pulled from the daemon that answered. `seed` is that of
    the random numbers.
    """

    def __init__(
        self,
        settings: gossip_settings.GossipSettings,
        members_table: table.MemberTable,
        link: links.ControlLink,
        recorder: membership_recorder.Recorder,
        seed: int,
    ) -> None:
        self._settings = settings
        self._members = members_table
        self._link = link
        self._recorder = recorder
        self._random = random.Random(seed)
        self._topic_table = topic_table.TopicTable(
            dataclasses.replace(settings, answer_timeout_ms=ANSWER_TIMEOUT_MS)
        )
        self._topics: list[gossip_topics.GossipTopic] = []
        # The data centres of the daemons that have answered, by their control
        # address.
        self._data_centre_by_address: dict[str, str] = {}
        # By name: "follow", "seed " and an address, or a data centre.
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def __aenter__(self) -> Self:
        """Starts polling the data centres that are known now or later."""
        self._start_task("follow", self._start_polling_known())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops all tasks."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def add_topic(self, topic: gossip_topics.GossipTopic) -> None:
        """Adds a topic that is the same in all data centres."""
        self._topics.append(topic)

    def join(self, addresses: Iterable[str]) -> None:
        """Starts a task for each new seed address in another data centre."""
        for address in addresses:
            if f"seed {address}" not in self._tasks:
                self._start_task(f"seed {address}", self._query_seed(address))

    async def _query_seed(self, address: str) -> None:
        retry_ms = SEED_RETRY_MS
        while address not in self._data_centre_by_address:
            # Until the data centre of the seed is known, one set of relays
            # queries all seeds.
            if self._is_relay(""):
                await self._query(address, known_digest=0)
                retry_ms = min(retry_ms * 2, SEED_RETRY_MAX_MS)
            await self._sleep(retry_ms)

    async def _start_polling_known(self) -> None:
        while True:
            for known in self._members.remote.data_centres:
                self._start_polling(known.name)
            await self._sleep(self._settings.remote_interval_ms)

    async def _poll_data_centre(self, data_centre: str) -> None:
        failures = 0
        answered_at_ms = clock.get_now_ms()
        while True:
            await self._sleep(self._settings.remote_interval_ms)
            # Only relays query; a daemon that becomes one counts failures from
            # zero.
            is_relay = self._is_relay(data_centre)
            if not is_relay or await self._query_contacts(data_centre):
                failures = 0
                answered_at_ms = clock.get_now_ms()
                continue
            failures += 1
            if failures >= self._settings.remote_failure_threshold:
                self._handle_cut_off(data_centre, answered_at_ms)

    async def _query_contacts(self, data_centre: str) -> bool:
        """Queries some daemons of a data centre until one answers.

        Returns whether any daemon answered.
        """
        known = self._members.remote.get(data_centre)
        contacts = set(known.contacts) if known is not None else set()
        contacts.update(
            address
            for address, address_centre in self._data_centre_by_address.items()
            if address_centre == data_centre
        )
        count = min(CONTACTS_PER_ROUND, len(contacts))
        for address in self._random.sample(sorted(contacts), count):
            if await self._query(address, known.digest if known else 0):
                return True
        return False

    async def _query(self, address: str, known_digest: int) -> bool:
        """Requests a summary; returns whether the daemon sent one.

        `known_digest` is that of the summary already known, 0 for none.
        """
        request = messages.SummaryRequest(
            self._members.own.data_centre, known_digest
        )
        try:
            answer = await self._link.ask(address, request, ANSWER_TIMEOUT_MS)
        except errors.MembershipError:
            self._recorder.record_peer_failure("data centre silent")
            return False
        match answer:
            case messages.SummaryAnswer():
                self._handle_answer(address, answer)
                await self._pull(address, answer.data_centre)
                return True
            case _:
                return False

    async def _pull(self, address: str, data_centre: str) -> None:
        if data_centre == self._members.own.data_centre:
            return
        try:
            for topic in self._topics:
                await self._topic_table.pull(self._link, address, topic)
        except errors.MembershipError:
            self._recorder.record_peer_failure("pull")

    def _handle_answer(
        self, address: str, answer: messages.SummaryAnswer
    ) -> None:
        self._data_centre_by_address[address] = answer.data_centre
        if answer.data_centre == self._members.own.data_centre:
            return
        previous = self._members.remote.get(answer.data_centre)
        self._members.remote.record_answer(answer)
        self._log_reach_change(
            answer.data_centre,
            previous is None or not remote.is_reachable(previous),
        )
        self._start_polling(answer.data_centre)

    def _handle_cut_off(self, data_centre: str, since_ms: float) -> None:
        changed = self._members.remote.record_cut_off(data_centre, since_ms)
        self._log_reach_change(data_centre, changed)

    def _start_polling(self, data_centre: str) -> None:
        if data_centre not in self._tasks:
            self._start_task(data_centre, self._poll_data_centre(data_centre))

    def _log_reach_change(self, data_centre: str, changed: bool) -> None:
        known = self._members.remote.get(data_centre)
        if changed and known is not None:
            events.log(
                events.DataCentreReach(data_centre, type(known.reach).__name__)
            )

    def _is_relay(self, data_centre: str) -> bool:
        """Returns whether this daemon is a relay for a data centre.

        Each remote data centre has its own relays, so that no single daemon
        handles all of them.
        """
        return relays.is_relay(
            self._members.own, self._members, purpose=data_centre
        )

    async def _sleep(self, interval_ms: int) -> None:
        """Sleeps for 0.5 to 1.5 times the interval, so that relays spread."""
        jitter_factor = 0.5 + self._random.random()
        await asyncio.sleep(interval_ms * jitter_factor / 1000.0)

    def _start_task(self, name: str, work: Coroutine[None, None, None]) -> None:
        self._tasks[name] = asyncio.create_task(work, name=name)
