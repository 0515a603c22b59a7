"""In which order the requests that lead to an overloaded service are admitted.

More urgent ranks come first. But a rank whose requests make far fewer calls to the
service than those of a more urgent rank is admitted together with that: refusing many
of its requests would make room for only a few of the others. Each rank is admitted at
least to a part of the average admitted fraction, so that none is refused almost
entirely.
"""

from collections.abc import Iterable

from .model import LOWEST_PRIORITY

# Weight of a priority relative to the next less urgent one. A rank is admitted together
# with the next more urgent one if its requests make less than half as many calls.
PRIORITY_WEIGHT_RATIO = 2.0
# Minimum admitted fraction of a rank, relative to the average over all requests.
# Callers count a kind of request as starved below a quarter over minutes, in which it
# is admitted to a greater part while there is room.
MIN_AVERAGE_RATIO = 0.2
# Part of the admitted calls that these minimum fractions may use. The rest goes by
# urgency alone.
MAX_FLOOR_CALL_RATIO = 0.5


class RankDemand:
    """The recent requests of one rank that lead to a service.

    Args:
        rank: Urgency of the requests, 0 the most urgent.
        requests: Number of requests.
        calls: Calls to the service that they cause.
    """

    __slots__ = ("calls", "rank", "requests")

    def __init__(self, rank: int, requests: float, calls: float):
        self.rank = rank
        self.requests = requests
        self.calls = calls

    @property
    def weight(self) -> float:
        """What admitting all of the requests is worth."""
        workspace_priority, route_priority = divmod(self.rank, LOWEST_PRIORITY + 1)
        exponent = workspace_priority + route_priority
        return self.requests * PRIORITY_WEIGHT_RATIO**-exponent


class _Pool:
    """Ranks that are admitted together."""

    __slots__ = ("calls", "ranks", "weight")

    def __init__(self, demand: RankDemand):
        self.ranks = [demand.rank]
        self.calls = demand.calls
        self.weight = demand.weight

    def is_worth_more_than(self, other: "_Pool") -> bool:
        """Return whether its requests are worth more per call than another pool's."""
        return self.weight * other.calls > other.weight * self.calls

    def merge(self, other: "_Pool") -> None:
        """Add the ranks of another pool."""
        self.ranks += other.ranks
        self.calls += other.calls
        self.weight += other.weight


def compute_admitted_fractions(
    demands: Iterable[RankDemand], admitted_calls: float
) -> dict[int, float]:
    """Return the admitted fraction of each rank.

    No rank is admitted to a greater part than a more urgent one, and none to less than
    `MIN_AVERAGE_RATIO` of the average, unless that needs more than
    `MAX_FLOOR_CALL_RATIO` of the admitted calls.

    Args:
        demands: Demand of each rank, in any order.
        admitted_calls: Calls to the service that may be admitted.

    >>> def admit(calls, *ranks):
    ...     demands = [RankDemand(*rank) for rank in ranks]
    ...     return compute_admitted_fractions(demands, calls)
    >>> admit(200.0, (0, 10, 80.0), (1, 10, 80.0))
    {0: 1.0, 1: 1.0}
    >>> admit(100.0, (0, 10, 80.0), (1, 10, 80.0))
    {0: 1.0, 1: 0.25}
    >>> admit(80.0, (0, 10, 80.0), (1, 10, 80.0))
    {0: 0.9, 1: 0.1}
    >>> admit(45.0, (0, 10, 80.0), (1, 10, 10.0), (2, 10, 80.0))
    {0: 0.4407, 1: 0.4407, 2: 0.0667}
    """
    demands = list(demands)
    fractions = _admit_by_urgency(demands, admitted_calls, 0.0)
    floor = _compute_floor(demands, fractions, admitted_calls)
    if any(fraction < floor for fraction in fractions.values()):
        fractions = _admit_by_urgency(demands, admitted_calls, floor)
    return {rank: round(fraction, 4) for rank, fraction in fractions.items()}


def _compute_floor(
    demands: list[RankDemand], fractions: dict[int, float], admitted_calls: float
) -> float:
    """Return the least fraction of any rank that is admitted.

    Args:
        demands: Demand of each rank.
        fractions: What is admitted of each rank by urgency alone.
        admitted_calls: Calls to the service that may be admitted.
    """
    total_requests = sum(demand.requests for demand in demands)
    total_calls = sum(demand.calls for demand in demands)
    if not total_requests or not total_calls:
        return 0.0
    admitted_requests = sum(
        fractions[demand.rank] * demand.requests for demand in demands
    )
    average = admitted_requests / total_requests
    return min(
        MIN_AVERAGE_RATIO * average, MAX_FLOOR_CALL_RATIO * admitted_calls / total_calls
    )


def _admit_by_urgency(
    demands: list[RankDemand], admitted_calls: float, floor: float
) -> dict[int, float]:
    """Return the admitted fraction of each rank, at least ``floor``.

    Args:
        demands: Demand of each rank.
        admitted_calls: Calls to the service that may be admitted.
        floor: Fraction of every rank that is admitted before the rest goes by urgency.
    """
    pools: list[_Pool] = []
    for demand in sorted(demands, key=lambda item: item.rank):
        pool = _Pool(demand)
        while pools and pool.is_worth_more_than(pools[-1]):
            previous = pools.pop()
            previous.merge(pool)
            pool = previous
        pools.append(pool)
    remaining_calls = admitted_calls - floor * sum(pool.calls for pool in pools)
    fractions: dict[int, float] = {}
    for pool in pools:
        calls = (1.0 - floor) * pool.calls
        admitted_part = min(1.0, remaining_calls / calls) if calls else 1.0
        fraction = floor + (1.0 - floor) * admitted_part
        fractions.update(dict.fromkeys(pool.ranks, fraction))
        remaining_calls = max(0.0, remaining_calls - calls)
    return fractions
