"""A workspace's tokens in one zone, and the demand for them."""

import asyncio
import collections
import math

from .bucket import Bucket
from .clock import read_clock
from .token_reserve import TokenReserve

# Long enough that a single call does not look like lasting demand.
DEMAND_SMOOTHING_SECONDS = 2.0


class DemandEstimator:
    """Estimates the requested tokens per second, with exponential decay.

    Args:
        seconds: Time constant of the decay.
    """

    __slots__ = ("_rate", "_seconds", "_updated_at")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._rate = 0.0
        self._updated_at = read_clock()

    def record(self, tokens: float) -> None:
        """Record tokens requested now."""
        self._rate = self.estimate() + tokens / self._seconds

    def estimate(self) -> float:
        """Return the current demand in tokens per second."""
        now = read_clock()
        self._rate *= math.exp((self._updated_at - now) / self._seconds)
        self._updated_at = now
        return self._rate


class LoanPart:
    """Tokens taken from one loan.

    Args:
        zone: Zone of the holder that lent them.
        loan: Id of the loan, assigned by that holder.
        tokens: Number of tokens.
    """

    __slots__ = ("loan", "tokens", "zone")

    def __init__(self, zone: str, loan: int, tokens: float):
        self.zone = zone
        self.loan = loan
        self.tokens = tokens


class WorkspaceTokens:
    """A workspace's tokens in this zone: its bucket and tokens lent by other zones."""

    __slots__ = (
        "borrow_task",
        "borrowed",
        "borrowing_paused_until",
        "bucket",
        "demand",
        "fleet_rate",
        "loans_by_grant",
        "spent_loans",
    )

    def __init__(self, bucket: Bucket, fleet_rate: float):
        self.bucket = bucket
        self.fleet_rate = fleet_rate
        self.borrowed = TokenReserve()
        self.demand = DemandEstimator(DEMAND_SMOOTHING_SECONDS)
        # For each grant that contains borrowed tokens, by its id: the parts of loans in
        # it. Kept until a node reports the grant spent; at most `MAX_TRACKED_GRANTS`.
        self.loans_by_grant: collections.OrderedDict[int, list[LoanPart]] = (
            collections.OrderedDict()
        )
        # Spent parts of loans by zone, until they are reported to the lender.
        self.spent_loans: dict[str, list[LoanPart]] = {}
        self.borrow_task: asyncio.Task[bool] | None = None
        self.borrowing_paused_until = -math.inf


class Entitlement:
    """A workspace's rate and burst in one zone, and its rate in the whole fleet.

    Rates are in tokens per second, the burst in tokens.
    """

    __slots__ = ("burst", "fleet_rate", "rate")

    def __init__(self, rate: float, burst: float, fleet_rate: float):
        self.rate = rate
        self.burst = burst
        self.fleet_rate = fleet_rate
