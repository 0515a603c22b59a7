"""Sends a call to one backend server after another until one has answered."""

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
from .call import Answer, Call
from .relay import Relay
from .routing import Router

# Of these a throttled call is told one at random, so that callers spread.
THROTTLED_RETRY_SECONDS = (0.5, 1.5)
UNREACHED = frozenset({Reason.CONNECTION_LOST, Reason.ANSWER_BROKEN})


class RetryShare:
    """Keeps a node's retries for each workspace under a share of its first attempts.

    Retry tokens bound what one root call may cost. When every call fails at once,
    each spends all of its tokens, and that much more load keeps the overload up
    after its cause has gone; this bound then leaves hardly any. Workspaces are
    counted apart: the retries of one whose calls are shed in numbers must not leave
    none for the others.

    Args:
        share: Retries per first attempt.
    """

    RESERVE = 5.0
    WORKSPACES_KEPT = 4096

    def __init__(self, share: float):
        self._share = share
        self._levels: collections.OrderedDict[str, float] = collections.OrderedDict()

    def note_first(self, workspace: str) -> None:
        """Count a first attempt."""
        level = self._levels.pop(workspace, self.RESERVE)
        self._levels[workspace] = min(self.RESERVE, level + self._share)
        if len(self._levels) > self.WORKSPACES_KEPT:
            self._levels.popitem(last=False)

    def take(self, workspace: str) -> bool:
        """Take one retry, if there is one."""
        level = self._levels.get(workspace, self.RESERVE)
        if level < 1:
            return False
        self._levels[workspace] = level - 1
        return True


class Dispatcher:
    """Chooses, sends, and tries elsewhere as far as verdicts and bounds allow.

    Args:
        members: This node and the others.
        router: Chooses.
        backend: The backend server beside this node.
        relay: Reaches the others.
        share: The node's bound on retries.
        throttle: Knows what is being shed further on.
        journal: Told of members that are left out.
        metrics: Counts.
    """

    def __init__(
        self,
        members: Members,
        router: Router,
        backend: BackendServer,
        relay: Relay,
        share: RetryShare,
        throttle: Throttle,
        journal: Journal,
        metrics: Metrics,
    ):
        self._members = members
        self._router = router
        self._backend = backend
        self._relay = relay
        self._share = share
        self._throttle = throttle
        self._journal = journal
        self._metrics = metrics

    async def dispatch(self, call: Call, still_allowed: Callable[[], None]) -> Answer:
        """Get a call answered.

        Args:
            call: The call.
            still_allowed: Raises a refusal where the call may not go on.

        Raises:
            Refusal: The last one, with a verdict that holds for all attempts.
        """
        if not self._throttle.admits(call.service, call.context):
            self._metrics.throttled.inc()
            raise not_run(
                Reason.OVERLOADED,
                "calls like this one are being shed further on",
                random.uniform(*THROTTLED_RETRY_SECONDS),
            )
        try:
            answer = await self._try_until_answered(call, still_allowed)
        except Refusal as refusal:
            self._note_end(call, refusal.reason in LOAD_SHEDDING_REASONS)
            raise
        self._note_end(call, answer.shed)
        return answer

    def _note_end(self, call: Call, shed: bool) -> None:
        if shed:
            self._throttle.note_shed(call.service, call.context)
        else:
            self._throttle.note_accepted(call.service, call.context)

    async def _try_until_answered(
        self, call: Call, still_allowed: Callable[[], None]
    ) -> Answer:
        self._share.note_first(call.context.workspace)
        refused: set[str] = set()
        verdict = Verdict.NOT_RUN
        while True:
            member = self._router.choose(call.service, refused)
            if member is None:
                detail = f"no backend server of {call.service} takes calls"
                raise not_run(Reason.NO_BACKEND_SERVER, detail, retry_after=1.0)
            try:
                still_allowed()
                return await self._send(call, member)
            except Refusal as refusal:
                refused.add(member.instance)
                if refusal.verdict is not Verdict.NOT_RUN:
                    verdict = refusal.verdict
                # An attempt that was lost may have run, whatever the last one says.
                refusal.verdict = verdict
                if not self._may_retry(call, refusal, refused):
                    raise

    async def _send(self, call: Call, member: Member) -> Answer:
        peer = self._router.get_peer(member.instance)
        peer.in_flight += 1
        try:
            if member.instance == self._members.own.instance:
                answer = await self._backend.serve(call)
                self._router.note_load(peer, self._backend.load)
            else:
                self._metrics.relayed.inc()
                answer, load = await self._relay.send(call, member)
                self._router.note_load(peer, load)
        except Refusal as refusal:
            self._note_refusal(member, refusal)
            raise
        finally:
            peer.in_flight -= 1
        self._router.note_success(peer)
        return answer

    def _note_refusal(self, member: Member, refusal: Refusal) -> None:
        peer = self._router.get_peer(member.instance)
        if refusal.reason is Reason.OVERLOADED:
            # Full, whatever it said last.
            peer.told = max(peer.told, peer.limit or member.slots or 1)
            peer.load_at = time.monotonic()
        if refusal.reason not in UNREACHED:
            return
        seconds = self._router.note_failure(peer)
        if seconds:
            self._journal.emit(
                PEER_EJECTED, member=member.instance, seconds=round(seconds, 2)
            )

    def _may_retry(self, call: Call, refusal: Refusal, refused: set[str]) -> bool:
        lost = refusal.reason in UNREACHED and call.context.idempotent
        if not lost and refusal.reason not in RETRYABLE_REASONS:
            return False
        if refusal.verdict is not Verdict.NOT_RUN and not call.context.idempotent:
            return False
        if call.context.remaining <= 0 or not call.body.replayable:
            return False
        if self._router.choose(call.service, refused) is None:
            return False
        if call.context.retry_tokens <= 0:
            self._metrics.retries_denied.labels("tokens").inc()
            return False
        if not self._share.take(call.context.workspace):
            self._metrics.retries_denied.labels("share").inc()
            return False
        call.context.retry_tokens -= 1
        self._metrics.retries.inc()
        return True
