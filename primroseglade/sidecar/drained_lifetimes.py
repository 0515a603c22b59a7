"""Which lifetimes of backend servers are about to end, by instance ID."""


class DrainedLifetimes:
    """Keeps the start time of the newest drained lifetime of each instance.

    A backend server may start again under its ID. A drain covers the lifetime that it
    names and all earlier ones, whatever the order in which drains are learned of.

    Args:
        capacity: Maximum number of instances; of more, those are forgotten whose drains
            were added first.
    """

    __slots__ = ("_capacity", "_start_times")

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._start_times: dict[str, int] = {}

    @property
    def start_times(self) -> dict[str, int]:
        """Start times in Unix milliseconds, by instance ID; 0 if unknown."""
        return self._start_times

    def add(self, instance: str, start_time_ms: int) -> None:
        """Add the drain of a lifetime.

        Args:
            instance: Instance ID.
            start_time_ms: Unix time of the start, in milliseconds; 0 if unknown.

        >>> lifetimes = DrainedLifetimes(capacity=2)
        >>> for instance, start_time_ms in [("a", 7), ("b", 1), ("a", 5), ("c", 1)]:
        ...     lifetimes.add(instance, start_time_ms)
        >>> lifetimes.start_times
        {'a': 7, 'c': 1}
        """
        known = self._start_times.pop(instance, 0)
        if len(self._start_times) >= self._capacity:
            del self._start_times[next(iter(self._start_times))]
        self._start_times[instance] = max(known, start_time_ms)

    def covers(self, instance: str, start_time_ms: int) -> bool:
        """Return whether a lifetime is drained.

        Args:
            instance: Instance ID.
            start_time_ms: Unix time of the start, in milliseconds.
        """
        newest = self._start_times.get(instance)
        return newest is not None and start_time_ms <= newest
