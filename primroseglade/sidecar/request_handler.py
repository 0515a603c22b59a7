"""Checks and forwards requests from callers and from the local backend server."""

import asyncio
import math
import random
import time
from typing import Protocol

from ..observe.events import CALL_ANSWERED, CALL_FAILED, CALL_REFUSED, Journal
from ..verdicts import may_have_run, not_run, Reason, Refusal, Verdict
from .admission import Admission
from .call_graph import CallGraph
from .call_ratios import CallRatioEstimator
from .deadlines import Deadlines
from .dispatch import Dispatcher
from .http_messages import Reply, Request
from .model import rank_request, Route, Tenant
from .node_metrics import NodeMetrics
from .outgoing_call import Outcome, OutgoingCall
from .policy_tracker import PolicyTracker
from .quota import Quotas, TokenDecision
from .request_context import build_context
from .retry_after import draw_retry_after
from .retry_budget import RetryBudget
from .running_calls import RunningCall, RunningCalls

# Minimum Retry-After of a refusal.
MIN_RETRY_AFTER_SECONDS = 0.05
# A new configuration reaches every connected node within this time, less than the two
# seconds that users accept.
CONFIGURATION_PROPAGATION_SECONDS = 1.5
# Retry-After of a node that is stopping: its process is restarted after a second.
STOPPING_RETRY_AFTER_SECONDS = 1.0
# A request with less time left cannot be answered before its deadline.
MIN_REMAINING_SECONDS = 0.002
# Timeout of a request whose caller sets none.
DEFAULT_TIMEOUT_SECONDS = 10.0


class CallerFields:
    """The fields that the platform's adapter reads from a caller's request.

    Args:
        request_id: Identifies this request.
        host: Host that the request is for.
        key: API key of the caller; empty if it sent none.
        timeout: Seconds that the caller waits for an answer; None if not given.
        parent_id: ID of the call that the local backend server makes this one for;
            empty if the request names none.
    """

    __slots__ = ("host", "key", "parent_id", "request_id", "timeout")

    def __init__(
        self,
        request_id: bytes,
        host: bytes,
        key: bytes,
        timeout: float | None,
        parent_id: bytes = b"",
    ):
        self.request_id = request_id
        self.host = host
        self.key = key
        self.timeout = timeout
        self.parent_id = parent_id


class CallerDialect(Protocol):
    """Reads requests and renders answers; implemented by the platform's adapter."""

    def read_request(self, request: Request) -> CallerFields:
        """Return the fields of a request."""

    def render_request(self, request: Request, service: str, tenant: str) -> bytes:
        """Return the head to forward.

        The node that runs the call adds the headers that depend on the attempt
        (`BackendDialect.finish_request`).
        """

    def render_refusal(self, request_id: bytes, refusal: Refusal) -> Reply:
        """Return the answer that reports a refusal to the caller."""


class RequestHandler:
    """Handles requests at the address that callers and the backend server share.

    A `Tenant` is a workspace; callers use the API keys that it holds.

    Args:
        service: Service of the backend server beside this node.
        dialect: Reads requests of callers and renders answers to them.
        policies: Provides the configuration in force.
        quotas: Limits the request rates of workspaces.
        admission: Refuses requests that depend on overloaded services.
        graph: Provides the calls to each service that a request causes.
        call_ratios: Counts the calls that the backend server makes.
        running_calls: Finds the call that the backend server makes another for.
        retry_budget: Counts first attempts.
        dispatcher: Sends calls to backend servers.
        deadlines: Cancels calls at their deadline.
        journal: Logs refusals and failures.
        node_metrics: Counts outcomes.
        rng: Draws Retry-After times.
    """

    def __init__(
        self,
        service: str,
        dialect: CallerDialect,
        policies: PolicyTracker,
        quotas: Quotas,
        admission: Admission,
        graph: CallGraph,
        call_ratios: CallRatioEstimator,
        running_calls: RunningCalls,
        retry_budget: RetryBudget,
        dispatcher: Dispatcher,
        deadlines: Deadlines,
        journal: Journal,
        node_metrics: NodeMetrics,
        rng: random.Random,
    ):
        self._service = service
        self._dialect = dialect
        self._policies = policies
        self._quotas = quotas
        self._admission = admission
        self._graph = graph
        self._call_ratios = call_ratios
        self._running_calls = running_calls
        self._retry_budget = retry_budget
        self._dispatcher = dispatcher
        self._deadlines = deadlines
        self._journal = journal
        self._node_metrics = node_metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._refuse_after = math.inf
        self._stops_at = math.inf

    async def handle(self, request: Request) -> Reply:
        """Answer one request."""
        fields = self._dialect.read_request(request)
        try:
            route = self._find_route(request, fields)
        except Refusal as refusal:
            return self._refuse(request, fields, "", refusal)
        try:
            outcome = await self._answer(request, fields, route)
        except Refusal as refusal:
            return self._refuse(request, fields, route.name, refusal)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._journal.emit(
                CALL_FAILED,
                request=fields.request_id.decode("latin-1"),
                error=f"{type(error).__name__}: {error}",
            )
            refusal = may_have_run(Reason.ANSWER_BROKEN, "internal error in the node")
            return self._refuse(request, fields, route.name, refusal)
        seconds = time.monotonic() - request.arrived_at
        failed = outcome.status >= 500
        outcome_label = f"status-{outcome.status}" if failed else "served"
        self._node_metrics.record_request(route.name, outcome_label, seconds)
        if failed:
            self._journal.emit(
                CALL_ANSWERED,
                request=fields.request_id.decode("latin-1"),
                status=outcome.status,
                node=outcome.node,
                seconds=round(seconds, 4),
            )
        return Reply(outcome.head, outcome.body)

    async def _answer(
        self, request: Request, fields: CallerFields, route: Route
    ) -> Outcome:
        tenant = self._find_tenant(route, fields)
        timeout = (
            fields.timeout if fields.timeout is not None else DEFAULT_TIMEOUT_SECONDS
        )
        deadline = request.arrived_at + min(timeout, route.timeout)
        self._check_ends_before_stop(request.arrived_at, deadline)
        if deadline - time.monotonic() < MIN_REMAINING_SECONDS:
            raise not_run(Reason.OVERLOADED, "too little time before the deadline")
        if tenant is not None:
            # Before admission, so that requests over the rate do not count as demand.
            await self._take_token(tenant, deadline)
        try:
            call = self._admit_call(request, fields, route, tenant, deadline)
        except Refusal:
            if tenant is not None:
                self._quotas.refund_refused(tenant)
            raise
        return await self._dispatch_call(call, tenant)

    def _admit_call(
        self,
        request: Request,
        fields: CallerFields,
        route: Route,
        tenant: Tenant | None,
        deadline: float,
    ) -> OutgoingCall:
        """Return the call to send, if admission lets it pass.

        Raises:
            Refusal: A service that the request depends on is overloaded; the verdict is
                `NOT_RUN`.
        """
        # A public route needs no key, because backend servers call it and have none.
        # Callers use the same address: a caller's request on a public route looks like
        # a call of the backend server, and therefore counts as nested too.
        nested = tenant is None and route.public
        now = time.monotonic()
        service = self._policies.routes.choose_service(route)
        rank = rank_request(route, tenant)
        if not nested:
            self._check_admission(route, service, rank, deadline - now, now)
            self._retry_budget.record_first_attempt(service, now)
        latency_target_at = request.arrived_at + route.target_latency
        tenant_name = tenant.name if tenant is not None else ""
        call = OutgoingCall(
            route,
            service,
            fields.request_id,
            self._dialect.render_request(request, self._service, tenant_name),
            request.body,
            nested,
            deadline,
            latency_target_at,
            tenant_name,
        )
        if nested:
            self._identify_parent(call, fields.parent_id, now)
        elif tenant is not None:
            call.context = build_context(rank, tenant, latency_target_at)
        return call

    def _identify_parent(
        self, call: OutgoingCall, parent_id: bytes, now: float
    ) -> None:
        """Find the running call that a nested call is made for, and count the call.

        Args:
            call: The nested call, which receives the parent and its context.
            parent_id: ID of the running call; empty if the request names none.
            now: Seconds on the loop's clock.
        """
        parent = self._running_calls.find(parent_id)
        self._call_ratios.record_call(call.route.name, now, parent is not None)
        if parent is None:
            return
        call.parent = parent
        call.context = parent.context
        call.remaining_calls = self._count_remaining_calls(parent, call.route.name)

    def _count_remaining_calls(self, parent: RunningCall, route: str) -> int:
        """Return how many calls of a route will follow the next one of a running call.

        Args:
            parent: The running call.
            route: Name of the route that it calls.
        """
        expected = self._graph.count_direct_calls(parent.route, self._service, route)
        return max(0, expected - parent.calls.get(route, 0) - 1)

    async def _dispatch_call(
        self, call: OutgoingCall, tenant: Tenant | None
    ) -> Outcome:
        """Send a call and return its outcome; cancel it at its deadline."""
        tracked_deadline = self._deadlines.start(call.deadline)
        if call.parent is not None:
            call.parent.begin_call(call.route.name, time.monotonic())
        try:
            return await self._dispatcher.dispatch(call)
        except asyncio.CancelledError as error:
            if not tracked_deadline.take_back_cancellation():
                raise
            detail = f"deadline exceeded before {call.node or 'any node'} answered"
            if not call.sent:
                raise not_run(Reason.DEADLINE_EXCEEDED, detail) from error
            raise may_have_run(Reason.DEADLINE_EXCEEDED, detail) from error
        except Refusal as refusal:
            if refusal.verdict is Verdict.NOT_RUN and tenant is not None:
                self._quotas.refund(tenant)
            if refusal.verdict is Verdict.NOT_RUN and refusal.retry_after is None:
                refusal.retry_after = self._draw_retry_after(call, refusal)
            raise
        finally:
            self._deadlines.end(tracked_deadline)
            if call.parent is not None:
                call.parent.end_call(time.monotonic())

    def _draw_retry_after(self, call: OutgoingCall, refusal: Refusal) -> float:
        now = time.monotonic()
        not_before = 0.0
        if refusal.reason is Reason.BACKEND_COLD:
            expected_calls = self._graph.get_expected_calls(
                call.route.name, call.service
            )
            not_before = self._admission.get_warm_up_seconds(expected_calls, now)
        return draw_retry_after(call.deadline - now, self._rng, not_before)

    def stop(self, refuse_after: float, stops_at: float) -> None:
        """Schedule the refusal of requests that might outlast this node.

        Requests that arrive after `refuse_after` are refused if their deadline is after
        `stops_at`, because it is better for a caller to retry than to be cut off. Such
        requests are few: callers use other nodes by then, unless too few other nodes
        are ready.

        Args:
            refuse_after: Time on the loop's clock.
            stops_at: Latest time on the loop's clock at which this node stops.
        """
        self._refuse_after = refuse_after
        self._stops_at = stops_at

    def _check_ends_before_stop(self, arrived_at: float, deadline: float) -> None:
        if arrived_at > self._refuse_after and deadline > self._stops_at:
            detail = "this node stops before the request's deadline"
            raise not_run(Reason.DRAINING, detail, STOPPING_RETRY_AFTER_SECONDS)

    def _find_route(self, request: Request, fields: CallerFields) -> Route:
        policies = self._policies
        if policies.policy is None:
            detail = "this node has no configuration yet"
            raise not_run(Reason.CONFIGURATION_MISSING, detail, 0.5)
        route = policies.routes.find(fields.host, request.target)
        if route is None:
            self._check_configuration_fresh()
            raise not_run(Reason.SERVICE_UNKNOWN, "no route for this host and path")
        return route

    def _find_tenant(self, route: Route, fields: CallerFields) -> Tenant | None:
        """Return the workspace of the request's key, or None if no key is needed.

        Raises:
            Refusal: The key is missing or unknown, or the configuration is too old to
                tell; the verdict is `NOT_RUN`.
        """
        policy = self._policies.policy
        assert policy is not None
        if policy.tenants is None or route.public:
            return None
        # With a stale configuration, a key that was withdrawn would still be accepted.
        self._check_configuration_fresh()
        if not fields.key:
            raise not_run(Reason.KEY_MISSING, "the request has no key")
        tenant = policy.tenants.get(fields.key)
        if tenant is None:
            raise not_run(Reason.KEY_UNKNOWN, "no workspace has this key")
        return tenant

    def _check_configuration_fresh(self) -> None:
        if not self._policies.is_fresh:
            age = self._policies.age
            detail = f"the configuration may be out of date by {age:.1f} s"
            raise not_run(Reason.CONFIGURATION_STALE, detail, 0.5)

    async def _take_token(self, tenant: Tenant, deadline: float) -> None:
        """Take a rate-limit token of the workspace for one request.

        Raises:
            Refusal: The workspace is over its rate; the verdict is `NOT_RUN`.
        """
        decision = await self._request_token(tenant)
        if decision.granted:
            return
        detail = f"{tenant.name} is over its rate"
        if decision.holder:
            detail += (
                f": {decision.holder} had {decision.remaining_tokens:g} tokens left"
            )
        retry_after = draw_retry_after(deadline - time.monotonic(), self._rng)
        raise not_run(Reason.RATE_EXCEEDED, detail, retry_after)

    async def _request_token(self, tenant: Tenant) -> TokenDecision:
        now = time.monotonic()
        # Whether all connected nodes have this version of the configuration by now.
        rolled_out = (
            now - self._policies.active_since > CONFIGURATION_PROPAGATION_SECONDS
        )
        future: asyncio.Future[TokenDecision] = self._loop.create_future()

        # Returns whether the request still waits for the decision.
        def deliver_decision(decision: TokenDecision) -> bool:
            if future.done():
                return False
            future.set_result(decision)
            return True

        self._quotas.acquire(
            tenant, self._policies.version, rolled_out, deliver_decision
        )
        return future.result() if future.done() else await future

    def _check_admission(
        self, route: Route, service: str, rank: int, remaining: float, now: float
    ) -> None:
        """Record the demand of a request, and raise a refusal if it is not admitted."""
        expected_calls = self._graph.get_expected_calls(route.name, service)
        self._admission.record_demand(expected_calls, rank, now)
        if self._admission.admits(expected_calls, rank):
            return
        warm_up_seconds = self._admission.get_warm_up_seconds(expected_calls, now)
        retry_after = draw_retry_after(remaining, self._rng, warm_up_seconds)
        if warm_up_seconds:
            detail = f"a needed service is cold for another {warm_up_seconds:.1f} s"
            raise not_run(Reason.BACKEND_COLD, detail, retry_after)
        detail = "a service that the request depends on is overloaded"
        raise not_run(Reason.OVERLOADED, detail, retry_after)

    def _refuse(
        self, request: Request, fields: CallerFields, route: str, refusal: Refusal
    ) -> Reply:
        seconds = time.monotonic() - request.arrived_at
        self._node_metrics.record_request(route, refusal.reason.code, seconds)
        self._journal.emit(
            CALL_REFUSED,
            request=fields.request_id.decode("latin-1"),
            reason=refusal.reason.code,
            verdict=refusal.verdict.value,
            detail=refusal.detail,
            route=route,
            target=request.target[:60].decode("latin-1"),
            policy=self._policies.version,
            policy_age=round(min(self._policies.age, 1e6), 3),
            retry_after=refusal.retry_after,
            seconds=round(seconds, 4),
        )
        return self._dialect.render_refusal(fields.request_id, refusal)
