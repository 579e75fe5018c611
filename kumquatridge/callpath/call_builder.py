"""Builds calls from requests that name their service.

A call gets the policy of its route and a chain context (`chain.context`), which
a child call inherits from its parent. `routed_call_builder` does the same for
requests that are routed by host and path.
"""

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

# Reason of a retry that a worker makes: it repeats a failed child call.
REPEATED_BY_WORKER = "repeated_by_worker"
FIRST_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request of a caller, independent of the protocol.

    `caller` is the name that the caller gave, empty without one. `timeout_ms`
    is how long the caller waits from the arrival of the request, None if it
    gave no limit; then only the deadline of the route applies. `token` is set
    on a child call: it identifies the parent, and the worker copies it from the
    headers of the parent. `key_age_ms` is the age of the idempotency key when
    the request was sent, None if the caller did not report it.
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
        """Service, method and path of the request.

        After a failed child call, another one of the same parent with the same
        target counts as a retry.
        """
        return (self.service, self.method, self.path)


class CallBuilder:
    """Turns requests of callers and of the local worker into calls."""

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
        """Replaces the policies in force by those of other settings."""
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
        """Builds a call; a child call gets a share of its parent's retries.

        The parent is the inbound call that the token identifies. A request is
        refused if its token is forged or the parent has ended: treated as a
        root, it would get a new retry allowance. Besides, no caller waits for
        an ended parent. While the context of a child call is open, the current
        task is cancelled if the parent fails.
        """
        policy = self.find_policy(request.service, request.method, request.path)
        if policy is None:
            yield refusals.UnknownService(request.service)
            return
        if request.token is None:
            yield _make_call(request, policy, _make_root_chain(request, policy))
            return
        parent = self._inbound_registry.find(request.token)
        if parent is None:
            yield refusals.ParentEnded()
            return
        if (
            parent.is_child_retry(request.target)
            and not parent.retry_allowance.try_consume()
        ):
            yield refusals.RetriesExhausted(REPEATED_BY_WORKER)
            return
        with parent.track_child():
            yield self._make_child_call(request, policy, parent)

    def make_forwarded_call(
        self, request: Request, chain: context.ChainContext
    ) -> calls.Call | refusals.Refusal:
        """Builds a call from a request that another daemon forwarded.

        `chain` is the context that the other daemon sent with the request.
        """
        policy = self.find_policy(request.service, request.method, request.path)
        if policy is None:
            return refusals.UnknownService(request.service)
        return _make_call(request, policy, chain)

    def record_outcome(
        self, request: Request, outcome: outcomes.Outcome
    ) -> None:
        """Records the outcome of a child call on its parent.

        Releases unspent retries to the parent's retry allowance and records a
        refusal or failure. Does nothing for a root or when the parent has
        ended.
        """
        parent = (
            self._inbound_registry.find(request.token)
            if request.token
            else None
        )
        if parent is None:
            return
        parent.retry_allowance.release(outcome.unspent_retries)
        match outcome:
            case outcomes.NotRun():
                parent.record_child_refusal()
                parent.record_child_failure(request.target)
            case outcomes.Failed() | outcomes.Unknown():
                parent.record_child_failure(request.target)
            case outcomes.Completed(status, is_worker_shed=is_shed):
                if is_shed:
                    parent.record_child_refusal()
                if status >= FIRST_SERVER_ERROR_STATUS or is_shed:
                    parent.record_child_failure(request.target)

    def _make_child_call(
        self,
        request: Request,
        policy: settings_policy.RoutePolicy,
        parent: inbound_calls.InboundCall,
    ) -> calls.Call:
        retries = parent.retry_allowance.reserve_half(policy.retry_allowance)
        chain = _make_child_chain(request, policy, parent, retries)
        call = dataclasses.replace(
            _make_call(request, policy, chain), caller=parent.caller
        )
        if parent.is_child_retry(request.target):
            self._recorder.record_retry(call, REPEATED_BY_WORKER)
        return call


def _get_timeout_ms(
    request: Request, policy: settings_policy.RoutePolicy
) -> int:
    return min(policy.deadline_ms, request.timeout_ms or policy.deadline_ms)


def _make_root_chain(
    request: Request, policy: settings_policy.RoutePolicy
) -> context.ChainContext:
    return context.ChainContext(
        root_id=context.make_root_id(),
        importance=policy.importance,
        expires_at_ms=clock.get_now_ms() + _get_timeout_ms(request, policy),
        retry_allowance=policy.retry_allowance,
        depth=0,
    )


def _make_child_chain(
    request: Request,
    policy: settings_policy.RoutePolicy,
    parent: inbound_calls.InboundCall,
    retries: int,
) -> context.ChainContext:
    return context.ChainContext(
        root_id=parent.chain.root_id,
        importance=parent.chain.importance,
        expires_at_ms=min(
            parent.chain.expires_at_ms,
            clock.get_now_ms() + _get_timeout_ms(request, policy),
        ),
        retry_allowance=retries,
        depth=parent.chain.depth + 1,
        slot_held_ms=parent.slot_held_ms,
        waited_ms=parent.waited_ms,
        is_contended=parent.is_contended,
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
