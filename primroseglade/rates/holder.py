"""Holds the token buckets of the partitions leased to this instance."""

import asyncio
import math
import random
from collections.abc import Callable

from ..fleet.control import ControlClient, ControlServer, PeerError
from ..fleet.members import Members
from ..proto import control_pb2 as pb
from .bucket import Bucket
from .clock import read_clock
from .lease import Candidate, get_partition, Lease, Partitions
from .quota import Entitlement, LoanPart, WorkspaceTokens
from .token_reserve import ROUNDING_TOLERANCE, TokenBatch

LOAN_TIMEOUT_SECONDS = 0.25
# Loans ahead of time cover the demand above the zone's own rate for this long.
BORROW_AHEAD_SECONDS = 0.3
# Maximum fraction of the bucket's level that one grant takes, so that some remains for
# other nodes.
MAX_GRANT_RATIO = 0.5
MAX_RETRY_AFTER_SECONDS = 5.0
# Rounds of loans per request: if enough was lent but other requests took the tokens,
# the next round follows immediately.
MAX_LOAN_ROUNDS = 3
# If a round of loans yields less than a token and the workspace's demand is above this
# multiple of its rate, no loans are requested for the time of the pause.
OVER_RATE_FACTOR = 1.1
BORROWING_PAUSE_SECONDS = 0.05
# Requests of a workspace within its rate wait at most this long for a token to accrue.
MAX_ACCRUAL_WAIT_SECONDS = 0.1
# Maximum number of grants of borrowed tokens that are tracked until a node reports them
# spent. Beyond it the oldest are dropped; they have expired.
MAX_TRACKED_GRANTS = 1024
MIN_RETRY_AFTER_SECONDS = 0.05


class Holder:
    """Grants tokens to the zone's nodes and lends them to other zones' holders.

    Args:
        members: Members of the fleet, with the addresses of holders.
        partitions: Ranks the instances that should hold each partition.
        candidate: Keeps the leases of this instance.
        client: Sends requests to other zones' holders.
        get_entitlement: Returns a workspace's rates and burst, None if it has no limit.
        grant_lifetime: Seconds in which granted tokens may be spent.
    """

    def __init__(
        self,
        members: Members,
        partitions: Partitions,
        candidate: Candidate,
        client: ControlClient,
        get_entitlement: Callable[[str], Entitlement | None],
        grant_lifetime: float,
    ):
        self._members = members
        self._partitions = partitions
        self._candidate = candidate
        self._client = client
        self._get_entitlement = get_entitlement
        self._grant_lifetime = grant_lifetime
        self._states: dict[str, WorkspaceTokens] = {}

    def register(self, server: ControlServer) -> None:
        """Register handlers of grants and loans."""
        server.register("Grant", self._handle_grant)
        server.register("Loan", self._handle_loan)

    def start_lease(self, lease: Lease) -> None:
        """Reset the buckets of a partition whose lease was just acquired."""
        for workspace in list(self._states):
            if get_partition(workspace) == lease.partition:
                del self._states[workspace]

    def apply_entitlements(self) -> None:
        """Apply the rates in the configuration document to the buckets."""
        now = read_clock()
        for workspace, state in list(self._states.items()):
            entitlement = self._get_entitlement(workspace)
            if entitlement is None:
                del self._states[workspace]
            else:
                state.bucket.update(entitlement.rate, entitlement.burst, now)
                state.fleet_rate = entitlement.fleet_rate

    async def grant(self, request: pb.GrantRequest) -> pb.GrantReply:
        """Grant tokens of this zone and tokens borrowed from other zones."""
        state = self._find_state(request.workspace)
        if state is None:
            return pb.GrantReply(holder=False)
        now = read_clock()
        for grant_id in request.spent:
            state.bucket.record_spent(grant_id, now)
            for part in state.loans_by_grant.pop(grant_id, ()):
                state.spent_loans.setdefault(part.zone, []).append(part)
        state.demand.record(request.wanted)
        reply = self._grant_tokens(state, request.wanted)
        if reply is not None:
            self._borrow_ahead(request.workspace, state)
        rounds = 0
        while (
            reply is None
            and rounds < MAX_LOAN_ROUNDS
            and now >= state.borrowing_paused_until
        ):
            rounds += 1
            has_enough = await self._borrow(request.workspace, state, request.wanted)
            # The lease may have ended during the wait.
            if self._find_state(request.workspace) is not state:
                return pb.GrantReply(holder=False)
            reply = self._grant_tokens(state, request.wanted)
            if reply is None and not has_enough and self._is_over_rate(state):
                # Less than a whole token was lent. Further requests would only move
                # fractions back and forth between zones, and delay the denial.
                state.borrowing_paused_until = read_clock() + BORROWING_PAUSE_SECONDS
        if reply is None and not state.bucket.is_unblocked(read_clock()):
            # Not a denial: this holder must not grant before its predecessor's grants
            # have expired, so it replies as if it were not the holder.
            return pb.GrantReply(holder=False)
        if reply is None and not self._is_over_rate(state):
            reply = await self._wait_for_accrual(request, state)
        return reply or self._build_denial(state)

    def holds(self, workspace: str) -> bool:
        """Whether this instance now grants the workspace's tokens in this zone."""
        state = self._find_state(workspace)
        return state is not None and state.bucket.is_unblocked(read_clock())

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the state of each workspace's tokens, for the operator address."""
        now = read_clock()
        described = {}
        for workspace, state in self._states.items():
            if self._find_state(workspace) is None:
                continue
            state.bucket.accrue(now)
            described[workspace] = {
                "level": round(state.bucket.level, 3),
                "out": round(state.bucket.outstanding, 3),
                "borrowed": round(state.borrowed.count(now), 3),
                "rate": state.bucket.rate,
                "demand": round(state.demand.estimate(), 3),
            }
        return described

    async def _handle_grant(self, request: pb.GrantRequest, _: str) -> pb.GrantReply:
        return await self.grant(request)

    async def _handle_loan(self, request: pb.LoanRequest, _: str) -> pb.LoanReply:
        state = self._find_state(request.workspace)
        if state is None:
            return pb.LoanReply()
        now = read_clock()
        for part in request.spent:
            state.bucket.record_spent(part.loan, now, part.tokens)
        grant = state.bucket.grant(request.wanted, self._grant_lifetime, now)
        if grant is None:
            return pb.LoanReply()
        life_ms = int(self._grant_lifetime * 1000)
        return pb.LoanReply(tokens=grant.tokens, life_ms=life_ms, loan=grant.id)

    def _grant_tokens(
        self, state: WorkspaceTokens, wanted: float
    ) -> pb.GrantReply | None:
        """Return a grant of whole tokens, or None if less than one is available."""
        now = read_clock()
        bucket = state.bucket
        bucket.accrue(now)
        max_tokens = math.floor(min(wanted, max(1.0, bucket.level * MAX_GRANT_RATIO)))
        # The zone's own tokens are granted only if none are borrowed: borrowed tokens
        # expire, those in the bucket do not.
        if bucket.level >= 1 and state.borrowed.count(now) < 1:
            grant = bucket.grant(max_tokens, self._grant_lifetime, now)
            assert grant is not None
            return pb.GrantReply(
                grant=grant.id,
                tokens=grant.tokens,
                life_ms=int(self._grant_lifetime * 1000),
                holder=True,
            )
        return self._grant_borrowed(state, wanted, now)

    def _grant_borrowed(
        self, state: WorkspaceTokens, wanted: float, now: float
    ) -> pb.GrantReply | None:
        """Grant whole tokens: borrowed ones, topped up from this zone's bucket."""
        bucket = state.bucket
        available = state.borrowed.count(now) + bucket.level
        whole_tokens = math.floor(min(wanted, available) + ROUNDING_TOLERANCE)
        if whole_tokens < 1:
            return None
        tokens = 0.0
        parts = []
        earliest_expiry = now + self._grant_lifetime
        while tokens < whole_tokens - ROUNDING_TOLERANCE:
            batch = state.borrowed.take_oldest(now)
            if batch is None:
                break
            borrowed_tokens = min(batch.tokens, whole_tokens - tokens)
            tokens += borrowed_tokens
            parts.append(LoanPart(batch.source, batch.grant, borrowed_tokens))
            earliest_expiry = min(earliest_expiry, batch.expires_at)
            if batch.tokens > borrowed_tokens:
                batch.tokens -= borrowed_tokens
                state.borrowed.add(batch)
        if tokens < whole_tokens - ROUNDING_TOLERANCE:
            own_grant = bucket.grant(whole_tokens - tokens, self._grant_lifetime, now)
            tokens += own_grant.tokens if own_grant else 0.0
        if tokens + ROUNDING_TOLERANCE < whole_tokens:
            return None
        grant_id = Bucket.make_id()
        state.loans_by_grant[grant_id] = parts
        while len(state.loans_by_grant) > MAX_TRACKED_GRANTS:
            state.loans_by_grant.popitem(last=False)
        life_ms = int((earliest_expiry - now) * 1000)
        return pb.GrantReply(
            grant=grant_id, tokens=whole_tokens, life_ms=life_ms, holder=True
        )

    def _borrow_ahead(self, workspace: str, state: WorkspaceTokens) -> None:
        """Borrow before this zone's bucket is empty, if demand exceeds its rate.

        Waiting until it is empty would waste tokens: other zones' full buckets accrue
        none.
        """
        tokens_to_borrow = (
            state.demand.estimate() - state.bucket.rate
        ) * BORROW_AHEAD_SECONDS
        if tokens_to_borrow > state.borrowed.count(read_clock()):
            if state.borrow_task is None or state.borrow_task.done():
                state.borrow_task = asyncio.create_task(
                    self._request_loans(workspace, state, tokens_to_borrow)
                )

    async def _wait_for_accrual(
        self, request: pb.GrantRequest, state: WorkspaceTokens
    ) -> pb.GrantReply | None:
        """Wait for the next token if it accrues soon, as after a handover.

        A new holder's bucket is empty. Without the wait of some milliseconds, calls
        within the rate would be refused.
        """
        wait_seconds = state.bucket.get_wait_seconds(1.0)
        if wait_seconds > MAX_ACCRUAL_WAIT_SECONDS:
            return None
        await asyncio.sleep(wait_seconds)
        if self._find_state(request.workspace) is not state:
            return pb.GrantReply(holder=False)
        return self._grant_tokens(state, request.wanted)

    def _is_over_rate(self, state: WorkspaceTokens) -> bool:
        """Whether this zone's demand alone exceeds the rate of the whole fleet."""
        return state.demand.estimate() > OVER_RATE_FACTOR * state.fleet_rate

    def _build_denial(self, state: WorkspaceTokens) -> pb.GrantReply:
        wait_seconds = state.bucket.get_wait_seconds(1.0)
        wait_seconds = min(
            MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait_seconds)
        )
        return pb.GrantReply(holder=True, retry_after_ms=int(wait_seconds * 1000))

    async def _borrow(
        self, workspace: str, state: WorkspaceTokens, wanted: float
    ) -> bool:
        """Borrow from other zones, in one task for all waiting requests.

        Returns:
            Whether all missing tokens were lent.
        """
        if state.borrow_task is None or state.borrow_task.done():
            missing = max(1.0, wanted) - state.bucket.level
            state.borrow_task = asyncio.create_task(
                self._request_loans(workspace, state, missing)
            )
        return await asyncio.shield(state.borrow_task)

    async def _request_loans(
        self, workspace: str, state: WorkspaceTokens, missing: float
    ) -> bool:
        """Request loans from other zones, and add them to the borrowed tokens.

        Each zone is asked for an equal part of the missing tokens at the same time;
        what is still missing then is requested from one lender after another.

        Returns:
            Whether all missing tokens were lent.
        """
        own_zone = self._members.own.zone
        zones = _shuffle(set(self._members.zones) - {own_zone})
        if not zones:
            return False
        missing -= state.borrowed.count(read_clock())
        tokens_per_zone = max(ROUNDING_TOLERANCE, missing / len(zones))
        batches = await asyncio.gather(
            *(
                self._request_loan(zone, workspace, state, tokens_per_zone)
                for zone in zones
            )
        )
        lenders = []
        for zone, batch in zip(zones, batches, strict=True):
            if batch is not None:
                state.borrowed.add(batch)
                missing -= batch.tokens
                lenders.append(zone)
        for zone in lenders:
            if missing <= ROUNDING_TOLERANCE:
                break
            batch = await self._request_loan(zone, workspace, state, missing)
            if batch is not None:
                state.borrowed.add(batch)
                missing -= batch.tokens
        return missing <= ROUNDING_TOLERANCE

    async def _request_loan(
        self, zone: str, workspace: str, state: WorkspaceTokens, wanted: float
    ) -> TokenBatch | None:
        spent = [
            pb.SpentLoan(loan=part.loan, tokens=part.tokens)
            for part in state.spent_loans.pop(zone, ())
        ]
        request = pb.LoanRequest(workspace=workspace, wanted=wanted, spent=spent)
        candidates = self._partitions.rank(zone, get_partition(workspace))
        member = self._members.get(candidates[0]) if candidates else None
        if member is None:
            return None
        sent_at = read_clock()
        try:
            reply = await self._client.call(
                member.control, "Loan", request, LOAN_TIMEOUT_SECONDS, member.instance
            )
        except PeerError:
            # Tokens in a lost reply cannot be spent; they expire at the lender.
            return None
        # The lifetime is counted from before the request was sent, so that the tokens
        # expire here before they expire at the lender.
        expires_at = sent_at + reply.life_ms / 1000
        if reply.tokens <= 0:
            return None
        return TokenBatch(reply.loan, reply.tokens, expires_at, zone)

    def _find_state(self, workspace: str) -> WorkspaceTokens | None:
        """Return the state of a workspace's tokens, None without a lease or rate."""
        lease = self._candidate.find_lease(get_partition(workspace))
        entitlement = self._get_entitlement(workspace)
        if lease is None or entitlement is None:
            return None
        state = self._states.get(workspace)
        if state is None:
            # A previous holder's tokens may be spent until its last grant expires, at
            # most one grant lifetime after this lease was acquired.
            blocked_until = lease.acquired_at + self._grant_lifetime
            bucket = Bucket(
                entitlement.rate, entitlement.burst, lease.acquired_at, blocked_until
            )
            state = WorkspaceTokens(bucket, entitlement.fleet_rate)
            self._states[workspace] = state
        return state


def _shuffle(zones: set[str]) -> list[str]:
    names = sorted(zones)
    random.shuffle(names)
    return names
