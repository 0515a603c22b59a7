"""Estimates the size of each route's answers from those received so far."""

# Weight of a new answer in the moving average, which covers about 30 of its route.
SIZE_SMOOTHING = 1 / 32
# Bounds memory when configuration updates keep renaming routes.
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

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, route: str, size: int) -> None:
        """Record the size of an answer in bytes."""
        mean = self._means.get(route)
        if mean is None:
            if len(self._means) >= MAX_ROUTES:
                self._means.clear()
            mean = float(size)
        self._means[route] = mean + SIZE_SMOOTHING * (size - mean)

    def estimate(self, route: str) -> float:
        """Return the average size of an answer in bytes, 0 before the first."""
        return self._means.get(route, 0.0)
