"""Limits the rate of root calls at a node, with tokens prefetched from holders."""

import asyncio
import math
import random
from collections.abc import Callable

from ..document.document import Rate
from ..fleet.control import ControlClient, PeerError
from ..fleet.members import Members
from ..observe.metrics import Metrics
from ..proto import control_pb2 as pb
from ..verdicts import not_run, Reason
from .clock import read_clock
from .holder import Holder, OVER_RATE_FACTOR
from .lease import get_partition, Partitions
from .quota import DemandEstimator
from .running_clock import RunningClock
from .token_reserve import TokenBatch, TokenReserve

GRANT_TIMEOUT_SECONDS = 0.6
# Each request asks for the tokens that the node's demand needs for this time. If it
# asked for more, tokens would be unused at one node while another refuses calls.
PREFETCH_SECONDS = 0.1
DEMAND_SMOOTHING_SECONDS = 0.5
MAX_SAME_ZONE_HOLDERS = 2
NO_HOLDER_RETRY_AFTER_SECONDS = 1.0
# While no holder can be reached, calls wait at most this long before they are refused:
# part of the lease duration, within which a lost holder is replaced. Pauses of this
# process do not count: leases may lapse in them, and are acquired again after them.
MAX_HANDOVER_WAIT_SECONDS = 1.0
HOLDER_RETRY_SECONDS = 0.1
# Time for which a holder's denial also applies to the node's other calls.
DENIAL_CACHE_SECONDS = 0.02


class Denial:
    """A denied token.

    Args:
        retry_after: Seconds after which a token may be available; negative if no holder
            was reached.
        detail: What the nodes answered that may hold the rate; empty if one holds it.
        reusable_until: Time until which it also applies to the node's other calls.
    """

    __slots__ = ("detail", "retry_after", "reusable_until")

    def __init__(
        self,
        retry_after: float,
        detail: str = "",
        reusable_until: float = -math.inf,
    ):
        self.retry_after = retry_after
        self.detail = detail
        self.reusable_until = reusable_until


class WorkspaceState:
    """A node's tokens of one workspace, and its requests for more."""

    __slots__ = (
        "demand",
        "denial",
        "refill_task",
        "reserve",
        "waiting_calls",
    )

    def __init__(self) -> None:
        self.reserve = TokenReserve()
        self.demand = DemandEstimator(DEMAND_SMOOTHING_SECONDS)
        self.waiting_calls = 0
        self.denial: Denial | None = None
        self.refill_task: asyncio.Task[None] | None = None


class RateLimiter:
    """Spends one token per root call.

    Args:
        members: Members of the fleet, with the addresses of holders.
        partitions: Ranks the instances that should hold each partition.
        holder: This instance's own holder, called directly.
        client: Sends requests to other holders.
        get_rate: Returns a workspace's rate, None if it is not limited.
        metrics: Counts tokens.
        running_clock: Leaves out the time in which this process does not run.
    """

    def __init__(
        self,
        members: Members,
        partitions: Partitions,
        holder: Holder,
        client: ControlClient,
        get_rate: Callable[[str], Rate | None],
        metrics: Metrics,
        running_clock: RunningClock,
    ):
        self._members = members
        self._partitions = partitions
        self._holder = holder
        self._client = client
        self._get_rate = get_rate
        self._metrics = metrics
        self._running_clock = running_clock
        self._states: dict[str, WorkspaceState] = {}

    async def charge(self, workspace: str, max_wait: float) -> None:
        """Spend a token of the workspace.

        Args:
            workspace: Workspace of the root call.
            max_wait: Maximum time to wait for a token, in seconds.

        Raises:
            Refusal: ``not run``: the workspace is over its rate, ``max_wait`` passed,
                or no holder can be reached.
        """
        rate = self._get_rate(workspace)
        if rate is None:
            return
        state = self._states.get(workspace)
        if state is None:
            state = self._states[workspace] = WorkspaceState()
        state.demand.record(1.0)
        if state.reserve.spend(1.0, read_clock()):
            self._metrics.tokens.labels("spent").inc()
            self._prefetch(workspace, state)
            return
        is_over_rate = state.demand.estimate() > OVER_RATE_FACTOR * rate.per_second
        denial = state.denial
        if is_over_rate and denial and read_clock() < denial.reusable_until:
            # Reuses a recent denial: a workspace far over its rate must not cause a
            # message per call.
            self._raise_denial(state)
        await self._wait_for_token(workspace, state, max_wait)
        self._metrics.tokens.labels("spent").inc()

    async def _wait_for_token(
        self, workspace: str, state: WorkspaceState, max_wait: float
    ) -> None:
        state.waiting_calls += 1
        handover_deadline = self._running_clock.read() + MAX_HANDOVER_WAIT_SECONDS
        try:
            async with asyncio.timeout(max_wait):
                while not state.reserve.spend(1.0, read_clock()):
                    state.denial = None
                    self._start_refill(workspace, state)
                    assert state.refill_task is not None
                    await asyncio.shield(state.refill_task)
                    if state.reserve.spend(1.0, read_clock()):
                        return
                    if (
                        self._is_holder_unreachable(state)
                        and self._running_clock.read() < handover_deadline
                    ):
                        await asyncio.sleep(HOLDER_RETRY_SECONDS)
                        continue
                    self._raise_denial(state)
        except TimeoutError as error:
            raise not_run(
                Reason.DEADLINE_EXCEEDED, "no rate token before the deadline"
            ) from error
        finally:
            state.waiting_calls -= 1

    def _is_holder_unreachable(self, state: WorkspaceState) -> bool:
        """Whether the last refill reached no holder, as while one is replaced."""
        return state.denial is not None and state.denial.retry_after < 0

    def _raise_denial(self, state: WorkspaceState) -> None:
        """Raise the last refill's denial, if any.

        Without a denial the refill got tokens, but other calls have spent them.
        """
        denial = state.denial
        if denial is None:
            return
        self._metrics.tokens.labels("denied").inc()
        if denial.retry_after < 0:
            detail = "no node that holds the workspace's rate can be reached"
            if denial.detail:
                detail += f": {denial.detail}"
            raise not_run(
                Reason.RATE_UNAVAILABLE, detail, NO_HOLDER_RETRY_AFTER_SECONDS
            )
        retry_after = denial.retry_after * random.uniform(1.0, 1.5)
        raise not_run(
            Reason.RATE_EXCEEDED, "the workspace is over its rate", retry_after
        )

    def _prefetch(self, workspace: str, state: WorkspaceState) -> None:
        """Request tokens before the last one is spent, if the demand is high enough."""
        prefetch_tokens = state.demand.estimate() * PREFETCH_SECONDS
        if (
            prefetch_tokens > 2
            and state.reserve.count(read_clock()) < prefetch_tokens / 2
        ):
            self._start_refill(workspace, state)

    def _start_refill(self, workspace: str, state: WorkspaceState) -> None:
        if state.refill_task is None or state.refill_task.done():
            state.refill_task = asyncio.create_task(self._refill(workspace, state))

    async def _refill(self, workspace: str, state: WorkspaceState) -> None:
        wanted = max(
            1.0, state.waiting_calls, state.demand.estimate() * PREFETCH_SECONDS
        )
        answers = []
        for address, instance in self._list_holders(workspace):
            reply, sent_at = await self._request_grant(
                workspace, state, wanted, address, instance
            )
            if reply is None:
                answers.append(f"{instance} did not answer")
                continue
            if not reply.holder:
                answers.append(f"{instance} may not grant")
                continue
            if reply.tokens > 0:
                expires_at = sent_at + reply.life_ms / 1000
                batch = TokenBatch(reply.grant, reply.tokens, expires_at, address)
                state.reserve.add(batch)
                self._metrics.tokens.labels("granted").inc(reply.tokens)
                return
            state.denial = Denial(
                reply.retry_after_ms / 1000,
                reusable_until=read_clock() + DENIAL_CACHE_SECONDS,
            )
            return
        state.denial = Denial(-1.0, ", ".join(answers))

    async def _request_grant(
        self,
        workspace: str,
        state: WorkspaceState,
        wanted: float,
        address: str,
        instance: str,
    ) -> tuple[pb.GrantReply | None, float]:
        spent = state.reserve.take_spent(address)
        request = pb.GrantRequest(workspace=workspace, wanted=wanted, spent=spent)
        sent_at = read_clock()
        if instance == self._members.own.instance:
            return await self._holder.grant(request), sent_at
        try:
            reply = await self._client.call(
                address, "Grant", request, GRANT_TIMEOUT_SECONDS, instance
            )
        except PeerError:
            return None, sent_at
        return reply, sent_at

    def _list_holders(self, workspace: str) -> list[tuple[str, str]]:
        """Return addresses and names of possible holders, this zone's first."""
        own_zone = self._members.own.zone
        partition = get_partition(workspace)
        names = self._partitions.rank(own_zone, partition)[:MAX_SAME_ZONE_HOLDERS]
        zones = sorted(set(self._members.zones) - {own_zone})
        random.shuffle(zones)
        for zone in zones:
            names += self._partitions.rank(zone, partition)[:1]
        members = [self._members.get(name) for name in names]
        return [(m.control, m.instance) for m in members if m is not None]
