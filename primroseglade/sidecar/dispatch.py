"""Gets a call answered: where it goes, and where next if that fails."""

import asyncio
import random
import time

from ..observe.events import CALL_REPEATED, Journal
from ..verdicts import not_run, Reason, Refusal, Verdict
from .answer_sizes import AnswerSizes
from .backend import Backend, BackendRefusal, ServedAnswer
from .call_graph import CallGraph
from .fleet import Fleet
from .frames import Call
from .http_messages import MIN_FAILURE_STATUS
from .load_balancing import (
    Candidate,
    compute_cross_zone_cost_ms,
    compute_failure_cost_ms,
)
from .model import Route
from .node_metrics import NodeMetrics
from .retry_budget import RetryBudget
from .zone_costs import ZoneCosts

# Nodes asked for one call, where each says that it did not run. Such refusals reach
# no backend server, but under overload all nodes say the same, and asking them all
# would cost more than the calls themselves.
MAX_NODES_TRIED = 3
# Where more of a service's calls fail, those of backend servers are not repeated: a
# request makes several of them, and one that fails again ends it all the same. The
# budget of repeats is left to callers' own requests.
NESTED_RETRY_MAX_FAILURE_RATIO = 0.2
# A call that a backend server makes is worth waiting for: to refuse it throws away
# the work above it. So long it waits before it looks again who serves it, in seconds,
# and twice as long each time.
NESTED_INITIAL_BACKOFF_SECONDS = 0.05
# And so long it waits at the most; restarts of a node take about a second.
NESTED_MAX_WAIT_SECONDS = 1.5


class OutgoingCall:
    """A call that begins at this node, on its way."""

    __slots__ = (
        "body",
        "deadline",
        "head",
        "latency_target_at",
        "nested",
        "node",
        "request_id",
        "route",
        "sent",
        "service",
    )

    def __init__(
        self,
        route: Route,
        service: str,
        request_id: bytes,
        head: bytes,
        body: bytes,
        nested: bool,
        deadline: float,
        latency_target_at: float,
    ):
        self.route = route
        self.service = service
        self.request_id = request_id
        self.head = head
        self.body = body
        self.nested = nested
        self.deadline = deadline
        self.latency_target_at = latency_target_at
        self.sent = False
        self.node = ""


class Outcome:
    """An answer, and how it was had."""

    __slots__ = ("attempts", "body", "head", "node", "signed", "status")

    def __init__(self, status: int, head: bytes, body: bytes, signed: bool, node: str):
        self.status = status
        self.head = head
        self.body = body
        self.signed = signed
        self.node = node
        self.attempts = 1


class Attempts:
    """What became of a call so far.

    Attributes:
        tried: Names of the nodes that were asked.
        arrivals: Backend servers that the call reached.
        last_arrived: Whether the last attempt reached one.
        reason: Why the last attempt was not the end.
        verdict: Whether the call may have run, over all attempts.
    """

    __slots__ = (
        "_failure",
        "_refusal",
        "backends_reached",
        "last_reached_backend",
        "reason",
        "tried",
        "verdict",
    )

    def __init__(self) -> None:
        self._failure: Outcome | None = None
        self._refusal: Refusal | None = None
        self.tried: set[str] = set()
        self.backends_reached = 0
        self.last_reached_backend = False
        self.reason = ""
        self.verdict = Verdict.NOT_RUN

    def record_failure(self, outcome: Outcome) -> None:
        """Note that a backend server answered with a failure of its own."""
        self._failure = outcome
        self.verdict = Verdict.RAN
        self.reason = f"status {outcome.status}"
        self.backends_reached += 1
        self.last_reached_backend = True

    def record_refusal(self, refusal: Refusal) -> None:
        """Note that there was no answer."""
        self._refusal = refusal
        self.reason = refusal.reason.code
        may_have_run = refusal.verdict is not Verdict.NOT_RUN
        if may_have_run and self.verdict is Verdict.NOT_RUN:
            self.verdict = refusal.verdict
        self.last_reached_backend = may_have_run or isinstance(refusal, BackendRefusal)
        self.backends_reached += self.last_reached_backend

    def get_final_outcome(self, default: Refusal | None = None) -> Outcome:
        """Return the answer that there is, if only a failure.

        Raises:
            Refusal: There is none; with the verdict that holds for all attempts, as
                the last one alone may not have run where an earlier one has.
        """
        if self._failure is not None:
            return self._failure
        refusal = self._refusal or default
        assert refusal is not None
        refusal.verdict = self.verdict
        raise refusal


class Dispatcher:
    """Sends calls to nodes beside backend servers.

    Args:
        node: This node's name.
        backend: The own backend server.
        fleet: The others.
        retry_budget: Of repeats.
        graph: Which calls a repeat makes again.
        zone_costs: What the calls below a call cost.
        answer_sizes: Learnt from answers.
        journal: Where repeats are told.
        node_metrics: Counts repeats.
    """

    def __init__(
        self,
        node: str,
        backend: Backend,
        fleet: Fleet,
        retry_budget: RetryBudget,
        graph: CallGraph,
        zone_costs: ZoneCosts,
        answer_sizes: AnswerSizes,
        journal: Journal,
        node_metrics: NodeMetrics,
    ):
        self._node = node
        self._backend = backend
        self._fleet = fleet
        self._retry_budget = retry_budget
        self._graph = graph
        self._journal = journal
        self._node_metrics = node_metrics
        self._zone_costs = zone_costs
        self._answer_sizes = answer_sizes

    async def dispatch(self, call: OutgoingCall) -> Outcome:
        """Get a call answered.

        Raises:
            Refusal: The last one, with a verdict that holds for all attempts.
        """
        attempts = Attempts()
        while True:
            candidate = await self._find_candidate(call, attempts)
            if candidate is None:
                detail = f"no backend server of {call.service} takes calls"
                return attempts.get_final_outcome(
                    Refusal(Reason.NO_BACKEND_SERVER, detail=detail)
                )
            outcome = await self._attempt(call, candidate, attempts)
            if outcome is not None:
                return outcome
            if not self._may_attempt_again(call, attempts):
                return attempts.get_final_outcome()
            if attempts.last_reached_backend:
                self._log_retry(call, candidate, attempts)

    async def _find_candidate(
        self, call: OutgoingCall, attempts: "Attempts"
    ) -> Candidate | None:
        """Return where to send the call next; a nested one waits for a place."""
        backoff = NESTED_INITIAL_BACKOFF_SECONDS
        remaining = NESTED_MAX_WAIT_SECONDS
        while True:
            candidate = self._choose(call, attempts.tried)
            if candidate is not None or not call.nested or attempts.tried:
                return candidate
            if remaining <= 0:
                return None
            await asyncio.sleep(backoff)
            remaining -= backoff
            backoff *= 2

    async def _attempt(
        self, call: OutgoingCall, candidate: Candidate, attempts: "Attempts"
    ) -> Outcome | None:
        """Send the call once and return its answer, None if another may be better."""
        attempts.tried.add(candidate.name)
        try:
            outcome = await self._send(call, candidate)
        except Refusal as refusal:
            attempts.record_refusal(refusal)
            return None
        size = len(outcome.head) + len(outcome.body)
        self._answer_sizes.record(call.route.name, size)
        if outcome.status < MIN_FAILURE_STATUS or not call.route.idempotent:
            return outcome
        attempts.record_failure(outcome)
        return None

    def _may_attempt_again(self, call: OutgoingCall, attempts: "Attempts") -> bool:
        if not attempts.last_reached_backend:
            return len(attempts.tried) < MAX_NODES_TRIED
        if attempts.verdict is not Verdict.NOT_RUN and not call.route.idempotent:
            return False
        return self._may_retry(call, attempts.backends_reached)

    def _log_retry(
        self, call: OutgoingCall, candidate: Candidate, attempts: "Attempts"
    ) -> None:
        self._node_metrics.record_retry(attempts.reason)
        self._journal.emit(
            CALL_REPEATED,
            request=call.request_id.decode("latin-1"),
            service=call.service,
            node=candidate.name,
            reason=attempts.reason,
            arrivals=attempts.backends_reached,
        )

    def _may_retry(self, call: OutgoingCall, backends_reached: int) -> bool:
        if backends_reached >= call.route.max_attempts:
            return False
        if call.deadline - time.monotonic() < self._backend.queue.service_seconds / 4:
            return False
        if (
            call.nested
            and self._fleet.get_failure_ratio(call.service)
            > NESTED_RETRY_MAX_FAILURE_RATIO
        ):
            return False
        visits = self._graph.get_visits(call.route.name, call.service)
        return self._retry_budget.try_spend(visits, len(self._fleet), time.monotonic())

    def _choose(self, call: OutgoingCall, tried: set[str]) -> Candidate | None:
        downstream_costs = self._zone_costs.get_downstream_costs(
            call.route.name, call.service
        )
        local_candidate: Candidate | None = None
        if self._backend.service == call.service:
            local_candidate = self._backend.build_candidate(self._node)
            if local_candidate is not None:
                local_candidate.downstream_ms = downstream_costs.get(
                    self._fleet.zone, 0.0
                )
        size = len(call.head) + len(call.body)
        size += self._answer_sizes.estimate(call.route.name)
        latency_target = call.route.target_latency
        latency_tolerance = call.route.latency_tolerance
        return self._fleet.choose(
            call.service,
            local_candidate,
            tried,
            compute_cross_zone_cost_ms(latency_tolerance, size),
            compute_failure_cost_ms(latency_target),
            downstream_costs,
        )

    async def _send(self, call: OutgoingCall, candidate: Candidate) -> Outcome:
        now = time.monotonic()
        remaining = call.deadline - now
        if remaining <= 0:
            raise not_run(Reason.DEADLINE_EXCEEDED, "no time is left to send it")
        peer = None
        instance = self._backend.instance
        if candidate.name != self._node:
            peer = self._fleet.get(candidate.name)
            if peer is None:
                raise not_run(Reason.CONNECTION_LOST, "the node is gone")
            instance = peer.state.instance
        message = Call(
            0,
            instance,
            call.route.name,
            call.request_id,
            # Whole milliseconds, which take three bytes and not nine.
            int(remaining * 1000),
            int((call.latency_target_at - now) * 1000),
            call.route.idempotent,
            call.nested,
            call.head,
            call.body,
        )
        call.sent = True
        call.node = candidate.name
        if peer is not None:
            answer = await peer.call(message)
            return Outcome(
                answer.status, answer.head, answer.body, answer.signed, candidate.name
            )
        served = await self.serve(message)
        return Outcome(
            served.status,
            served.answer.head,
            served.body,
            served.answer.signed,
            candidate.name,
        )

    async def serve(self, message: Call) -> ServedAnswer:
        """Run a call on the own backend server, for this node or another.

        Raises:
            Refusal: With the verdict that holds for it.
        """
        remaining = message.remaining_ms / 1000
        # Whoever sent it cancels it when its time is up; a timer of its own for each
        # call would cost as much as half of the work on it.
        return await self._backend.serve(message, remaining)


def draw_retry_after(remaining: float, rng: random.Random) -> float:
    """Return seconds after which a refused caller should come back.

    Callers wait as told for up to a third of what they have left, and are served in
    time if they come back in the first part of it. Spread, so that those refused
    together do not come back together.

    Args:
        remaining: Seconds that the caller has left.
        rng: Draws.
    """
    max_retry_after = remaining / 3
    return rng.uniform(0.25, 0.9) * max_retry_after
