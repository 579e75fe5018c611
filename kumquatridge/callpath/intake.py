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
from kumquatridge.chain import ledger as chain_ledger
from kumquatridge.settings import policy as settings_policy


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a caller asked for, whatever protocol brought it here.

    `token` is the context header that a worker forwarded, if any.
    """

    service: str
    method: str
    path: str
    headers: outcomes.Headers
    body: call_body.Body
    caller: str = ""
    request_key: str | None = None
    timeout_ms: int | None = None
    token: str | None = None


class Intake:
    """Turns requests of callers and of the own worker into calls."""

    def __init__(
        self,
        policies: settings_policy.PolicyLookup,
        ledger: chain_ledger.Ledger,
    ) -> None:
        self._policies = policies
        self._ledger = ledger

    def set_policies(self, policies: settings_policy.PolicyLookup) -> None:
        """Puts another version of the settings in force."""
        self._policies = policies

    def find_policy(
        self, service: str, method: str, path: str
    ) -> settings_policy.RoutePolicy | None:
        """Returns the policy of a request, or None for an unknown service."""
        return self._policies.find(service, method, path)

    @contextlib.contextmanager
    def open(self, request: Request) -> Iterator[calls.Call | refusals.Refusal]:
        """Opens a call, lending it retries of the inbound call it serves."""
        policy = self.find_policy(request.service, request.method, request.path)
        if policy is None:
            yield refusals.UnknownService(request.service)
            return
        record = self._ledger.find(request.token) if request.token else None
        if record is None:
            yield _make_call(request, policy, _make_root(request, policy))
            return
        lent = record.retries.lend(policy.retry_allowance)
        yield _make_call(
            request, policy, _make_child(request, policy, record, lent)
        )

    def return_retries(
        self, request: Request, outcome: outcomes.Outcome
    ) -> None:
        """Gives the unspent retries of a call back to its inbound call."""
        record = self._ledger.find(request.token) if request.token else None
        if record is not None:
            record.retries.give_back(outcome.unspent_retries)


def _make_root(
    request: Request, policy: settings_policy.RoutePolicy
) -> context.ChainContext:
    timeout_ms = min(
        policy.deadline_ms, request.timeout_ms or policy.deadline_ms
    )
    return context.ChainContext(
        root_id=context.make_root_id(),
        importance=policy.importance,
        expires_at_ms=clock.get_now_ms() + timeout_ms,
        retries=policy.retry_allowance,
        depth=0,
    )


def _make_child(
    request: Request,
    policy: settings_policy.RoutePolicy,
    record: chain_ledger.InboundRecord,
    lent: int,
) -> context.ChainContext:
    timeout_ms = min(
        policy.deadline_ms, request.timeout_ms or policy.deadline_ms
    )
    return context.ChainContext(
        root_id=record.chain.root_id,
        importance=record.chain.importance,
        expires_at_ms=min(
            record.chain.expires_at_ms, clock.get_now_ms() + timeout_ms
        ),
        retries=lent,
        depth=record.chain.depth + 1,
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
        request_key=request.request_key,
        policy=policy,
        chain=chain,
    )
