"""Discrete-event simulation."""

import heapq
import itertools
from collections.abc import Callable


class Simulation:
    """Runs events in the order of their times, which are in seconds."""

    def __init__(self) -> None:
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    @property
    def now(self) -> float:
        """Current simulated time."""
        return self._now

    def read_clock(self) -> float:
        """Return the current simulated time; the nodes' code gets this as its clock."""
        return self._now

    def schedule(self, at: float, event: Callable[[], None]) -> None:
        """Schedule an event at a time, or at once if that has passed."""
        sequence_number = next(self._sequence_numbers)
        heapq.heappush(self._events, (max(at, self._now), sequence_number, event))

    def run(self, until: float) -> None:
        """Run all events before a time, then advance the clock to it.

        >>> simulation = Simulation()
        >>> simulation.schedule(2.0, lambda: print("second"))
        >>> simulation.schedule(1.0, lambda: print("first"))
        >>> simulation.run(3.0)
        first
        second
        """
        while self._events and self._events[0][0] < until:
            self._now, _, event = heapq.heappop(self._events)
            event()
        self._now = until
