"""Estimates the size of each route's answers from those received so far."""

# Weight of a new answer in the moving average, which covers about 30 answers.
SIZE_SMOOTHING = 1 / 32
# At this number of routes all averages are dropped. This bounds memory if configuration
# updates keep renaming routes.
MAX_ROUTES = 2000


class AnswerSizes:
    """Keeps the moving average of the answer size in bytes, by route.

    >>> sizes = AnswerSizes()
    >>> sizes.estimate("photos")
    0.0
    >>> sizes.record("photos", 6000)
    >>> sizes.estimate("photos")
    6000.0
    """

    __slots__ = ("_average_bytes",)

    def __init__(self) -> None:
        self._average_bytes: dict[str, float] = {}

    def record(self, route: str, size_bytes: int) -> None:
        """Record the size of an answer in bytes."""
        average_bytes = self._average_bytes.get(route)
        if average_bytes is None:
            if len(self._average_bytes) >= MAX_ROUTES:
                self._average_bytes.clear()
            average_bytes = float(size_bytes)
        self._average_bytes[route] = average_bytes + SIZE_SMOOTHING * (
            size_bytes - average_bytes
        )

    def estimate(self, route: str) -> float:
        """Return the average answer size in bytes, 0 before the first answer."""
        return self._average_bytes.get(route, 0.0)
