"""Which requests of callers are refused at once while a service below is overloaded.

A call that is refused deep in a graph throws away the work of all above it. So what
cannot be served is refused where it enters, least urgent first, by how busy the
scarcest service is that it leads to.
"""

import random
from collections.abc import Iterable

# How often levels are set, in seconds: as often as heartbeats tell new loads.
STEP_SECONDS = 0.25
# Calls at work and waiting for each slot in use. Above the first, work piles up and
# levels fall; below the second there is room and they rise. Between them a short
# queue keeps the slots busy, and adds about half of the time of work to a call.
TOO_BUSY = 1.5
ROOM = 1.1
# Part of one rank's requests by which a level falls in a step, for each call a slot
# too many: a service at twice its load is relieved within a second.
FALL = 0.12
# Part by which it rises in a step where there is room; a rank is back in 5 s.
RISE = 0.05
# Of the most urgent rank some always pass, or nothing would show that there is room.
LEAST_PASSED = 0.1


class Load:
    """How busy a service is."""

    __slots__ = ("occupied", "slots")

    def __init__(self, occupied: float = 0.0, slots: float = 0.0):
        self.occupied = occupied
        self.slots = slots

    @property
    def pressure(self) -> float:
        """Calls at work and waiting for each slot."""
        return self.occupied / self.slots if self.slots else 0.0


class Admission:
    """Levels by service: how many ranks of requests pass, in whole and parts.

    With ranks 0 (most urgent), 1 and 2 a level of 3 lets all pass, 2.4 lets 4 in 10
    of rank 2 pass, 0.5 half of rank 0 and nothing else.

    Args:
        rng: Draws which of a rank pass in part.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._places: dict[int, int] = {}
        self._levels: dict[str, float] = {}

    @property
    def levels(self) -> dict[str, float]:
        """Levels that are not at their top, by service."""
        return self._levels

    def set_ranks(self, ranks: Iterable[int]) -> None:
        """Take the ranks that requests may have; levels stay if they are the same."""
        ordered = sorted(set(ranks))
        places = {rank: place for place, rank in enumerate(ordered)}
        if places != self._places:
            self._places = places
            self._levels = {}

    def update(self, loads: dict[str, Load]) -> None:
        """Set the levels anew, once a step."""
        top = float(len(self._places))
        for service, load in loads.items():
            level = self._levels.get(service, top)
            if load.pressure > TOO_BUSY:
                level -= FALL * (load.pressure - ROOM)
            elif load.pressure < ROOM:
                level += RISE
            level = max(LEAST_PASSED, level)
            if level >= top:
                self._levels.pop(service, None)
            else:
                self._levels[service] = level

    def admits(self, services: Iterable[str], rank: int) -> bool:
        """Whether a request that leads to these services may go in.

        Args:
            services: All that it leads to.
            rank: Of the request.
        """
        if not self._levels:
            return True
        place = self._places.get(rank, len(self._places))
        passed = 1.0
        for service in services:
            level = self._levels.get(service)
            if level is not None:
                passed = min(passed, level - place)
        return passed >= 1.0 or self._rng.random() < passed
