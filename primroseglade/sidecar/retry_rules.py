"""Decides whether a call is sent again after a failed attempt."""

import time

from ..verdicts import Reason, SUSPECT_REASONS, Verdict
from .backend_queue import BackendQueue
from .call_graph import CallGraph
from .fleet import Fleet
from .outgoing_call import Attempts, OutgoingCall
from .retry_budget import RetryBudget

# Maximum number of nodes tried for a call that has reached no backend server. Under
# overload all nodes refuse, and trying all of them would cost more than serving the
# calls.
MAX_NODES_TRIED = 3
# Above this failure ratio of a service, nested calls to it (calls that a backend server
# makes) are not retried: a request makes several of them and fails if any one does, so
# that retrying one rarely saves the request. The retry budget is left to callers' own
# requests.
NESTED_RETRY_MAX_FAILURE_RATIO = 0.2


class RetryRules:
    """Decides on further attempts of the calls that this node sends.

    Args:
        queue: Calls at the local backend server.
        fleet: The other nodes.
        graph: Provides the downstream calls that a retry makes again.
        retry_budget: Limits retries.
    """

    __slots__ = ("_fleet", "_graph", "_queue", "_retry_budget")

    def __init__(
        self,
        queue: BackendQueue,
        fleet: Fleet,
        graph: CallGraph,
        retry_budget: RetryBudget,
    ):
        self._queue = queue
        self._fleet = fleet
        self._graph = graph
        self._retry_budget = retry_budget

    def may_attempt_again(self, call: OutgoingCall, attempts: Attempts) -> bool:
        """Return whether to try another node after a failed attempt.

        An attempt counts as a retry only if the one before it reached a backend server.
        """
        if not attempts.last_reached_backend:
            if call.suspect and Reason.from_code(attempts.reason) in SUSPECT_REASONS:
                # The trial has waited too long for another one, which still runs.
                return False
            return len(attempts.tried) < MAX_NODES_TRIED
        if attempts.verdict is not Verdict.NOT_RUN and not call.route.idempotent:
            return False
        return self._may_retry(call, attempts.backends_reached)

    def _may_retry(self, call: OutgoingCall, backends_reached: int) -> bool:
        """Return whether a retry may be sent, and charge the retry budget if so."""
        if backends_reached >= call.route.max_attempts:
            return False
        if call.deadline - time.monotonic() < self._queue.service_seconds / 4:
            return False
        if (
            call.nested
            and self._fleet.get_failure_ratio(call.service)
            > NESTED_RETRY_MAX_FAILURE_RATIO
        ):
            return False
        expected_calls = self._graph.get_expected_calls(call.route.name, call.service)
        return self._retry_budget.try_spend(
            expected_calls, len(self._fleet), time.monotonic()
        )
