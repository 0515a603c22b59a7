"""How many further attempts this node may make, so that the fleet keeps its bound."""

import collections
from collections.abc import Mapping

# Of the operator's share of repeats, what nodes use: the calls that a repeated run
# will make are estimates, and lag behind a graph that changes.
RATIO_USED_FRACTION = 0.7
# Of the operator's fixed number of repeats, what all nodes use together.
FIXED_USED_FRACTION = 0.6


class RetryBudget:
    """Repeats to each service in a sliding window.

    Each node keeps to its own part, whatever the others do: its own first attempts
    times the ratio, and its part of the fixed number. So the sum holds without a
    message, also between nodes that cannot reach each other.

    Args:
        ratio: Repeats for each first attempt.
        fixed: Repeats in a window that all nodes together may make besides.
        window: Seconds.
    """

    def __init__(self, ratio: float, fixed: float, window: float):
        self._ratio = ratio * RATIO_USED_FRACTION
        self._fixed = fixed * FIXED_USED_FRACTION
        self._window = window
        self._first_attempts: dict[str, SlidingCount] = {}
        self._retries: dict[str, SlidingCount] = {}

    def record_first_attempt(self, service: str, now: float) -> None:
        """Count a caller's request to a service."""
        self._get_count(self._first_attempts, service).add(now)

    def try_spend(self, visits: Mapping[str, float], nodes: int, now: float) -> bool:
        """Whether one more repeat may be sent; it is counted if so.

        A run that is repeated makes its calls again, and they count as repeats at the
        services below: with one repeat of a request that makes four calls to a deep
        service, that service gets four. So all of them must have room.

        Args:
            visits: Calls at each service that the repeat leads to, its own too.
            nodes: Nodes that share the fixed number.
            now: Seconds on the loop's clock.
        """
        for service, calls in visits.items():
            first_attempts = self._get_count(self._first_attempts, service).total(now)
            retries = self._get_count(self._retries, service).total(now)
            allowed = first_attempts * self._ratio + self._fixed / max(1, nodes)
            if retries + calls > allowed:
                return False
        for service, calls in visits.items():
            self._get_count(self._retries, service).add(now, calls)
        return True

    def _get_count(
        self, counts: "dict[str, SlidingCount]", service: str
    ) -> "SlidingCount":
        count = counts.get(service)
        if count is None:
            count = counts[service] = SlidingCount(self._window)
        return count


class SlidingCount:
    """How many events there were in the last seconds, in twenty steps.

    Args:
        window: Seconds.
    """

    BUCKETS = 20

    def __init__(self, window: float):
        self._bucket_seconds = window / self.BUCKETS
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._total = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Count events at a time that does not go back."""
        bucket = int(now / self._bucket_seconds)
        if self._buckets and self._buckets[-1][0] == bucket:
            self._buckets[-1][1] += amount
        else:
            self._buckets.append([bucket, amount])
        self._total += amount

    def total(self, now: float) -> float:
        """Return the events in the window, and up to one step more.

        >>> count = SlidingCount(10.0)
        >>> count.add(0.0); count.add(6.0)
        >>> count.total(9.9), count.total(11.0), count.total(17.0)
        (2.0, 1.0, 0.0)
        """
        oldest_bucket = int(now / self._bucket_seconds) - self.BUCKETS
        while self._buckets and self._buckets[0][0] < oldest_bucket:
            self._total -= self._buckets.popleft()[1]
        return self._total
