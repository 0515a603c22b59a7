"""Token buckets of all workspaces at a token holder.

A token allows one call. The holder grants tokens to the nodes at which calls enter the
fleet, the entry nodes: for calls that wait there and, as prefetched tokens, for calls
expected soon. Holders also lend tokens to each other.
"""

from collections.abc import Iterator

from .frames import TokenLimits, TokenRequest
from .retry_budget import SlidingCount
from .share_leases import LeaseTable

# Tokens that an entry node has not spent within this time expire and are returned to a
# holder.
PREFETCHED_TOKEN_TTL_SECONDS = 0.5
# Fraction of a bucket's capacity that is reserved for waiting calls and not granted for
# expected ones. A holder whose bucket is below this reserve borrows from another holder
# the tokens that would soon overflow there.
RESERVED_CAPACITY_RATIO = 0.5
DEMAND_WINDOW_SECONDS = 2.0
# A holder does not lend the tokens that its entry nodes are expected to request within
# this time.
LOAN_RESERVE_SECONDS = 0.05
# A holder that has to borrow for waiting calls also borrows for those expected within
# this time.
BORROW_AHEAD_SECONDS = 0.25
# Smaller loans are refused.
MIN_LOAN_TOKENS = 0.05
# Absorbs rounding errors in sums of fractional tokens.
TOKEN_EPSILON = 1e-9


class Bucket:
    """Token bucket of one workspace at one holder.

    Attributes:
        limits: Enforced rate and burst of the whole fleet.
        tokens: Tokens left here; may be a fraction.
        demand: Calls that needed tokens within the last `DEMAND_WINDOW_SECONDS`.
        full_rate_seconds_at_refill: `LeaseTable.full_rate_seconds` at the last refill.
        initial_share: Share for which initial tokens have been added.
        prefetched_by_entry: Expiry time and number of prefetched tokens, by entry node.
            These tokens count against the capacity until they are spent or expire.
    """

    __slots__ = (
        "demand",
        "full_rate_seconds_at_refill",
        "initial_share",
        "limits",
        "prefetched_by_entry",
        "tokens",
    )

    def __init__(self, limits: TokenLimits, full_rate_seconds_at_refill: float):
        self.limits = limits
        self.tokens = 0.0
        self.demand = SlidingCount(DEMAND_WINDOW_SECONDS)
        self.full_rate_seconds_at_refill = full_rate_seconds_at_refill
        self.initial_share = 0.0
        self.prefetched_by_entry: dict[str, tuple[float, int]] = {}

    def count_prefetched_tokens(self, now: float) -> int:
        """Return the number of prefetched tokens that may still be unspent."""
        expired = [
            name
            for name, (until, _) in self.prefetched_by_entry.items()
            if until <= now
        ]
        for name in expired:
            del self.prefetched_by_entry[name]
        return sum(count for _, count in self.prefetched_by_entry.values())

    def get_demand_per_second(self, now: float) -> float:
        """Return the demand in calls per second."""
        return self.demand.total(now) / DEMAND_WINDOW_SECONDS


class TokenPool:
    """Buckets of all workspaces at one holder.

    After a holder's start, its buckets begin with initial tokens: its share of the
    burst if the whole fleet starts for the first time, and otherwise its share of
    `TokenLimits.initial_tokens`.

    Args:
        leases: Shares that nodes lend to this holder.
        first_start: Whether the whole fleet starts for the first time.
    """

    def __init__(self, leases: LeaseTable, first_start: bool):
        self._leases = leases
        self._first_start = first_start
        self._buckets: dict[str, Bucket] = {}
        leases.on_lease_end = self._drop_excess_tokens

    def __iter__(self) -> Iterator[Bucket]:
        return iter(self._buckets.values())

    @property
    def share(self) -> float:
        """Fraction of each rate and burst that is lent to this holder."""
        return self._leases.share

    def record_request(self, entry: str, request: TokenRequest, now: float) -> None:
        """Record the demand, unspent tokens and returned tokens of an entry node."""
        bucket = self._refill(request.limits, now)
        bucket.demand.add(now, request.waiting_calls)
        grant = bucket.prefetched_by_entry.get(entry)
        if grant is not None:
            bucket.prefetched_by_entry[entry] = (
                grant[0],
                min(grant[1], request.unspent_tokens),
            )
        if request.returned_tokens:
            self.deposit(request.limits, request.returned_tokens, now)

    def take(
        self,
        limits: TokenLimits,
        waiting_calls: int,
        expected_calls: int,
        now: float,
        entry: str = "",
    ) -> int:
        """Take tokens for waiting calls, and for expected ones if there are enough.

        Args:
            limits: Limits of the workspace.
            waiting_calls: Number of waiting calls.
            expected_calls: Number of further calls expected soon. They get only tokens
                above `RESERVED_CAPACITY_RATIO`, and only if all waiting calls got one.
            now: Seconds on the monotonic clock.
            entry: Name of the entry node that requests the tokens.

        Returns:
            Number of tokens taken.
        """
        bucket = self._refill(limits, now)
        granted_tokens = min(waiting_calls, int(bucket.tokens + TOKEN_EPSILON))
        if granted_tokens == waiting_calls:
            reserved_tokens = RESERVED_CAPACITY_RATIO * self._get_capacity(bucket, now)
            extra_tokens = min(
                expected_calls, int(bucket.tokens - granted_tokens - reserved_tokens)
            )
            if extra_tokens > 0:
                _, unspent_tokens = bucket.prefetched_by_entry.get(entry, (0.0, 0))
                bucket.prefetched_by_entry[entry] = (
                    now + PREFETCHED_TOKEN_TTL_SECONDS,
                    unspent_tokens + extra_tokens,
                )
                granted_tokens += extra_tokens
        bucket.tokens -= granted_tokens
        return granted_tokens

    def lend(
        self, limits: TokenLimits, requested_tokens: float, urgent: bool, now: float
    ) -> float:
        """Take tokens for another holder, except those needed here soon.

        Fractions of a token are lent, too: if the burst is small, each holder has less
        than one token.

        Args:
            limits: Limits of the workspace.
            requested_tokens: Number of tokens, may be a fraction.
            urgent: Whether calls wait at the borrower. Otherwise only tokens above
                `RESERVED_CAPACITY_RATIO`, which would soon overflow, are lent.
            now: Seconds on the monotonic clock.

        Returns:
            Number of tokens lent, may be a fraction.
        """
        bucket = self._refill(limits, now)
        reserved_tokens = bucket.get_demand_per_second(now) * LOAN_RESERVE_SECONDS
        if not urgent:
            reserved_tokens = max(
                reserved_tokens,
                RESERVED_CAPACITY_RATIO * self._get_capacity(bucket, now),
            )
        spare_tokens = bucket.tokens - reserved_tokens
        lent_tokens = min(requested_tokens, spare_tokens)
        if lent_tokens < MIN_LOAN_TOKENS:
            return 0.0
        bucket.tokens -= lent_tokens
        return lent_tokens

    def deposit(
        self, limits: TokenLimits, tokens: float, now: float, waiting_calls: int = 0
    ) -> None:
        """Add borrowed or returned tokens, up to the capacity.

        Args:
            limits: Limits of the workspace.
            tokens: Number of tokens to add.
            now: Seconds on the monotonic clock.
            waiting_calls: Number of waiting calls; tokens for these are added even
                beyond the capacity.
        """
        bucket = self._refill(limits, now)
        max_tokens = max(waiting_calls, bucket.tokens, self._get_capacity(bucket, now))
        bucket.tokens = min(max_tokens, bucket.tokens + tokens)

    def count_tokens_to_borrow(
        self, limits: TokenLimits, waiting_calls: int, now: float
    ) -> float:
        """Return the number of tokens to borrow for waiting and expected calls."""
        bucket = self._refill(limits, now)
        room = max(0.0, self._get_capacity(bucket, now) - waiting_calls)
        expected_calls = min(
            room, bucket.get_demand_per_second(now) * BORROW_AHEAD_SECONDS
        )
        return waiting_calls + expected_calls - bucket.tokens

    def get_reserve_shortfall(self, limits: TokenLimits, now: float) -> float:
        """Return how many tokens the bucket lacks to fill `RESERVED_CAPACITY_RATIO`."""
        bucket = self._refill(limits, now)
        return RESERVED_CAPACITY_RATIO * self._get_capacity(bucket, now) - bucket.tokens

    def get_remaining_tokens(self, workspace: str) -> float:
        """Return the number of tokens left after the last request."""
        bucket = self._buckets.get(workspace)
        return bucket.tokens if bucket is not None else 0.0

    def _refill(self, limits: TokenLimits, now: float) -> Bucket:
        seconds = self._leases.advance(now)
        bucket = self._buckets.get(limits.workspace)
        if bucket is None:
            bucket = self._buckets[limits.workspace] = Bucket(limits, seconds)
            # A new bucket holds all tokens accrued since a lease last ended, because no
            # call of the workspace has spent any.
            accrued_tokens = limits.rate * self._leases.uninterrupted_full_rate_seconds
            bucket.tokens = min(accrued_tokens, self._get_capacity(bucket, now))
            if not self._leases.no_lease_ended:
                # Like tokens accrued before a lease ended, initial ones are not added.
                bucket.initial_share = self._leases.initial_share
        # Tokens borrowed for waiting calls are kept even beyond the capacity.
        max_tokens = max(bucket.tokens, self._get_capacity(bucket, now))
        self._accrue(bucket, seconds)
        self._add_initial_tokens(bucket)
        bucket.tokens = min(bucket.tokens, max_tokens)
        if limits.version > bucket.limits.version:
            bucket.limits = limits
            bucket.tokens = min(bucket.tokens, self._get_capacity(bucket, now))
        return bucket

    def _accrue(self, bucket: Bucket, seconds: float) -> None:
        bucket.tokens += bucket.limits.rate * (
            seconds - bucket.full_rate_seconds_at_refill
        )
        bucket.full_rate_seconds_at_refill = seconds

    def _drop_excess_tokens(self) -> None:
        """Drop the tokens that exceed the remaining share of the burst."""
        seconds = self._leases.full_rate_seconds
        for bucket in self._buckets.values():
            self._accrue(bucket, seconds)
            share_of_burst = bucket.limits.burst * self._leases.share
            bucket.tokens = min(bucket.tokens, share_of_burst)

    def _add_initial_tokens(self, bucket: Bucket) -> None:
        """Add the initial tokens for shares lent since the last call.

        After a restart, these are fewer than the burst, which may have been spent just
        before.
        """
        added_share = self._leases.initial_share - bucket.initial_share
        if added_share > 0:
            limits = bucket.limits
            initial_tokens = (
                limits.burst if self._first_start else limits.initial_tokens
            )
            bucket.tokens += initial_tokens * added_share
            bucket.initial_share += added_share

    def _get_capacity(self, bucket: Bucket, now: float) -> float:
        share_of_burst = bucket.limits.burst * self._leases.share
        return max(0.0, share_of_burst - bucket.count_prefetched_tokens(now))
