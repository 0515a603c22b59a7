"""Token buckets of all workspaces at the token holder of an availability zone."""

from collections.abc import Iterator

from .frames import TokenLimits, TokenRequest
from .retry_budget import SlidingCount
from .share_leases import LeaseTable

# Tokens granted ahead of need are returned or void after this time.
PREFETCHED_TOKEN_SECONDS = 0.5
# Part of a bucket below which nothing is granted ahead of need, and tokens are borrowed
# that would exceed the capacity elsewhere.
RESERVED_CAPACITY_RATIO = 0.5
# Demand is averaged over this time.
DEMAND_WINDOW_SECONDS = 2.0
# Tokens for the own demand of this time are not lent.
LOAN_RESERVE_SECONDS = 0.05
# Tokens are borrowed for the own demand of this time.
BORROW_AHEAD_SECONDS = 0.25
# Less than this part of a token is not lent.
MIN_LOAN_TOKENS = 0.05
# Absorbs rounding errors of sums of fractions.
EPSILON = 1e-9


class Bucket:
    """Tokens of one workspace.

    Attributes:
        limits: Enforced rate and burst of the whole fleet.
        tokens: Left for this holder.
        demand: Calls for which tokens were asked lately.
        seconds: Seconds of the whole rate up to which the bucket is filled.
        initial_share: Part of the share lent at the start for which it is filled.
        ahead: Expiry and number of the tokens granted ahead of need, by entry. Until
            they are spent or expire they count as stored here.
    """

    __slots__ = ("demand", "initial_share", "limits", "prefetched", "seconds", "tokens")

    def __init__(self, limits: TokenLimits, seconds: float):
        self.limits = limits
        self.tokens = 0.0
        self.demand = SlidingCount(DEMAND_WINDOW_SECONDS)
        self.seconds = seconds
        self.initial_share = 0.0
        self.prefetched: dict[str, tuple[float, int]] = {}

    def count_prefetched(self, now: float) -> int:
        """Return the tokens granted ahead of need that may still be unspent."""
        expired = [name for name, (until, _) in self.prefetched.items() if until <= now]
        for name in expired:
            del self.prefetched[name]
        return sum(count for _, count in self.prefetched.values())

    def get_demand(self, now: float) -> float:
        """Return calls a second."""
        return self.demand.total(now) / DEMAND_WINDOW_SECONDS


class TokenPool:
    """All buckets of one holder.

    Args:
        leases: Shares that nodes lend to this holder.
        first_start: Whether the whole fleet starts for the first time.
    """

    def __init__(self, leases: LeaseTable, first_start: bool):
        self._leases = leases
        self._first_start = first_start
        self._buckets: dict[str, Bucket] = {}
        leases.on_lease_lost = self._drop_excess

    def __iter__(self) -> Iterator[Bucket]:
        return iter(self._buckets.values())

    @property
    def share(self) -> float:
        """Fraction of each rate and burst that is held here."""
        return self._leases.share

    def record_request(self, entry: str, request: TokenRequest, now: float) -> None:
        """Take in what an entry needs, still has, and gives back."""
        bucket = self._refill(request.limits, now)
        bucket.demand.add(now, request.needed)
        grant = bucket.prefetched.get(entry)
        if grant is not None:
            bucket.prefetched[entry] = (
                grant[0],
                min(grant[1], request.unspent),
            )
        if request.returned:
            self.deposit(request.limits, request.returned, now)

    def take(
        self, limits: TokenLimits, needed: int, ahead: int, now: float, entry: str = ""
    ) -> int:
        """Take tokens for calls that wait, and for some that are expected.

        Args:
            limits: Of the workspace.
            needed: Calls that wait.
            ahead: Further calls expected soon; served from a well filled bucket only.
            now: Seconds on the monotonic clock.
            entry: Name of the node that asks.
        """
        bucket = self._refill(limits, now)
        granted = min(needed, int(bucket.tokens + EPSILON))
        if granted == needed:
            reserved = RESERVED_CAPACITY_RATIO * self._get_capacity(bucket, now)
            extra = min(ahead, int(bucket.tokens - granted - reserved))
            if extra > 0:
                _, unspent = bucket.prefetched.get(entry, (0.0, 0))
                bucket.prefetched[entry] = (
                    now + PREFETCHED_TOKEN_SECONDS,
                    unspent + extra,
                )
                granted += extra
        bucket.tokens -= granted
        return granted

    def lend(
        self, limits: TokenLimits, requested: float, urgent: bool, now: float
    ) -> float:
        """Take tokens for another holder, except those needed here soon.

        Parts of a token are lent, too: a small burst is less than a token at each
        holder.

        Args:
            limits: Of the workspace.
            wanted: Tokens, or parts of tokens.
            urgent: Whether calls wait there; else only stored tokens are lent that are
                about to exceed the capacity.
            now: Seconds on the monotonic clock.
        """
        bucket = self._refill(limits, now)
        reserved = bucket.get_demand(now) * LOAN_RESERVE_SECONDS
        if not urgent:
            reserved = max(
                reserved, RESERVED_CAPACITY_RATIO * self._get_capacity(bucket, now)
            )
        spare = bucket.tokens - reserved
        lent = min(requested, spare)
        if lent < MIN_LOAN_TOKENS:
            return 0.0
        bucket.tokens -= lent
        return lent

    def deposit(
        self, limits: TokenLimits, tokens: float, now: float, needed: int = 0
    ) -> None:
        """Add tokens of another holder, or returned ones, up to the capacity.

        Args:
            limits: Of the workspace.
            tokens: To be added.
            now: Seconds on the monotonic clock.
            needed: Calls that wait; tokens for these are not subject to the capacity.
        """
        bucket = self._refill(limits, now)
        max_tokens = max(needed, bucket.tokens, self._get_capacity(bucket, now))
        bucket.tokens = min(max_tokens, bucket.tokens + tokens)

    def count_tokens_to_borrow(
        self, limits: TokenLimits, needed: int, now: float
    ) -> float:
        """Return the tokens to borrow for calls that wait, and for those expected."""
        bucket = self._refill(limits, now)
        room = max(0.0, self._get_capacity(bucket, now) - needed)
        expected = min(room, bucket.get_demand(now) * BORROW_AHEAD_SECONDS)
        return needed + expected - bucket.tokens

    def get_reserve_shortfall(self, limits: TokenLimits, now: float) -> float:
        """Return the tokens missing to `AHEAD_LEVEL`."""
        bucket = self._refill(limits, now)
        return RESERVED_CAPACITY_RATIO * self._get_capacity(bucket, now) - bucket.tokens

    def get_remaining_tokens(self, workspace: str) -> float:
        """Return the tokens left, as of the last request."""
        bucket = self._buckets.get(workspace)
        return bucket.tokens if bucket is not None else 0.0

    def _refill(self, limits: TokenLimits, now: float) -> Bucket:
        seconds = self._leases.advance(now)
        bucket = self._buckets.get(limits.workspace)
        if bucket is None:
            bucket = self._buckets[limits.workspace] = Bucket(limits, seconds)
            # What has accrued for it without any call since a lease was last lost.
            accrued = limits.rate * self._leases.uninterrupted_seconds
            bucket.tokens = min(accrued, self._get_capacity(bucket, now))
            if not self._leases.uninterrupted:
                bucket.initial_share = self._leases.initial_share
        # Tokens borrowed for calls that wait may exceed the capacity, and stay.
        max_tokens = max(bucket.tokens, self._get_capacity(bucket, now))
        self._accrue(bucket, seconds)
        self._add_initial_tokens(bucket)
        bucket.tokens = min(bucket.tokens, max_tokens)
        if limits.version > bucket.limits.version:
            bucket.limits = limits
            bucket.tokens = min(bucket.tokens, self._get_capacity(bucket, now))
        return bucket

    def _accrue(self, bucket: Bucket, seconds: float) -> None:
        bucket.tokens += bucket.limits.rate * (seconds - bucket.seconds)
        bucket.seconds = seconds

    def _drop_excess(self) -> None:
        """Drop tokens that were stored by the right of leases that have ended."""
        seconds = self._leases.accrued_seconds
        for bucket in self._buckets.values():
            self._accrue(bucket, seconds)
            stored = bucket.limits.burst * self._leases.share
            bucket.tokens = min(bucket.tokens, stored)

    def _add_initial_tokens(self, bucket: Bucket) -> None:
        """Add what a holder has at its start, for the shares that were lent since.

        After a restart the burst may have been spent just before it.
        """
        added_share = self._leases.initial_share - bucket.initial_share
        if added_share > 0:
            limits = bucket.limits
            initial = limits.burst if self._first_start else limits.initial
            bucket.tokens += initial * added_share
            bucket.initial_share += added_share

    def _get_capacity(self, bucket: Bucket, now: float) -> float:
        stored = bucket.limits.burst * self._leases.share
        return max(0.0, stored - bucket.count_prefetched(now))
