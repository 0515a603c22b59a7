"""Chooses a node for a call, sends it there, and retries it elsewhere on failure."""

import asyncio
import time

from ..observe.events import CALL_RETRIED, Journal
from ..verdicts import not_run, Reason, Refusal
from .answer_sizes import AnswerSizes
from .backend import Backend
from .backend_dialect import ServedAnswer
from .call_graph import CallGraph
from .fleet import Fleet
from .frames import Call
from .http_messages import MIN_FAILURE_STATUS
from .load_balancing import (
    Candidate,
    compute_cross_zone_surcharge_ms,
    compute_failure_cost_ms,
)
from .node_metrics import NodeMetrics
from .outgoing_call import Attempts, Outcome, OutgoingCall
from .retry_budget import RetryBudget
from .retry_rules import RetryRules
from .suspect_calls import SuspectCalls
from .zone_costs import ZoneCosts
from .zone_rules import ZoneRules

# Refusing a nested call wastes the work already done for its request. If no node can
# take the call, it waits this long first, and twice as long each further time.
NESTED_INITIAL_BACKOFF_SECONDS = 0.05
# Maximum time that a nested call waits for a node that can take it. A node restarts in
# about a second.
NESTED_MAX_WAIT_SECONDS = 1.5


class Dispatcher:
    """Sends calls to the nodes of backend servers, with retries.

    Args:
        node: This node's name.
        backend: The local backend server.
        suspects: Handles calls of suspect requests, and runs calls on `backend`.
        fleet: The other nodes.
        retry_budget: Limits retries.
        graph: Provides the downstream calls that a retry makes again.
        zone_costs: Provides the cost of a call's downstream calls in each zone.
        answer_sizes: Provides the average answer size of each route.
        zone_rules: Provides the zones in which a call may run.
        journal: Logs retries.
        node_metrics: Counts retries.
    """

    def __init__(
        self,
        node: str,
        backend: Backend,
        suspects: SuspectCalls,
        fleet: Fleet,
        retry_budget: RetryBudget,
        graph: CallGraph,
        zone_costs: ZoneCosts,
        answer_sizes: AnswerSizes,
        zone_rules: ZoneRules,
        journal: Journal,
        node_metrics: NodeMetrics,
    ):
        self._node = node
        self._backend = backend
        self._guarded_backend = suspects.guarded_backend
        self._suspect_routing = suspects.routing
        self._fleet = fleet
        self._retry_rules = RetryRules(backend.queue, fleet, graph, retry_budget)
        self._journal = journal
        self._node_metrics = node_metrics
        self._zone_costs = zone_costs
        self._answer_sizes = answer_sizes
        self._zone_rules = zone_rules

    async def dispatch(self, call: OutgoingCall) -> Outcome:
        """Send a call, retry it where that is allowed, and return its outcome.

        Raises:
            Refusal: No backend server answered. The last refusal is raised, with a
                verdict over all attempts.
        """
        attempts = Attempts()
        while True:
            try:
                await self._suspect_routing.admit(call)
            except Refusal as refusal:
                self._suspect_routing.record_refusal(call, refusal)
                attempts.record_refusal(refusal)
                return attempts.get_final_outcome()
            candidate = await self._find_candidate(call, attempts)
            if candidate is None:
                return attempts.get_final_outcome(self._build_refusal(call))
            outcome = await self._attempt(call, candidate, attempts)
            if outcome is not None:
                return outcome
            if not self._retry_rules.may_attempt_again(call, attempts):
                return attempts.get_final_outcome()
            if attempts.last_reached_backend:
                self._log_retry(call, candidate, attempts)

    def _build_refusal(self, call: OutgoingCall) -> Refusal:
        """Return the refusal of a call for which there is no node."""
        detail = f"no backend server of {call.service} takes calls"
        if self._zone_rules.is_restricted(call.route, call.tenant):
            detail += " in the regions allowed for the route and the workspace"
            return Refusal(Reason.REGION_UNAVAILABLE, detail=detail)
        return Refusal(Reason.NO_BACKEND_SERVER, detail=detail)

    async def _find_candidate(
        self, call: OutgoingCall, attempts: "Attempts"
    ) -> Candidate | None:
        """Return where to send the call next, or None if no node can take it.

        Before its first attempt, a nested call waits for a node that can take it.
        """
        backoff = NESTED_INITIAL_BACKOFF_SECONDS
        remaining_wait = NESTED_MAX_WAIT_SECONDS
        while True:
            candidate = self._choose(call, attempts.tried)
            if candidate is not None or not call.nested or attempts.tried:
                return candidate
            if remaining_wait <= 0:
                return None
            await asyncio.sleep(backoff)
            remaining_wait -= backoff
            backoff *= 2

    async def _attempt(
        self, call: OutgoingCall, candidate: Candidate, attempts: "Attempts"
    ) -> Outcome | None:
        """Send the call once; return its outcome, or None if the attempt failed.

        A failure status is returned, too, if the route's calls are not idempotent: they
        may not be retried after they ran.
        """
        attempts.tried.add(candidate.name)
        try:
            outcome = await self._send(call, candidate)
        except Refusal as refusal:
            self._suspect_routing.record_refusal(call, refusal)
            attempts.record_refusal(refusal)
            return None
        self._suspect_routing.record_outcome(call, outcome)
        size_bytes = len(outcome.head) + len(outcome.body)
        self._answer_sizes.record(call.route.name, size_bytes)
        if outcome.status < MIN_FAILURE_STATUS or not call.route.idempotent:
            return outcome
        attempts.record_failure(outcome)
        return None

    def _log_retry(
        self, call: OutgoingCall, candidate: Candidate, attempts: "Attempts"
    ) -> None:
        self._node_metrics.record_retry(attempts.reason)
        self._journal.emit(
            CALL_RETRIED,
            request=call.request_id.decode("latin-1"),
            service=call.service,
            node=candidate.name,
            reason=attempts.reason,
            arrivals=attempts.backends_reached,
        )

    def _choose(self, call: OutgoingCall, tried: set[str]) -> Candidate | None:
        downstream_ms_by_zone = self._zone_costs.get_downstream_costs(
            call.route.name, call.service
        )
        allowed_zones = self._zone_rules.get_allowed_zones(call.route, call.tenant)
        local_candidate: Candidate | None = None
        if self._backend.service == call.service and (
            allowed_zones is None or self._fleet.zone in allowed_zones
        ):
            local_candidate = self._backend.build_candidate(self._node)
            if local_candidate is not None:
                local_candidate.downstream_cost_ms = downstream_ms_by_zone.get(
                    self._fleet.zone, 0.0
                )
        if call.suspect:
            return self._suspect_routing.choose_runner(
                call, local_candidate, tried, allowed_zones
            )
        size_bytes = len(call.head) + len(call.body)
        size_bytes += self._answer_sizes.estimate(call.route.name)
        latency_target = call.route.target_latency
        latency_tolerance = call.route.latency_tolerance
        return self._fleet.choose(
            call.service,
            local_candidate,
            tried,
            compute_cross_zone_surcharge_ms(latency_tolerance, size_bytes),
            compute_failure_cost_ms(latency_target),
            downstream_ms_by_zone,
            allowed_zones,
        )

    async def _send(self, call: OutgoingCall, candidate: Candidate) -> Outcome:
        now = time.monotonic()
        if call.deadline <= now:
            raise not_run(Reason.DEADLINE_EXCEEDED, "deadline exceeded before sending")
        peer = None
        instance = self._backend.instance
        if candidate.name != self._node:
            peer = self._fleet.get(candidate.name)
            if peer is None:
                raise not_run(Reason.CONNECTION_LOST, "the node has left the fleet")
            instance = peer.state.instance
        message = call.build_message(
            instance, self._suspect_routing.list_ended_servers(call), now
        )
        call.sent = True
        call.node = candidate.name
        if peer is not None:
            answer = await peer.call(message)
            return Outcome(
                answer.status,
                answer.head,
                answer.body,
                answer.signed,
                candidate.name,
                answer.ended_servers,
            )
        served = await self.serve(message)
        return Outcome(
            served.status,
            served.answer.head,
            served.body,
            served.answer.signed,
            candidate.name,
            served.ended_servers,
        )

    async def serve(self, message: Call) -> ServedAnswer:
        """Run a call on the local backend server, for this node or another.

        Raises:
            Refusal: There is no answer; the verdict says whether the call may have run.
        """
        remaining = message.remaining_ms / 1000
        # No timer here: the sender cancels the call at its deadline. A timer for each
        # call would cost half as much as the other work on the call.
        return await self._guarded_backend.serve(message, remaining)
