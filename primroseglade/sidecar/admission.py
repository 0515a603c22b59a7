"""Which requests of callers are refused at once while a service below is overloaded.

A call that is refused deep in a graph throws away the work of all above it. So what
cannot be served is refused where it enters, least urgent first, by how much of the
demand the scarcest service can serve that it leads to.

How much that is, is reckoned and not searched for: what backend servers get done, over
the calls that all requests ask for, admitted or not. A queue tells of an overload only
when requests have come down the whole graph, and the state is told: by then a second
has passed, and levels that follow it swing.
"""

import random
from collections.abc import Mapping

from .retry_budget import SlidingCount

# Of what backend servers get done, what is let through: some calls are repeated, and a
# service with no room at all makes each of them wait.
ADMITTED_CAPACITY_RATIO = 0.95
# Calls at work and waiting for each slot. Above the first, more came than was reckoned
# with; below the second, less.
MAX_TARGET_UTILIZATION = 1.5
MIN_TARGET_UTILIZATION = 0.95
# What waits is worked off within so many seconds. It is seen late, and what is done
# about it shows later: in less time the level would swing.
QUEUE_DRAIN_SECONDS = 1.5
# The reckoning is corrected by these parts a step: slowly against the time after which
# a correction shows.
CORRECTION_DECREASE_RATIO = 0.01
CORRECTION_INCREASE_RATIO = 0.01
# And by this where slots stand empty: after an overload that was worse than reckoned.
FAST_RECOVERY_UTILIZATION = 0.7
FAST_CORRECTION_INCREASE_RATIO = 0.08
MIN_CORRECTION_FACTOR = 0.4
MAX_CORRECTION_FACTOR = 4.0
# While no calls wait, levels above this are taken for an error of the reckoning.
MAX_INITIAL_ADMISSION_LEVEL = 0.85
# Some always pass, or nothing would show that there is room.
MIN_ADMISSION_LEVEL = 0.05
# Demand is counted over this span, in seconds: long enough for some requests at each
# node, and a burst has to be seen before queues are full.
DEMAND_WINDOW_SECONDS = 1.0
# A service that one request in so many reaches is no reason to refuse it.
MIN_CALLS_PER_REQUEST = 0.05


class ServiceLoad:
    """How busy a service is, over all its backend servers.

    Each counts by what it gets done, its slots over its time of work. One of five that
    became twelve times slower, with a long queue, is a sixtieth of the service; counted
    by slots alone it had requests refused while four others stood half empty.
    """

    __slots__ = ("_sums", "_sums_without_slot_time", "queued")

    def __init__(self) -> None:
        #: Calls that wait for a slot.
        self.queued = 0.0
        # Of servers whose time of work is known: sums of pressure times weight, and of
        # weights; of the others, just as long as none is known.
        self._sums = [0.0, 0.0]
        self._sums_without_slot_time = [0.0, 0.0]

    @property
    def capacity(self) -> float:
        """Calls that it gets done in a second; 0 where that is not known."""
        return self._sums[1] * 1000

    @property
    def utilization(self) -> float:
        """Calls at work and waiting for each slot."""
        weighted_utilization, total_weight = (
            self._sums if self._sums[1] else self._sums_without_slot_time
        )
        return weighted_utilization / total_weight if total_weight else 0.0

    def add(self, in_flight: float, slots: float, slot_ms: float) -> None:
        """Add a backend server.

        Args:
            in_flight: Calls at work and waiting there.
            slots: Calls that it works on at once.
            slot_ms: Usual milliseconds for which a call holds a slot, 0 before the
                first.
        """
        self.queued += max(0.0, in_flight - slots)
        sums = self._sums if slot_ms else self._sums_without_slot_time
        sums[0] += in_flight / (slot_ms or 1.0)
        sums[1] += slots / (slot_ms or 1.0)


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
        self._correction_factors: dict[str, float] = {}
        self._admission_levels: dict[str, float] = {}
        self._admitted_fractions: dict[str, dict[int, float]] = {}

    @property
    def admission_levels(self) -> dict[str, float]:
        """Levels below 1, by service."""
        return self._admission_levels

    def record_demand(self, visits: Mapping[str, float], rank: int, now: float) -> None:
        """Count a request, admitted or not.

        Args:
            visits: Calls at each service that it leads to.
            rank: Of the request, 0 the most urgent.
            now: Seconds.
        """
        for service, calls in visits.items():
            if calls < MIN_CALLS_PER_REQUEST:
                continue
            counts = self._demand.setdefault(service, {})
            count = counts.get(rank)
            if count is None:
                count = counts[rank] = SlidingCount(DEMAND_WINDOW_SECONDS)
            count.add(now, calls)

    def measure_demand(self, now: float) -> dict[str, float]:
        """Return calls a second that requests here lead to, by service."""
        demand = {
            service: sum(count.total(now) for count in ranks.values())
            / DEMAND_WINDOW_SECONDS
            for service, ranks in self._demand.items()
        }
        return {service: round(calls, 1) for service, calls in demand.items() if calls}

    def update(
        self, loads: Mapping[str, ServiceLoad], demand: Mapping[str, float], now: float
    ) -> None:
        """Set the levels anew, once a step.

        Args:
            loads: How busy each service is.
            demand: Calls a second that requests at all nodes lead to, by service.
            now: Seconds on the loop's clock.
        """
        for service, load in loads.items():
            level = self._compute_level(service, load, demand.get(service, 0.0))
            if level >= 1.0:
                self._admission_levels.pop(service, None)
            else:
                self._admission_levels[service] = max(MIN_ADMISSION_LEVEL, level)
        self._admitted_fractions = {
            service: self._compute_admitted_fractions(service, level, now)
            for service, level in self._admission_levels.items()
        }

    def _compute_level(self, service: str, load: ServiceLoad, demand: float) -> float:
        """Return the part of the demand that a service can serve."""
        correction_factor = self._correction_factors.get(service, 1.0)
        utilization = load.utilization
        if utilization > MAX_TARGET_UTILIZATION:
            correction_factor *= 1.0 - CORRECTION_DECREASE_RATIO
        elif utilization < MIN_TARGET_UTILIZATION and (
            correction_factor < 1.0 or service in self._admission_levels
        ):
            correction_factor *= 1.0 + (
                FAST_CORRECTION_INCREASE_RATIO
                if utilization < FAST_RECOVERY_UTILIZATION
                else CORRECTION_INCREASE_RATIO
            )
        elif service not in self._admission_levels:
            correction_factor = min(correction_factor, 1.0)
        self._correction_factors[service] = min(
            MAX_CORRECTION_FACTOR, max(MIN_CORRECTION_FACTOR, correction_factor)
        )
        if not load.capacity or not demand:
            return 1.0
        target_rate = (
            self._correction_factors[service] * ADMITTED_CAPACITY_RATIO * load.capacity
        )
        level = (target_rate - load.queued / QUEUE_DRAIN_SECONDS) / demand
        if (
            level > MAX_INITIAL_ADMISSION_LEVEL
            and utilization < MIN_TARGET_UTILIZATION
            and service not in self._admission_levels
        ):
            return 1.0
        return level

    def admits(self, visits: Mapping[str, float], rank: int) -> bool:
        """Whether a request that leads to these services may go in.

        Args:
            visits: Calls at each service that it leads to.
            rank: Of the request.
        """
        if not self._admitted_fractions:
            return True
        admitted_fraction = 1.0
        for service, calls in visits.items():
            fractions = self._admitted_fractions.get(service)
            if fractions is not None and calls >= MIN_CALLS_PER_REQUEST:
                admitted_fraction = min(admitted_fraction, fractions.get(rank, 1.0))
        return admitted_fraction >= 1.0 or self._rng.random() < admitted_fraction

    def _compute_admitted_fractions(
        self, service: str, level: float, now: float
    ) -> dict[int, float]:
        """Return which part of each rank passes."""
        counts = self._demand.get(service, {})
        demand = {rank: count.total(now) for rank, count in sorted(counts.items())}
        remaining = level * sum(demand.values())
        admitted_fractions: dict[int, float] = {}
        for rank, calls in demand.items():
            admitted_fractions[rank] = min(1.0, remaining / calls) if calls else 1.0
            remaining = max(0.0, remaining - calls)
        return admitted_fractions
