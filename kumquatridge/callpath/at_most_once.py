"""At-most-once execution of non-idempotent calls with an idempotency key.

Any daemon may receive such a call. Only one daemon, the home of the key, runs
it and remembers the key: a resend waits for the outcome of that run, gets the
stored answer, or gets `outcomes.Unknown` when the call ran but its answer is
not stored. A run does not end with the connection of the first request, so that
a caller who lost the answer gets it by a resend. The exception is a run whose
request body is streamed: it is cancelled when the first request ends.
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
from kumquatridge.idempotency import key_table as key_tables
from kumquatridge.idempotency import keys
from kumquatridge.membership import table
from kumquatridge.telemetry import recorder as telemetry

STILL_RUNNING = "the first call with this request key is still in progress"
RUN_CANCELLED = "the run of the call was cut off"
HOME_UNREACHABLE = "the home of the request key can't be reached"
# The daemon asked first may name the home; a second redirect is not followed.
MAX_HOMES_ASKED = 2

CallSender = Callable[
    [calls.Call], contextlib.AbstractAsyncContextManager[outcomes.Outcome]
]


class _Run:
    """One run of a call, shared by all requests with its idempotency key.

    The body of `outcome` is readable until `body_released` is set, which
    happens when the request that started the run has ended.
    """

    def __init__(self) -> None:
        self.outcome: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.body_released = asyncio.Event()


class AtMostOncePath:
    """Dispatches calls; non-idempotent ones with a key go to the key's home."""

    def __init__(
        self,
        members_table: table.MemberTable,
        local_server: links.CallServer,
        dispatcher: links.Dispatcher,
        peers: links.PeerLink,
        recorder: telemetry.Recorder,
        *,
        resolver: home_resolver.HomeResolver,
        key_table: key_tables.KeyTable,
    ) -> None:
        self._members = members_table
        self._local_server = local_server
        self._dispatcher = dispatcher
        self._peers = peers
        self._recorder = recorder
        self._resolver = resolver
        self._key_table = key_table
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Returns the path; leaving its context cancels the runs."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Cancels the runs in progress."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @contextlib.asynccontextmanager
    async def dispatch(
        self, call: calls.Call
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call of a caller or of the local worker.

        The key of an idempotent call is ignored, since the call may run twice.
        """
        if call.idempotency_key is None or call.policy.idempotent:
            sending = self._dispatcher.dispatch(call)
        else:
            sending = self._send_to_home(call)
        async with sending as outcome:
            yield outcome

    @contextlib.asynccontextmanager
    async def serve(self, call: calls.Call) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call as the home of its key, or refuses it.

        If a call with the key was run here before or is running, its outcome is
        returned, also when this daemon is no longer the home. If another daemon
        is the home of the key, the refusal names it.
        """
        key_digest = keys.make_key_digest(call)
        resolution = self._resolver.resolve(call, key_digest)
        claim = self._key_table.claim(
            key_digest,
            keys.make_request_digest(call),
            may_run=resolution == home_resolver.LocalHome(),
        )
        match claim:
            case key_tables.Fresh(entry):
                async with self._run(call, entry) as outcome:
                    yield outcome
            case key_tables.Known(entry):
                yield await self._wait_for_run(call, entry)
            case key_tables.Reused():
                yield self._refuse(call, refusals.KeyReused())
            case key_tables.Full(retry_after_ms):
                yield self._refuse(call, refusals.KeyMemoryFull(retry_after_ms))
            case key_tables.Missing():
                yield self._refuse(call, _make_key_refusal(resolution))

    @contextlib.asynccontextmanager
    async def _send_to_home(
        self, call: calls.Call
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call to the home of its key; follows one redirect."""
        resolution = self._resolver.resolve_first_hop(
            call, keys.make_key_digest(call)
        )
        # The home is sent the age of the key, but not `received_ms`, which is
        # on the clock of this process. The age therefore includes the time
        # since arrival, and `received_ms` restarts now.
        call = dataclasses.replace(
            call,
            key_age_ms=self._resolver.get_max_key_age_ms(call),
            received_ms=clock.get_now_ms(),
        )
        for _ in range(MAX_HOMES_ASKED):
            async with self._send_to_resolved(call, resolution) as outcome:
                match outcome:
                    case outcomes.NotRun(refusals.NotHome(home=home)) if home:
                        resolution = home_resolver.RemoteHome(home)
                    case _:
                        yield _convert_unproven_refusal(outcome, resolution)
                        return
        yield outcomes.Unknown(HOME_UNREACHABLE, call.chain.retry_allowance)

    def _send_to_resolved(
        self, call: calls.Call, resolution: home_resolver.Resolution
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call to a remote home, else serves it here.

        `serve` also gives the refusal of a call whose key has no valid home.
        """
        match resolution:
            case home_resolver.RemoteHome(instance):
                member = self._resolver.find_member(instance)
                if member is None:
                    unreachable = outcomes.Unknown(
                        HOME_UNREACHABLE, call.chain.retry_allowance
                    )
                    return contextlib.nullcontext(unreachable)
                if member.instance != self._members.own.instance:
                    return self._peers.send_to_home(call, member)
            case _:
                pass
        return self.serve(call)

    @contextlib.asynccontextmanager
    async def _run(
        self, call: calls.Call, entry: key_tables.Entry
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call whose key was claimed for it, in a task of its own."""
        run = _Run()
        task = asyncio.create_task(self._run_to_completion(call, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self._finish_entry(entry, run))
        try:
            yield await asyncio.shield(run.outcome)
        finally:
            run.body_released.set()
            match call.body:
                # The unread rest of a streamed request body is lost when the
                # request ends.
                case call_body.StreamedBody():
                    task.cancel()
                case call_body.BufferedBody():
                    pass

    async def _run_to_completion(self, call: calls.Call, run: _Run) -> None:
        """Runs the call to its end, even when no caller waits.

        `_run` cancels it earlier if the request body is streamed.
        """
        async with self._run_or_dispatch(call) as outcome:
            run.outcome.set_result(outcome)
            match outcome:
                case outcomes.Completed(body=call_body.StreamedBody()):
                    await run.body_released.wait()
                case _:
                    pass

    def _finish_entry(self, entry: key_tables.Entry, run: _Run) -> None:
        """Stores the outcome of a run, `Unknown` if it ended without one."""
        if not run.outcome.done():
            run.outcome.set_result(outcomes.Unknown(RUN_CANCELLED))
        self._key_table.finish(entry, run.outcome.result())

    @contextlib.asynccontextmanager
    async def _run_or_dispatch(
        self, call: calls.Call
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs the call locally if possible, else at another instance.

        Sending it to another instance after a local refusal costs one retry.
        """
        own = self._members.own
        if own.announcement is None or own.announcement.service != call.service:
            async with self._dispatcher.dispatch(call) as outcome:
                yield outcome
            return
        async with self._local_server.serve(call) as outcome:
            decision = retries.classify_outcome(call, outcome)
            retries_left = call.chain.retry_allowance
            if decision == retries.AcceptOutcome() or retries_left == 0:
                yield outcome
                return
        chain = dataclasses.replace(
            call.chain, retry_allowance=retries_left - 1
        )
        retry_call = dataclasses.replace(call, chain=chain)
        async with self._dispatcher.dispatch(
            retry_call, frozenset((own.instance,))
        ) as outcome:
            yield outcome

    async def _wait_for_run(
        self, call: calls.Call, entry: key_tables.Entry
    ) -> outcomes.Outcome:
        """Waits for the outcome of a run that another call started.

        Returns `Unknown` when the deadline of this call passes first. The retry
        allowance of this call stays unspent.
        """
        unspent = call.chain.retry_allowance
        try:
            async with asyncio.timeout(call.chain.get_remaining_ms() / 1000.0):
                outcome = await asyncio.shield(entry.final_outcome)
        except TimeoutError:
            return outcomes.Unknown(STILL_RUNNING, unspent)
        return dataclasses.replace(outcome, unspent_retries=unspent)

    def _refuse(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> outcomes.Outcome:
        self._recorder.record_refusal(call, refusal)
        return outcomes.NotRun(refusal, call.chain.retry_allowance)


def _make_key_refusal(resolution: home_resolver.Resolution) -> refusals.Refusal:
    """Returns the refusal of a call whose key this daemon must not claim."""
    match resolution:
        case home_resolver.RemoteHome(instance):
            return refusals.NotHome(instance, "another daemon is the home")
        case home_resolver.NoHome(detail):
            return refusals.NotHome("", detail)
        # Only a forged key is left: with `LocalHome` the key may be claimed.
        case _:
            return refusals.InvalidRequest(home_resolver.FORGED_KEY)


def _convert_unproven_refusal(
    outcome: outcomes.Outcome, resolution: home_resolver.Resolution
) -> outcomes.Outcome:
    """Replaces a refusal by `Unknown` if an earlier attempt may have run.

    An earlier attempt may have run if the daemon asked does not know the key
    (`NotHome`) or if the home of the key was not reached (`Unreachable`).
    """
    match outcome, resolution:
        case outcomes.NotRun(refusals.NotHome(detail=detail), unspent), _:
            return outcomes.Unknown(detail, unspent)
        case (
            outcomes.NotRun(refusals.Unreachable(instance), unspent),
            home_resolver.RemoteHome(home),
        ) if instance == home:
            return outcomes.Unknown(HOME_UNREACHABLE, unspent)
        case _:
            return outcome
