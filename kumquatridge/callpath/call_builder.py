"""Makes calls of requests: finds the policy and the chain's context."""

from collections.abc import Iterator
import contextlib
import dataclasses

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import context
from kumquatridge.chain import inbound_calls
from kumquatridge.settings import policy as settings_policy
from kumquatridge.telemetry import recorder as telemetry

REPEATED_BY_WORKER = "repeated_by_worker"
FIRST_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a caller asked for, whatever protocol brought it here.

    `token` is the context header that a worker forwarded, if any.
    `key_age_ms` is how long ago the caller made its request key, if it says.
    """

    service: str
    method: str
    path: str
    headers: outcomes.Headers
    body: call_body.Body
    caller: str = ""
    idempotency_key: str | None = None
    timeout_ms: int | None = None
    token: str | None = None
    key_age_ms: int | None = None

    @property
    def target(self) -> inbound_calls.ChildTarget:
        """What makes a later request a repetition of this one."""
        return (self.service, self.method, self.path)


class CallBuilder:
    """Turns requests of callers and of the own worker into calls."""

    def __init__(
        self,
        policies: settings_policy.PolicyLookup,
        inbound_registry: inbound_calls.InboundCallRegistry,
        recorder: telemetry.Recorder,
    ) -> None:
        self._policies = policies
        self._inbound_registry = inbound_registry
        self._recorder = recorder

    def set_policies(self, policies: settings_policy.PolicyLookup) -> None:
        """Puts another version of the settings in force."""
        self._policies = policies

    def find_policy(
        self, service: str, method: str, path: str
    ) -> settings_policy.RoutePolicy | None:
        """Returns the policy of a request, or None for an unknown service."""
        return self._policies.find(service, method, path)

    @contextlib.contextmanager
    def start_call(
        self, request: Request
    ) -> Iterator[calls.Call | refusals.Refusal]:
        """Opens a call, lending it retries of the inbound call it serves.

        A token that is forged, or whose inbound call has ended, gets a
        refusal: it must not make the call a root with an allowance of its
        own, and nobody waits for the answer any more.
        """
        policy = self.find_policy(request.service, request.method, request.path)
        if policy is None:
            yield refusals.UnknownService(request.service)
            return
        if request.token is None:
            yield _make_call(request, policy, _make_root(request, policy))
            return
        record = self._inbound_registry.find(request.token)
        if record is None:
            yield refusals.ParentEnded()
            return
        if (
            record.is_retry(request.target)
            and not record.retry_allowance.try_consume()
        ):
            yield refusals.RetriesExhausted(REPEATED_BY_WORKER)
            return
        with record.track_child():
            yield self._make_child_call(request, policy, record)

    def make_forwarded_call(
        self, request: Request, chain: context.ChainContext
    ) -> calls.Call | refusals.Refusal:
        """Makes a call of what another daemon sent with its chain."""
        policy = self.find_policy(request.service, request.method, request.path)
        if policy is None:
            return refusals.UnknownService(request.service)
        return _make_call(request, policy, chain)

    def record_outcome(
        self, request: Request, outcome: outcomes.Outcome
    ) -> None:
        """Books what a call came to on the inbound call that it served."""
        record = (
            self._inbound_registry.find(request.token)
            if request.token
            else None
        )
        if record is None:
            return
        record.retry_allowance.release(outcome.unspent_retries)
        match outcome:
            case outcomes.NotRun():
                record.record_refusal()
                record.record_failure(request.target)
            case outcomes.Failed() | outcomes.Unknown():
                record.record_failure(request.target)
            case outcomes.Completed(status, is_worker_shed=shed):
                if shed:
                    record.record_refusal()
                if status >= FIRST_ERROR_STATUS or shed:
                    record.record_failure(request.target)

    def _make_child_call(
        self,
        request: Request,
        policy: settings_policy.RoutePolicy,
        record: inbound_calls.InboundCall,
    ) -> calls.Call:
        lent = record.retry_allowance.reserve_half(policy.retry_allowance)
        chain = _make_child(request, policy, record, lent)
        call = dataclasses.replace(
            _make_call(request, policy, chain), caller=record.caller
        )
        if record.is_retry(request.target):
            self._recorder.record_retry(call, REPEATED_BY_WORKER)
        return call


def _get_timeout_ms(
    request: Request, policy: settings_policy.RoutePolicy
) -> int:
    return min(policy.deadline_ms, request.timeout_ms or policy.deadline_ms)


def _make_root(
    request: Request, policy: settings_policy.RoutePolicy
) -> context.ChainContext:
    return context.ChainContext(
        root_id=context.make_root_id(),
        importance=policy.importance,
        expires_at_ms=clock.get_now_ms() + _get_timeout_ms(request, policy),
        retry_allowance=policy.retry_allowance,
        depth=0,
    )


def _make_child(
    request: Request,
    policy: settings_policy.RoutePolicy,
    record: inbound_calls.InboundCall,
    lent: int,
) -> context.ChainContext:
    return context.ChainContext(
        root_id=record.chain.root_id,
        importance=record.chain.importance,
        expires_at_ms=min(
            record.chain.expires_at_ms,
            clock.get_now_ms() + _get_timeout_ms(request, policy),
        ),
        retry_allowance=lent,
        depth=record.chain.depth + 1,
        slot_held_ms=record.slot_held_ms,
        waited_ms=record.waited_ms,
        is_contended=record.is_contended,
    )


def _make_call(
    request: Request,
    policy: settings_policy.RoutePolicy,
    chain: context.ChainContext,
) -> calls.Call:
    return calls.Call(
        service=request.service,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        caller=request.caller,
        idempotency_key=request.idempotency_key,
        policy=policy,
        chain=chain,
        key_age_ms=request.key_age_ms,
        received_ms=clock.get_now_ms(),
    )
