"""One workspace's tokens in one zone, and how much they are asked for."""

import asyncio
import collections
import math

from .bucket import Bucket
from .clock import read_clock
from .token_reserve import TokenReserve

# Long enough that one call by itself is no demand.
DEMAND_SMOOTHING_SECONDS = 2.0


class DemandEstimator:
    """How many tokens a second are asked for, forgetting slowly.

    Args:
        seconds: Over which it is smoothed.
    """

    __slots__ = ("_at", "_rate", "_seconds")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._rate = 0.0
        self._at = read_clock()

    def record(self, tokens: float) -> None:
        """Count tokens asked for now."""
        self._rate = self.estimate() + tokens / self._seconds

    def estimate(self) -> float:
        """Return tokens a second as of now."""
        now = read_clock()
        self._rate *= math.exp((self._at - now) / self._seconds)
        self._at = now
        return self._rate


class LoanPart:
    """Tokens of a loan.

    Args:
        zone: Whose holder lent them.
        loan: The loan's number there.
        tokens: How many.
    """

    __slots__ = ("loan", "tokens", "zone")

    def __init__(self, zone: str, loan: int, tokens: float):
        self.zone = zone
        self.loan = loan
        self.tokens = tokens


class WorkspaceQuota:
    """One workspace's tokens in this zone: the bucket, and what others lent."""

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
        # Loans that went into a grant, until a node has spent it.
        self.loans_by_grant: collections.OrderedDict[int, list[LoanPart]] = (
            collections.OrderedDict()
        )
        # Spent parts of loans, until their lender is told.
        self.spent_loans: dict[str, list[LoanPart]] = {}
        self.borrow_task: asyncio.Task[bool] | None = None
        self.borrowing_paused_until = -math.inf


class Entitlement:
    """A workspace's rate and burst in one zone, and its rate over the whole fleet."""

    __slots__ = ("burst", "fleet_rate", "rate")

    def __init__(self, rate: float, burst: float, fleet_rate: float):
        self.rate = rate
        self.burst = burst
        self.fleet_rate = fleet_rate
