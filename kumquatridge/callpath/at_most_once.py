"""The way of non-idempotent calls with a request key: at most one run.

Any daemon may receive such a call. Only the key's home runs it, and the home
remembers it: a resend waits for the same answer, gets the kept answer, or is
told that the call ran. A run belongs to the key and not to the connection
that asked first, so that a caller who lost the answer finds it.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import types
from typing import Self

from kumquatridge import clock
from kumquatridge.callpath import home_resolver
from kumquatridge.callpath import links
from kumquatridge.callpath import retries
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import memory as key_memory
from kumquatridge.membership import table
from kumquatridge.telemetry import recorder as telemetry

STILL_RUNNING = "the first call with this request key is still in progress"
CUT_OFF = "the run of the call was cut off"
HOME_UNREACHABLE = "the home of the request key can't be reached"
MAX_ASKED = 2

CallSender = Callable[
    [calls.Call], contextlib.AbstractAsyncContextManager[outcomes.Outcome]
]


class _Run:
    """One run of a key; `head` is its outcome with a readable body."""

    def __init__(self) -> None:
        self.head: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.read = asyncio.Event()


class AtMostOncePath:
    """Sends calls on, those with a request key by way of their home."""

    def __init__(
        self,
        members_table: table.MemberTable,
        own: links.Server,
        others: links.Dispatcher,
        peers: links.PeerLink,
        recorder: telemetry.Recorder,
        *,
        resolver: home_resolver.HomeResolver,
        memory: key_memory.KeyMemory,
    ) -> None:
        self._members = members_table
        self._own = own
        self._others = others
        self._peers = peers
        self._recorder = recorder
        self._resolver = resolver
        self._memory = memory
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Returns the path."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Cuts off the runs that are left."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @contextlib.asynccontextmanager
    async def dispatch(
        self, call: calls.Call
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call of a caller or of the own worker."""
        if call.idempotency_key is None or call.policy.idempotent:
            sending = self._others.dispatch(call)
        else:
            sending = self._ask_home(call)
        async with sending as outcome:
            yield outcome

    @contextlib.asynccontextmanager
    async def serve(self, call: calls.Call) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call as the home of its key, or says who is the home."""
        scope = keys.make_scope(call)
        place = self._resolver.judge(call, scope)
        claim = self._memory.claim(
            scope,
            keys.make_request_digest(call),
            may_run=place == home_resolver.Here(),
        )
        match claim:
            case key_memory.Fresh(entry):
                async with self._run(call, entry) as outcome:
                    yield outcome
            case key_memory.Known(entry):
                yield await self._wait(call, entry)
            case key_memory.Reused():
                yield self._refuse(call, refusals.KeyReused())
            case key_memory.Full(retry_after_ms):
                yield self._refuse(call, refusals.KeyMemoryFull(retry_after_ms))
            case key_memory.Missing():
                yield self._refuse(call, _explain(place))

    @contextlib.asynccontextmanager
    async def _ask_home(
        self, call: calls.Call
    ) -> AsyncIterator[outcomes.Outcome]:
        place = self._resolver.choose(call, keys.make_scope(call))
        call = dataclasses.replace(
            call,
            key_age_ms=self._resolver.measure_age_ms(call),
            received_ms=clock.get_now_ms(),
        )
        for _ in range(MAX_ASKED):
            async with self._open(call, place) as outcome:
                match outcome:
                    case outcomes.NotRun(refusals.NotHome(home=home)) if home:
                        place = home_resolver.There(home)
                    case _:
                        yield _hide(outcome, place)
                        return
        yield outcomes.Unknown(HOME_UNREACHABLE, call.chain.retry_allowance)

    def _open(
        self, call: calls.Call, place: home_resolver.Place
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        match place:
            case home_resolver.There(instance):
                member = self._resolver.find_member(instance)
                if member is None:
                    lost = outcomes.Unknown(
                        HOME_UNREACHABLE, call.chain.retry_allowance
                    )
                    return contextlib.nullcontext(lost)
                if member.instance != self._members.own.instance:
                    return self._peers.send_home(call, member)
            case _:
                pass
        return self.serve(call)

    @contextlib.asynccontextmanager
    async def _run(
        self, call: calls.Call, entry: key_memory.Entry
    ) -> AsyncIterator[outcomes.Outcome]:
        run = _Run()
        task = asyncio.create_task(self._carry_out(call, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self._conclude(entry, run))
        try:
            yield await asyncio.shield(run.head)
        finally:
            run.read.set()
            match call.body:
                case call_body.StreamedBody():
                    task.cancel()
                case call_body.BufferedBody():
                    pass

    async def _carry_out(self, call: calls.Call, run: _Run) -> None:
        """Runs the call to its end, whether or not anybody waits."""
        async with self._execute(call) as outcome:
            run.head.set_result(outcome)
            match outcome:
                case outcomes.Completed(body=call_body.StreamedBody()):
                    await run.read.wait()
                case _:
                    pass

    def _conclude(self, entry: key_memory.Entry, run: _Run) -> None:
        """Remembers what came of a run, also of one that was cut off."""
        if not run.head.done():
            run.head.set_result(outcomes.Unknown(CUT_OFF))
        self._memory.finish(entry, run.head.result())

    @contextlib.asynccontextmanager
    async def _execute(
        self, call: calls.Call
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs the call here if possible, else at another instance."""
        own = self._members.own
        if own.announcement is None or own.announcement.service != call.service:
            async with self._others.dispatch(call) as outcome:
                yield outcome
            return
        async with self._own.serve(call) as outcome:
            verdict = retries.judge(call, outcome)
            left = call.chain.retry_allowance
            if verdict == retries.Accept() or left == 0:
                yield outcome
                return
        chain = dataclasses.replace(call.chain, retry_allowance=left - 1)
        passed_on = dataclasses.replace(call, chain=chain)
        async with self._others.dispatch(
            passed_on, frozenset((own.instance,))
        ) as outcome:
            yield outcome

    async def _wait(
        self, call: calls.Call, entry: key_memory.Entry
    ) -> outcomes.Outcome:
        """Waits for the outcome of a run that another call started."""
        unspent = call.chain.retry_allowance
        try:
            async with asyncio.timeout(call.chain.get_remaining_ms() / 1000.0):
                outcome = await asyncio.shield(entry.finished)
        except TimeoutError:
            return outcomes.Unknown(STILL_RUNNING, unspent)
        return dataclasses.replace(outcome, unspent_retries=unspent)

    def _refuse(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> outcomes.Outcome:
        self._recorder.record_refusal(call, refusal)
        return outcomes.NotRun(refusal, call.chain.retry_allowance)


def _explain(place: home_resolver.Place) -> refusals.Refusal:
    match place:
        case home_resolver.There(instance):
            return refusals.NotHome(instance, "another daemon is the home")
        case home_resolver.Nowhere(detail):
            return refusals.NotHome("", detail)
        case _:
            return refusals.InvalidRequest(home_resolver.FORGED)


def _hide(
    outcome: outcomes.Outcome, place: home_resolver.Place
) -> outcomes.Outcome:
    """Turns what is no proof for the caller into an unknown outcome.

    That this contact ran nothing says nothing about earlier ones when the
    key's home was not asked or doesn't know.
    """
    match outcome, place:
        case outcomes.NotRun(refusals.NotHome(detail=detail), unspent), _:
            return outcomes.Unknown(detail, unspent)
        case (
            outcomes.NotRun(refusals.Unreachable(instance), unspent),
            home_resolver.There(home),
        ) if instance == home:
            return outcomes.Unknown(HOME_UNREACHABLE, unspent)
        case _:
            return outcome
