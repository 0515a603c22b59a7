"""How many calls a backend server gets at once."""

# A shed means that the limit is too high; a tenth less, as in TCP's gentler variants.
DECREASE = 0.9
# Of one overload many calls return at once; it lowers the limit once in this time.
DECREASE_PAUSE_SECONDS = 0.1
FLOOR = 1.0
# Where no slots are announced: latency this many times the best known says that
# calls wait inside the backend server.
LATENCY_TOLERANCE = 2.0
# The best known latency is measured anew after so many calls, at half the limit: a
# lasting change has to become normal, but not the calls' own waiting at the limit.
CALLS_A_BASELINE = 1000
MEASURED_SHARE = 0.5
SMOOTHING = 0.1


class ConcurrencyLimit:
    """An adaptive limit: it grows while it is used up, and shrinks on signs of load.

    Args:
        start: First limit, in calls.
        ceiling: Slots that the backend server announced, or None. An announcement
            is an upper bound only: what the backend server does weighs more.
    """

    def __init__(self, start: float, ceiling: int | None = None):
        self._ceiling = ceiling
        self._limit = float(ceiling or start)
        self._baseline = 0.0
        self._latency = 0.0
        self._until_measured = CALLS_A_BASELINE
        self._measured_calls = 0
        self._lowest = float("inf")
        self._decreased_at = -float("inf")

    @property
    def value(self) -> int:
        """Calls at once, at least one."""
        return int(self._limit)

    @property
    def latency(self) -> float:
        """Smoothed time of a call in seconds, 0 before the first."""
        return self._latency

    def note_served(self, seconds: float, in_flight: int, now: float) -> None:
        """Learn from a call that was served.

        Args:
            seconds: How long it took.
            in_flight: How many there were with it.
            now: Monotonic time.
        """
        if not self._latency:
            self._latency = self._baseline = seconds
        self._latency += SMOOTHING * (seconds - self._latency)
        used_up = in_flight >= self._limit - 1
        if self._ceiling is not None:
            if used_up:
                self._increase()
            return
        self._measure(seconds)
        if self._measured_calls or not used_up:
            return
        if self._latency > LATENCY_TOLERANCE * self._baseline:
            self._decrease(now)
        else:
            self._increase()

    def note_shed(self, now: float) -> None:
        """Learn from a call that the backend server refused."""
        self._decrease(now)

    def _measure(self, seconds: float) -> None:
        """Lower the limit now and then and take the shortest call for the baseline."""
        if self._measured_calls:
            self._lowest = min(self._lowest, seconds)
            self._measured_calls -= 1
            if not self._measured_calls:
                self._baseline = self._lowest
            return
        self._baseline = min(self._baseline, self._latency)
        self._until_measured -= 1
        if self._until_measured <= 0:
            self._until_measured = CALLS_A_BASELINE
            self._limit = max(FLOOR, self._limit * MEASURED_SHARE)
            # Calls that began before are still among the first of these.
            self._measured_calls = 4 * self.value
            self._lowest = float("inf")

    def _increase(self) -> None:
        self._limit += 1 / self._limit
        if self._ceiling is not None:
            self._limit = min(self._limit, float(self._ceiling))

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < DECREASE_PAUSE_SECONDS:
            return
        self._decreased_at = now
        self._limit = max(FLOOR, self._limit * DECREASE)
