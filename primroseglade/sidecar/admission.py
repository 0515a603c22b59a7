"""Which requests of callers are refused at once while a service below is overloaded.

A call that is refused deep in a graph throws away the work of all above it. So what
cannot be served is refused where it enters, least urgent first, by how busy the
scarcest service is that it leads to.
"""

import random
from collections.abc import Mapping

from .retry_budget import SlidingCount

# How often levels are set, in seconds: as often as heartbeats tell new loads.
STEP_SECONDS = 0.25
# Calls at work and waiting for each slot in use. Above the first, work piles up and
# the level falls; below the second there is room and it rises. Between them a short
# queue keeps the slots busy, and adds about half of the time of work to a call.
TOO_BUSY = 1.5
ROOM = 1.1
# Part by which a level falls in a step for each call a slot too many, and the most.
# Loads are half a second old: with larger steps a level falls far below what the
# service can do before the first step shows, and callers are refused for nothing.
FALL = 0.06
MOST_FALL = 0.15
# Part of the demand by which it rises in a step where there is room.
RISE = 0.04
# Where slots stand empty, load is in proportion to what is let through, and tells which
# level would fill them. A quarter of the way to it is taken in a step: loads lag by two
# or three steps, and with the whole way levels would swing. With the fixed rise alone a
# service stood two thirds empty for seconds after an overload had ended.
FULL = 0.95
FILL = 0.25
# Some always pass, or nothing would show that there is room.
LEAST_LEVEL = 0.05
# Demand by rank is counted over this span, in seconds.
DEMAND_SECONDS = 5.0
# A service that one request in so many reaches is no reason to refuse it.
LEAST_VISITS = 0.05


class Load:
    """How busy a service is, over all its backend servers.

    Each counts by what it gets done, its slots over its time of work. One of five that
    became twelve times slower, with a long queue, is a sixtieth of the service; counted
    by slots alone it had requests refused while four others stood half empty.
    """

    __slots__ = ("_known", "_unknown")

    def __init__(self) -> None:
        # Of servers whose time of work is known: sums of pressure times weight, and of
        # weights; of the others, just as long as none is known.
        self._known = [0.0, 0.0]
        self._unknown = [0.0, 0.0]

    @property
    def pressure(self) -> float:
        """Calls at work and waiting for each slot."""
        weighted, weights = self._known if self._known[1] else self._unknown
        return weighted / weights if weights else 0.0

    def add(self, occupied: float, slots: float, service_ms: float) -> None:
        """Add a backend server.

        Args:
            occupied: Calls at work and waiting there.
            slots: Calls that it works on at once.
            service_ms: Usual milliseconds of work, 0 before the first call.
        """
        sums = self._known if service_ms else self._unknown
        sums[0] += occupied / (service_ms or 1.0)
        sums[1] += slots / (service_ms or 1.0)


class Admission:
    """A level for each overloaded service: the part of the demand for it that passes.

    Demand is the calls at the service that requests lead to. Of a level of 0.7 the
    most urgent ranks use what they need, and the rank in which 0.7 of the demand is
    reached passes in part. So a level means the same however requests are spread
    over ranks, of which most may be nearly empty.

    Args:
        rng: Draws which of a rank pass in part.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._demand: dict[str, dict[int, SlidingCount]] = {}
        self._levels: dict[str, float] = {}
        self._passed: dict[str, dict[int, float]] = {}

    @property
    def levels(self) -> dict[str, float]:
        """Levels below 1, by service."""
        return self._levels

    def note_demand(self, visits: Mapping[str, float], rank: int, now: float) -> None:
        """Count a request, admitted or not.

        Args:
            visits: Calls at each service that it leads to.
            rank: Of the request, 0 the most urgent.
            now: Seconds.
        """
        for service, calls in visits.items():
            if calls < LEAST_VISITS:
                continue
            ranks = self._demand.setdefault(service, {})
            count = ranks.get(rank)
            if count is None:
                count = ranks[rank] = SlidingCount(DEMAND_SECONDS)
            count.add(now, calls)

    def update(self, loads: Mapping[str, Load], now: float) -> None:
        """Set the levels anew, once a step."""
        for service, load in loads.items():
            level = self._levels.get(service, 1.0)
            if load.pressure > TOO_BUSY:
                level *= 1.0 - min(MOST_FALL, FALL * (load.pressure - ROOM))
            elif load.pressure < ROOM:
                level += max(RISE, FILL * level * (FULL / max(load.pressure, 0.1) - 1))
            if level >= 1.0:
                self._levels.pop(service, None)
            else:
                self._levels[service] = max(LEAST_LEVEL, level)
        self._passed = {
            service: self._share_out(service, level, now)
            for service, level in self._levels.items()
        }

    def admits(self, visits: Mapping[str, float], rank: int) -> bool:
        """Whether a request that leads to these services may go in.

        Args:
            visits: Calls at each service that it leads to.
            rank: Of the request.
        """
        if not self._passed:
            return True
        passed = 1.0
        for service, calls in visits.items():
            ranks = self._passed.get(service)
            if ranks is not None and calls >= LEAST_VISITS:
                passed = min(passed, ranks.get(rank, 1.0))
        return passed >= 1.0 or self._rng.random() < passed

    def _share_out(self, service: str, level: float, now: float) -> dict[int, float]:
        """Return which part of each rank passes."""
        ranks = self._demand.get(service, {})
        demand = {rank: count.total(now) for rank, count in sorted(ranks.items())}
        left = level * sum(demand.values())
        passed: dict[int, float] = {}
        for rank, calls in demand.items():
            passed[rank] = min(1.0, left / calls) if calls else 1.0
            left = max(0.0, left - calls)
        return passed
