"""Call graphs over the real call paths, with random faults, in virtual time.

Service i of a graph is named "si", its instances "si-0" and "si-1".
"""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.admission import controller as admission_controller
from kumquatridge.callpath import call_builder
from kumquatridge.callpath import inbound
from kumquatridge.callpath import outbound
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import context
from kumquatridge.chain import inbound_calls
from kumquatridge.chain import retry_budget
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.quarantine import crash_registry
from kumquatridge.routing import choices
from kumquatridge.routing import chooser as routing
from kumquatridge.settings import policy as settings_policy

INSTANCES_PER_SERVICE = 2
# So many that admission refuses no call.
SLOTS = 1000
# Limits the random delay of a message between two nodes and of a worker's run.
MAX_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Graph:
    """The child services of each service, and how often faults occur.

    `children` has one tuple for each service, with the numbers of the services
    that it calls. `retry_allowance` is that of every route, so also of the
    root. `fault_ratio` is the probability of each possible fault, and
    `application_attempts` how often a worker tries a child call in all.
    `seed` is that of the faults, the message delays and the choices of
    instances. `idempotent` applies to every route.
    """

    children: tuple[tuple[int, ...], ...]
    retry_allowance: int
    fault_ratio: float
    application_attempts: int
    seed: int
    idempotent: bool = True


class CountingRecorder:
    """Counts retries and collects the codes and reasons of refusals."""

    def __init__(self) -> None:
        self.retries = 0
        self.denied_retries: list[str] = []
        self.refusals: list[str] = []

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Records the code of a refusal."""
        self.refusals.append(refusal.code)

    def record_failed_attempt(
        self,
        call: calls.Call,
        get_snapshot: Callable[[], choices.InstanceSnapshot],
        outcome: outcomes.Outcome,
    ) -> None:
        """Ignores attempts."""

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts a retry."""
        self.retries += 1

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Records the reason of a denied retry."""
        self.denied_retries.append(reason)


class Node:
    """A daemon and its worker.

    `number` tells the instances of a service apart. With `child_outcome` set,
    the worker calls no children: it records that outcome for a child call and
    answers 503.
    """

    def __init__(self, world: "GraphWorld", service: int, number: int) -> None:
        self.world = world
        self.service = service
        self.number = number
        self.child_outcome: outcomes.Outcome | None = None
        self.member = make_member(service, number)
        self.members = table.MemberTable(self.member)
        self.inbound_registry = inbound_calls.InboundCallRegistry()
        self.builder = call_builder.CallBuilder(
            world.policies, self.inbound_registry, world.recorder
        )
        self.inbound = inbound.InboundPath(
            self.members,
            admission_controller.AdmissionController(slots=SLOTS),
            self.inbound_registry,
            self,
            world.recorder,
            # Calls are refused for a short time after crashes of the worker,
            # but never quarantined.
            crashes=crash_registry.CrashRegistry(
                crash_registry.QuarantineSettings(quarantine_crash_count=10**6),
                self.member.instance,
                lambda: None,
            ),
        )
        self.outbound = outbound.OutboundPath(
            self.members,
            make_chooser(self.members, world.random.getrandbits(32)),
            self.inbound,
            FakePeerLink(world),
            world.recorder,
            retry_budgets=make_retry_budgets(),
        )

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, address: str, token: str
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call as the worker would, with its child calls."""
        if self.child_outcome is not None:
            self.builder.record_outcome(
                make_child_request(token), self.child_outcome
            )
            yield outcomes.Completed(503, (), call_body.EMPTY)
            return
        world = self.world
        world.runs += 1
        await world.delay_message()
        failed = await world.call_children(self, token)
        # The answer may be lost, then at times together with the worker.
        if world.draw_failure():
            yield outcomes.Unknown("lost", worker_lost=world.draw_failure())
            return
        status = 503 if failed or world.draw_failure() else 200
        yield outcomes.Completed(status, (), call_body.EMPTY)


class FakePeerLink:
    """Delivers calls between nodes; loses some calls and some answers."""

    def __init__(self, world: "GraphWorld") -> None:
        self._world = world

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, member: members.Member
    ) -> AsyncIterator[outcomes.Outcome]:
        """Delivers a call to the node of a member.

        A fault makes the node unreachable or loses the answer after the run.
        """
        world = self._world
        await world.delay_message()
        if world.draw_failure():
            yield outcomes.NotRun(
                refusals.Unreachable(member.instance),
                call.chain.retry_allowance,
            )
            return
        async with world.nodes[member.instance].inbound.serve(call) as outcome:
            yield outcomes.Unknown("lost") if world.draw_failure() else outcome

    def send_to_home(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Delivers a call as `send` does."""
        return self.send(call, member)


class GraphWorld:
    """All nodes of a graph; counts worker runs and requests sent.

    `requests_sent` has the requests of the root's caller and of workers, not
    the attempts that daemons make at them.
    """

    def __init__(self, graph: Graph) -> None:
        self.graph = graph
        self.random = random.Random(graph.seed)
        self.recorder = CountingRecorder()
        self.runs = 0
        self.requests_sent = 0
        self.policies = make_policies(graph)
        self.nodes: dict[str, Node] = {}
        for service in range(len(graph.children)):
            for number in range(INSTANCES_PER_SERVICE):
                node = Node(self, service, number)
                self.nodes[node.member.instance] = node
        for node in self.nodes.values():
            for peer in self.nodes.values():
                node.members.apply_update(peer.member)

    def draw_failure(self) -> bool:
        """Draws whether one possible fault occurs, by the fault ratio."""
        return self.random.random() < self.graph.fault_ratio

    async def delay_message(self) -> None:
        """Waits for a random message delay."""
        await asyncio.sleep(self.random.random() * MAX_DELAY_S)

    async def call_root(self) -> outcomes.Outcome:
        """Sends a root call to the first service."""
        return await self.send_request(self.nodes["s0-0"], 0, None)

    async def call_children(self, node: Node, token: str) -> bool:
        """Calls all children at once; returns whether any of them failed."""
        results = await asyncio.gather(
            *(
                self.call_child(node, child, token)
                for child in self.graph.children[node.service]
            )
        )
        return not all(results)

    async def call_child(self, node: Node, child: int, token: str) -> bool:
        """Calls a child up to `application_attempts` times, until it succeeds.

        Returns whether it did.
        """
        for _ in range(self.graph.application_attempts):
            match await self.send_request(node, child, token):
                case outcomes.Completed(200):
                    return True
                case _:
                    pass
        return False

    async def send_request(
        self, node: Node, service: int, token: str | None
    ) -> outcomes.Outcome:
        """Sends one request to a node as its front end does.

        `token` is that of the parent, None for the root.
        """
        request = call_builder.Request(
            service=f"s{service}",
            method="GET",
            path="/",
            headers=(),
            body=call_body.EMPTY,
            token=token,
        )
        with node.builder.start_call(request) as call_or_refusal:
            match call_or_refusal:
                case calls.Call():
                    self.requests_sent += 1
                    async with node.outbound.dispatch(
                        call_or_refusal
                    ) as outcome:
                        node.builder.record_outcome(request, outcome)
                        return outcome
                case refusal:
                    self.recorder.refusals.append(refusal.code)
                    return outcomes.NotRun(refusal)


def make_member(service: int, number: int) -> members.Member:
    """Returns the member of a node."""
    name = f"s{service}-{number}"
    # The last two numbers of the announcement are slots and connections.
    return members.Member(
        instance=name,
        incarnation=1,
        data_centre="landshut",
        call_address=name,
        control_address=name,
        announcement=members.Announcement(f"s{service}", name, SLOTS, SLOTS),
    )


def make_policies(graph: Graph) -> settings_policy.PolicyLookup:
    """Returns policies with one route for each service of a graph."""
    return settings_policy.PolicyLookup(
        {
            f"s{service}": settings_policy.ServicePolicies(
                (),
                settings_policy.RoutePolicy(
                    service=f"s{service}",
                    route="all",
                    importance=importance.Importance.NORMAL,
                    idempotent=graph.idempotent,
                    deadline_ms=60_000,
                    retry_allowance=graph.retry_allowance,
                    long_running=False,
                    max_body_bytes=1000,
                    queue_wait_ms=1000,
                ),
            )
            for service in range(len(graph.children))
        }
    )


def make_chain(remaining_s: float) -> context.ChainContext:
    """Returns the context of a root whose deadline is in `remaining_s`.

    It has no retries.
    """
    return context.ChainContext(
        root_id="root",
        importance=importance.Importance.NORMAL,
        expires_at_ms=clock.get_now_ms() + remaining_s * 1000.0,
        retry_allowance=0,
        depth=0,
    )


def make_child_request(token: str) -> call_builder.Request:
    """Returns a request that a worker sends for a child call to service 1."""
    return call_builder.Request(
        service="s1",
        method="GET",
        path="/",
        headers=(),
        body=call_body.EMPTY,
        token=token,
    )


def replace_service(call: calls.Call, service: str) -> calls.Call:
    """Returns a copy of a call to another service."""
    return dataclasses.replace(call, service=service)


def make_chooser(
    members_table: table.MemberTable, seed: int
) -> routing.InstanceChooser:
    """Returns an instance chooser over the members of a table."""
    return routing.InstanceChooser(members_table, seed)


def make_retry_budgets() -> retry_budget.RetryBudgets:
    """Returns retry budgets that allow every retry."""
    return retry_budget.RetryBudgets(
        retry_budget.RetryBudgetSettings(min_retries=10**6)
    )
