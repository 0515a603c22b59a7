"""How large the answers of each route usually are, learnt from those that came."""

# Weight of a new answer, about the last 30 of its route.
SIZE_SMOOTHING = 1 / 32
# Routes that are remembered; a configuration that renames them without end does not
# fill the memory.
MAX_ROUTES = 2000


class AnswerSizes:
    """Bytes of answers, by route.

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
        """Take in an answer's bytes."""
        mean = self._means.get(route)
        if mean is None:
            if len(self._means) >= MAX_ROUTES:
                self._means.clear()
            mean = float(size)
        self._means[route] = mean + SIZE_SMOOTHING * (size - mean)

    def estimate(self, route: str) -> float:
        """Return the usual bytes of an answer, 0 before the first."""
        return self._means.get(route, 0.0)
