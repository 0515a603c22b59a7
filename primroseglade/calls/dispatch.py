"""Dispatches calls to backend servers, with retries on other instances."""

import collections
import random
import time
from collections.abc import Callable

from ..fleet.members import Member, Members
from ..limits.throttle import Throttle
from ..observe.events import Journal, PEER_EJECTED
from ..observe.metrics import Metrics
from ..verdicts import (
    LOAD_SHEDDING_REASONS,
    not_run,
    Reason,
    Refusal,
    RETRYABLE_REASONS,
    Verdict,
)
from .backend import BackendServer
from .call import Call, Reply
from .relay import Relay
from .routing import Router

# Range of the random Retry-After of throttled calls, which spreads the retries out.
THROTTLED_RETRY_AFTER_SECONDS = (0.5, 1.5)
# Reasons that count as a failure of the connection to the backend server.
CONNECTION_FAILURE_REASONS = frozenset({Reason.CONNECTION_LOST, Reason.ANSWER_BROKEN})


class RetryBudget:
    """Limits a node's retries for each workspace to a ratio of its first attempts.

    Retry tokens limit the retries of one root call only. If all calls fail at once,
    each spends all of its tokens, and the additional load sustains the overload after
    its cause has gone. This budget then allows hardly any retries. It is kept per
    workspace, so that one whose calls are shed in large numbers cannot use up the
    retries of the others.

    Args:
        ratio: Retries allowed per first attempt.
    """

    # Initial and maximum number of retries available to a workspace.
    MAX_BALANCE = 5.0
    # Workspaces tracked; beyond this, the least recently active one is evicted.
    MAX_WORKSPACES = 4096

    def __init__(self, ratio: float):
        self._ratio = ratio
        self._balances: collections.OrderedDict[str, float] = collections.OrderedDict()

    def record_first_attempt(self, workspace: str) -> None:
        """Record a first attempt, which adds ``ratio`` retries to the budget."""
        balance = self._balances.pop(workspace, self.MAX_BALANCE)
        self._balances[workspace] = min(self.MAX_BALANCE, balance + self._ratio)
        if len(self._balances) > self.MAX_WORKSPACES:
            self._balances.popitem(last=False)

    def try_spend(self, workspace: str) -> bool:
        """Spend one retry if the budget allows it, and return whether it did."""
        balance = self._balances.get(workspace, self.MAX_BALANCE)
        if balance < 1:
            return False
        self._balances[workspace] = balance - 1
        return True


class Dispatcher:
    """Sends each call to a backend server, and retries it on another if allowed.

    Args:
        members: The members of the fleet.
        router: Chooses the backend server.
        backend: The backend server of this node.
        relay: Sends calls to other nodes.
        retry_budget: Limits the retries of this node.
        throttle: Refuses calls of the kinds that later hops are shedding.
        journal: Logs ejections.
        metrics: Counts relayed, retried and throttled calls.
    """

    def __init__(
        self,
        members: Members,
        router: Router,
        backend: BackendServer,
        relay: Relay,
        retry_budget: RetryBudget,
        throttle: Throttle,
        journal: Journal,
        metrics: Metrics,
    ):
        self._members = members
        self._router = router
        self._backend = backend
        self._relay = relay
        self._retry_budget = retry_budget
        self._throttle = throttle
        self._journal = journal
        self._metrics = metrics

    async def dispatch(self, call: Call, check_key: Callable[[], None]) -> Reply:
        """Send a call, with retries, and return the reply.

        Args:
            call: The call.
            check_key: Raises a refusal if the call's key has been withdrawn; called
                before each attempt.

        Raises:
            Refusal: That of the last attempt, with a verdict that covers all attempts.
        """
        if not self._throttle.admits(call.service, call.context):
            self._metrics.throttled.inc()
            raise not_run(
                Reason.OVERLOADED,
                "calls of this kind are being shed downstream",
                random.uniform(*THROTTLED_RETRY_AFTER_SECONDS),
            )
        try:
            reply = await self._send_with_retries(call, check_key)
        except Refusal as refusal:
            self._record_outcome(call, refusal.reason in LOAD_SHEDDING_REASONS)
            raise
        self._record_outcome(call, reply.shed)
        return reply

    def _record_outcome(self, call: Call, shed: bool) -> None:
        if shed:
            self._throttle.record_shed(call.service, call.context)
        else:
            self._throttle.record_accepted(call.service, call.context)

    async def _send_with_retries(
        self, call: Call, check_key: Callable[[], None]
    ) -> Reply:
        self._retry_budget.record_first_attempt(call.context.workspace)
        excluded: set[str] = set()
        verdict = Verdict.NOT_RUN
        while True:
            member = self._router.choose(call.service, excluded)
            if member is None:
                detail = f"no backend server of {call.service} accepts calls"
                raise not_run(Reason.NO_BACKEND_SERVER, detail, retry_after=1.0)
            try:
                check_key()
                return await self._send(call, member)
            except Refusal as refusal:
                excluded.add(member.instance)
                if refusal.verdict is not Verdict.NOT_RUN:
                    verdict = refusal.verdict
                # An earlier attempt may have run even if the last one did not.
                refusal.verdict = verdict
                if not self._try_reserve_retry(call, refusal, excluded):
                    raise

    async def _send(self, call: Call, member: Member) -> Reply:
        stats = self._router.get_stats(member.instance)
        stats.in_flight += 1
        try:
            if member.instance == self._members.own.instance:
                reply = await self._backend.serve(call)
                self._router.update_load(stats, self._backend.load)
            else:
                self._metrics.relayed.inc()
                reply, load = await self._relay.send(call, member)
                self._router.update_load(stats, load)
        except Refusal as refusal:
            self._record_refusal(member, refusal)
            raise
        finally:
            stats.in_flight -= 1
        self._router.record_success(stats)
        return reply

    def _record_refusal(self, member: Member, refusal: Refusal) -> None:
        stats = self._router.get_stats(member.instance)
        if refusal.reason is Reason.OVERLOADED:
            # Treat the member as full, regardless of the load it last reported.
            stats.reported_calls = max(
                stats.reported_calls, stats.concurrency_limit or member.slots or 1
            )
            stats.reported_at = time.monotonic()
        if refusal.reason not in CONNECTION_FAILURE_REASONS:
            return
        seconds = self._router.record_failure(stats)
        if seconds:
            self._journal.emit(
                PEER_EJECTED, member=member.instance, seconds=round(seconds, 2)
            )

    def _try_reserve_retry(
        self, call: Call, refusal: Refusal, excluded: set[str]
    ) -> bool:
        retryable_failure = (
            refusal.reason in CONNECTION_FAILURE_REASONS and call.context.idempotent
        )
        if not retryable_failure and refusal.reason not in RETRYABLE_REASONS:
            return False
        if refusal.verdict is not Verdict.NOT_RUN and not call.context.idempotent:
            return False
        if call.context.remaining <= 0 or not call.body.replayable:
            return False
        if self._router.choose(call.service, excluded) is None:
            return False
        if call.context.retry_tokens <= 0:
            self._metrics.retries_denied.labels("tokens").inc()
            return False
        if not self._retry_budget.try_spend(call.context.workspace):
            self._metrics.retries_denied.labels("share").inc()
            return False
        call.context.retry_tokens -= 1
        self._metrics.retries.inc()
        return True
