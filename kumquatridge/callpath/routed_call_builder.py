"""Builds calls from requests that are routed by host and path.

Workers forward no token or other context. A request is taken as a child call of
a request in progress at the local worker if its id is the id of that request, a
dot and a suffix without dots; every other request is a root. Since workers need
not form ids in this way, no guarantee depends on finding the parent.
"""

import dataclasses

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import context
from kumquatridge.chain import inbound_calls
from kumquatridge.routing import splits
from kumquatridge.settings import policy as settings_policy
from kumquatridge.settings import route_store
from kumquatridge.settings import routes

# Time after its start within which a daemon usually has received the routes.
NOT_READY_RETRY_MS = 500
ID_SEPARATOR = "."
FIRST_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request of a caller.

    `request_id` is the id that the caller gave, empty without one. `target` is
    the path and query as sent, `caller` the name that the caller gave.
    `remaining_ms` is how long the caller still waits from the arrival of
    the request, None if it did not report it.
    """

    request_id: str
    host: str
    method: str
    target: str
    headers: outcomes.Headers
    body: call_body.Body
    caller: str
    remaining_ms: float | None


class RoutedCallBuilder:
    """Turns requests into calls by the routes in force."""

    def __init__(
        self,
        store: route_store.RouteStore,
        inbound_registry: inbound_calls.InboundCallRegistry,
    ) -> None:
        self._store = store
        self._inbound_registry = inbound_registry
        self._splits = splits.SplitChooser()

    def make_call(
        self, request: RoutedRequest
    ) -> calls.Call | refusals.Refusal:
        """Returns the call for a request, or the reason to refuse it."""
        index = self._store.index
        if index is None:
            return refusals.NotReady(NOT_READY_RETRY_MS)
        compiled_route = index.find(request.host, request.target)
        if compiled_route is None:
            return refusals.NoRoute(request.host)
        parent = self._find_parent(request.request_id)
        destination = self._splits.choose(compiled_route)
        policy = (
            destination.policy if parent is None else destination.nested_policy
        )
        return calls.Call(
            service=policy.service,
            method=request.method,
            path=request.target,
            headers=request.headers,
            body=request.body,
            caller=request.caller,
            idempotency_key=None,
            policy=policy,
            chain=_make_chain(request, policy, compiled_route.route, parent),
            received_ms=clock.get_now_ms(),
            request_id=request.request_id,
        )

    def record_outcome(
        self, call: calls.Call, outcome: outcomes.Outcome
    ) -> None:
        """Records a failed call on its parent, if it has one.

        A later failure of the parent then does not count against its worker.
        """
        parent = self._find_parent(call.request_id)
        if parent is None:
            return
        child_target = (call.service, call.method, call.path)
        match outcome:
            case outcomes.NotRun():
                parent.record_child_refusal()
                parent.record_child_failure(child_target)
            case outcomes.Completed(status) if (
                status < FIRST_SERVER_ERROR_STATUS
            ):
                pass
            case _:
                parent.record_child_failure(child_target)

    def _find_parent(self, request_id: str) -> inbound_calls.InboundCall | None:
        parent_id, separator, _ = request_id.rpartition(ID_SEPARATOR)
        return self._inbound_registry.find(parent_id) if separator else None


def _make_chain(
    request: RoutedRequest,
    policy: settings_policy.RoutePolicy,
    route: routes.Route,
    parent: inbound_calls.InboundCall | None,
) -> context.ChainContext:
    """Returns the context of a root, or of a child call if there is a parent.

    The retries of a child call are those of its policy, not a share of the
    parent's: parents need not be found, so no bound can depend on them.
    """
    timeout_ms = float(route.timeout_ms)
    if request.remaining_ms is not None:
        timeout_ms = min(timeout_ms, request.remaining_ms)
    expires_at_ms = clock.get_now_ms() + timeout_ms
    if parent is None:
        return context.ChainContext(
            root_id=request.request_id or context.make_root_id(),
            importance=policy.importance,
            expires_at_ms=expires_at_ms,
            retry_allowance=policy.retry_allowance,
            depth=0,
            root_route=route.name,
        )
    return context.ChainContext(
        root_id=parent.chain.root_id,
        importance=parent.chain.importance,
        expires_at_ms=min(expires_at_ms, parent.chain.expires_at_ms),
        retry_allowance=policy.retry_allowance,
        depth=parent.chain.depth + 1,
        slot_held_ms=parent.slot_held_ms,
        waited_ms=parent.waited_ms,
        is_contended=parent.is_contended,
        is_retry=parent.chain.is_retry,
        root_route=parent.chain.root_route,
    )
