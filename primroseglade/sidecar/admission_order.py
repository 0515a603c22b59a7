"""In which order the requests that lead to an overloaded service are admitted.

More urgent ranks come first. But a rank whose requests make far fewer calls to the
service than those of a more urgent rank is admitted together with that: refusing many
of its requests would make room for only a few of the others.
"""

from collections.abc import Iterable

from .model import LOWEST_PRIORITY

# Weight of a priority relative to the next less urgent one. A rank is admitted together
# with the next more urgent one if its requests make less than half as many calls.
PRIORITY_WEIGHT_RATIO = 2.0


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

    No rank is admitted to a greater part than a more urgent one.

    Args:
        demands: Demand of each rank, in any order.
        admitted_calls: Calls to the service that may be admitted.

    >>> def admit(calls, *ranks):
    ...     demands = [RankDemand(*rank) for rank in ranks]
    ...     return compute_admitted_fractions(demands, calls)
    >>> admit(100.0, (0, 10, 80.0), (1, 10, 80.0))
    {0: 1.0, 1: 0.25}
    >>> admit(45.0, (0, 10, 80.0), (1, 10, 10.0), (2, 10, 80.0))
    {0: 0.5, 1: 0.5, 2: 0.0}
    """
    pools: list[_Pool] = []
    for demand in sorted(demands, key=lambda item: item.rank):
        pool = _Pool(demand)
        while pools and pool.is_worth_more_than(pools[-1]):
            previous = pools.pop()
            previous.merge(pool)
            pool = previous
        pools.append(pool)
    admitted_fractions: dict[int, float] = {}
    for pool in pools:
        fraction = min(1.0, admitted_calls / pool.calls) if pool.calls else 1.0
        admitted_fractions.update(dict.fromkeys(pool.ranks, fraction))
        admitted_calls = max(0.0, admitted_calls - pool.calls)
    return admitted_fractions
