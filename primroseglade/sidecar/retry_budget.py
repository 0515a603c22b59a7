"""Limits the retries of this node so that the whole fleet stays within its budget."""

import collections
from collections.abc import Mapping

# Fraction of the configured retry ratio that nodes use. The rest is a margin: how many
# downstream calls a retry makes is an estimate, which lags behind changes of the call
# graph.
RETRY_RATIO_USED_FRACTION = 0.7
# Fraction of the configured fixed number of retries that all nodes together use. The
# rest is a margin, too.
FIXED_RETRIES_USED_FRACTION = 0.6


class RetryBudget:
    """Limits the retries to each service in a sliding window.

    Each node has a budget of its own: the ratio times its first attempts, plus its
    share of the fixed number. The retries of all nodes therefore stay within the limit
    without coordination, even if some nodes cannot reach each other.

    Args:
        ratio: Allowed retries per first attempt.
        fixed: Number of further retries per window, shared by all nodes.
        window: Length of the window in seconds.
    """

    def __init__(self, ratio: float, fixed: float, window: float):
        self._ratio = ratio * RETRY_RATIO_USED_FRACTION
        self._fixed = fixed * FIXED_RETRIES_USED_FRACTION
        self._window = window
        self._first_attempts: dict[str, SlidingCount] = {}
        self._retries: dict[str, SlidingCount] = {}

    def record_first_attempt(self, service: str, now: float) -> None:
        """Record the first attempt of a request to a service."""
        self._get_count(self._first_attempts, service).add(now)

    def try_spend(
        self, expected_calls: Mapping[str, float], nodes: int, now: float
    ) -> bool:
        """Return whether a retry may be sent, and count it if so.

        A retry makes its downstream calls again, and these count as retries too: if a
        request makes four calls to a service, one retry of the request counts as four
        retries to the service. The budget of every service called must therefore
        suffice.

        Args:
            expected_calls: Calls to each service that the retry is expected to cause,
                the retry itself included.
            nodes: Number of nodes that share the fixed number.
            now: Seconds on the loop's clock.
        """
        for service, calls in expected_calls.items():
            first_attempts = self._get_count(self._first_attempts, service).total(now)
            retries = self._get_count(self._retries, service).total(now)
            allowed = first_attempts * self._ratio + self._fixed / max(1, nodes)
            if retries + calls > allowed:
                return False
        for service, calls in expected_calls.items():
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
    """Counts events in a sliding window of 20 buckets.

    Args:
        window: Length of the window in seconds.
    """

    BUCKET_COUNT = 20

    def __init__(self, window: float):
        self._bucket_seconds = window / self.BUCKET_COUNT
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._total = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add events; times must not decrease from one call to the next.

        Args:
            now: Time of the events, in seconds.
            amount: Number of events.
        """
        bucket = int(now / self._bucket_seconds)
        if self._buckets and self._buckets[-1][0] == bucket:
            self._buckets[-1][1] += amount
        else:
            self._buckets.append([bucket, amount])
        self._total += amount

    def total(self, now: float) -> float:
        """Return the number of events in the window and up to one bucket before it.

        >>> count = SlidingCount(10.0)
        >>> count.add(0.0); count.add(6.0)
        >>> count.total(9.9), count.total(11.0), count.total(17.0)
        (2.0, 1.0, 0.0)
        """
        oldest_bucket = int(now / self._bucket_seconds) - self.BUCKET_COUNT
        while self._buckets and self._buckets[0][0] < oldest_bucket:
            self._total -= self._buckets.popleft()[1]
        return self._total
