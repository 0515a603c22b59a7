"""Adaptive limit on the concurrent calls to a backend server."""

# Applied when shed calls or the latency show that the limit is too high. A tenth less,
# as in TCP's gentler variants.
DECREASE_FACTOR = 0.9
# Many calls fail together in one overload; they lower the limit once in this time.
MIN_DECREASE_INTERVAL_SECONDS = 0.1
MIN_LIMIT = 1.0
# Without announced slots, a latency above this multiple of the baseline shows that
# calls queue inside the backend server.
MAX_LATENCY_RATIO = 2.0
# The baseline latency is measured again after this many calls, at a fraction of the
# limit: it must follow lasting changes, but not include queueing at the limit.
CALLS_PER_BASELINE = 1000
BASELINE_LIMIT_RATIO = 0.5
LATENCY_SMOOTHING_FACTOR = 0.1


class ConcurrencyLimit:
    """Concurrency limit that grows while it is used up and shrinks on overload.

    Args:
        initial: Initial limit, in calls.
        max_limit: Slots that the backend server announced, or None. They are only an
            upper bound: shed calls lower the limit below it.
    """

    def __init__(self, initial: float, max_limit: int | None = None):
        self._max_limit = max_limit
        self._limit = float(max_limit or initial)
        self._baseline = 0.0
        self._latency = 0.0
        self._calls_until_baseline = CALLS_PER_BASELINE
        self._baseline_samples_left = 0
        self._lowest_latency = float("inf")
        self._decreased_at = -float("inf")

    @property
    def value(self) -> int:
        """Maximum number of calls in flight, at least 1."""
        return int(self._limit)

    @property
    def latency(self) -> float:
        """Smoothed latency of a call in seconds, 0 before the first."""
        return self._latency

    def record_served(self, seconds: float, in_flight: int, now: float) -> None:
        """Record a call that was served, and adapt the limit.

        Args:
            seconds: Latency of the call.
            in_flight: Number of calls in flight, including this one.
            now: Monotonic time in seconds.
        """
        if not self._latency:
            self._latency = self._baseline = seconds
        self._latency += LATENCY_SMOOTHING_FACTOR * (seconds - self._latency)
        is_used_up = in_flight >= self._limit - 1
        if self._max_limit is not None:
            if is_used_up:
                self._increase()
            return
        self._update_baseline(seconds)
        if self._baseline_samples_left or not is_used_up:
            return
        if self._latency > MAX_LATENCY_RATIO * self._baseline:
            self._decrease(now)
        else:
            self._increase()

    def record_shed(self, now: float) -> None:
        """Record a call that the backend server shed, and lower the limit."""
        self._decrease(now)

    def _update_baseline(self, seconds: float) -> None:
        """Lower the limit periodically, and use the lowest latency as baseline."""
        if self._baseline_samples_left:
            self._lowest_latency = min(self._lowest_latency, seconds)
            self._baseline_samples_left -= 1
            if not self._baseline_samples_left:
                self._baseline = self._lowest_latency
            return
        self._baseline = min(self._baseline, self._latency)
        self._calls_until_baseline -= 1
        if self._calls_until_baseline <= 0:
            self._calls_until_baseline = CALLS_PER_BASELINE
            self._limit = max(MIN_LIMIT, self._limit * BASELINE_LIMIT_RATIO)
            # A multiple of the limit, as the first of these calls began before it was
            # lowered.
            self._baseline_samples_left = 4 * self.value
            self._lowest_latency = float("inf")

    def _increase(self) -> None:
        self._limit += 1 / self._limit
        if self._max_limit is not None:
            self._limit = min(self._limit, float(self._max_limit))

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < MIN_DECREASE_INTERVAL_SECONDS:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
