"""Decides which requests are refused while a downstream service is overloaded.

A call that is refused deep in the call graph wastes the work of all services above it.
Excess load is therefore refused where requests enter, the least urgent first. Each
overloaded service has an admission level: the fraction of the demand for it that is
admitted. A request is subject to the lowest level among the services that it calls,
directly or through other services.

The level is the estimated capacity, less what is needed to drain the queues, divided by
the demand of all requests, admitted or not. Utilization only corrects the estimate, and
slowly. A controller that followed the queue length would oscillate: the queue shows an
overload about a second late, after requests have passed through the whole graph and the
state has been broadcast.
"""

import random
from collections.abc import Mapping

from .admission_order import compute_admitted_fractions, RankDemand
from .retry_budget import SlidingCount
from .service_load import MAX_TARGET_UTILIZATION, ServiceLoad

# Fraction of the estimated capacity that is admitted. The rest is left for retries:
# at a service without spare capacity each retry makes other calls queue.
ADMITTED_CAPACITY_RATIO = 0.95
# The capacity estimate of a service is multiplied by a correction factor. The factor
# falls while the utilization is above `MAX_TARGET_UTILIZATION`, and rises while it is
# below this one.
MIN_TARGET_UTILIZATION = 0.95
# Time in which queued calls are to be completed. With a shorter time the level would
# oscillate: queues are reported late, and a new level takes effect later still.
QUEUE_DRAIN_SECONDS = 1.5
# Relative change of the correction factor per update; small, because a change shows in
# the utilization only some updates later.
CORRECTION_DECREASE_RATIO = 0.01
CORRECTION_INCREASE_RATIO = 0.01
# Below this utilization the correction factor rises faster: slots are idle because the
# factor fell too far during an overload.
FAST_RECOVERY_UTILIZATION = 0.7
FAST_CORRECTION_INCREASE_RATIO = 0.08
# Relative decrease per update while slots are full and the factor is above 1. While
# backend servers reject calls, requests fail before they make all of their calls, and
# the factor rises. It has to return quickly when the rejections end.
EXCESS_CORRECTION_DECREASE_RATIO = 0.1
# Bounds of the correction factor.
MIN_CORRECTION_FACTOR = 0.4
MAX_CORRECTION_FACTOR = 4.0
# A computed level above this does not start load shedding while the utilization is
# below the target range: the gap to 1 may just be an error of the capacity estimate.
MAX_INITIAL_ADMISSION_LEVEL = 0.85
# Fraction of the demand that is always admitted: without any calls, the recovery of a
# service would go unnoticed.
MIN_ADMISSION_LEVEL = 0.05
# Window in which demand is counted: long enough for each node to receive some requests,
# short enough to notice a burst before queues are full.
DEMAND_WINDOW_SECONDS = 1.0
# Demand from which on it is broadcast as a whole number of calls per second.
MIN_WHOLE_DEMAND = 10.0
# A request that makes fewer calls than this to a service on average does not count
# towards the service's demand and is not refused because of the service's overload.
MIN_CALLS_PER_REQUEST = 0.05


class _RankCount:
    """Recent requests of one rank, and the calls to a service that they cause."""

    __slots__ = ("calls", "requests")

    def __init__(self) -> None:
        self.calls = SlidingCount(DEMAND_WINDOW_SECONDS)
        self.requests = SlidingCount(DEMAND_WINDOW_SECONDS)


class Admission:
    """Keeps an admission level for each overloaded service and applies it to requests.

    The demand for a service is the rate of calls to it that requests cause. At a level
    of 0.7 requests are admitted by urgency until they make up 0.7 of the demand: the
    most urgent ranks are admitted whole, and the rank that reaches the limit in part.
    A level therefore has the same effect however requests are distributed over ranks,
    even if most ranks are nearly empty.

    Args:
        rng: Selects the requests of a partly admitted rank.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        # Recent requests that lead to each service, by rank.
        self._demand: dict[str, dict[int, _RankCount]] = {}
        self._correction_factors: dict[str, float] = {}
        self._admission_levels: dict[str, float] = {}
        # For each overloaded service, the admitted fraction of each rank.
        self._admitted_fractions: dict[str, dict[int, float]] = {}
        # When most backend servers of a service will be warm, if few are now.
        self._warm_at: dict[str, float] = {}

    @property
    def admission_levels(self) -> dict[str, float]:
        """Admission levels by service; only those below 1."""
        return self._admission_levels

    def record_demand(
        self, expected_calls: Mapping[str, float], rank: int, now: float
    ) -> None:
        """Record the demand of a request, admitted or not.

        Args:
            expected_calls: Calls to each service that the request is expected to cause.
            rank: Urgency of the request, 0 the most urgent.
            now: Seconds on the loop's clock.
        """
        for service, calls in expected_calls.items():
            if calls < MIN_CALLS_PER_REQUEST:
                continue
            counts = self._demand.setdefault(service, {})
            count = counts.get(rank)
            if count is None:
                count = counts[rank] = _RankCount()
            count.requests.add(now)
            count.calls.add(now, calls)

    def measure_demand(self, now: float) -> dict[str, float]:
        """Return the calls per second that requests at this node cause, by service."""
        demand = {
            service: sum(count.calls.total(now) for count in ranks.values())
            / DEMAND_WINDOW_SECONDS
            for service, ranks in self._demand.items()
        }
        # Whole numbers take two or three bytes in a broadcast, fractions nine.
        return {
            service: round(calls) if calls >= MIN_WHOLE_DEMAND else round(calls, 1)
            for service, calls in demand.items()
            if calls
        }

    def update(
        self, loads: Mapping[str, ServiceLoad], demand: Mapping[str, float], now: float
    ) -> None:
        """Recompute the admission levels; called at every tick of the scheduler.

        Args:
            loads: Load of each service.
            demand: Calls per second that requests at all nodes cause, by service.
            now: Seconds on the loop's clock.
        """
        self._warm_at = {
            service: now + load.warm_up_seconds
            for service, load in loads.items()
            if load.warm_up_seconds
        }
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

    def get_warm_up_seconds(
        self, expected_calls: Mapping[str, float], now: float
    ) -> float:
        """Return how long the services that a request needs still warm up, 0 if none.

        Args:
            expected_calls: Calls to each service that the request is expected to cause.
            now: Seconds on the loop's clock.
        """
        return max(
            (
                self._warm_at[service] - now
                for service in expected_calls
                if service in self._warm_at
            ),
            default=0.0,
        )

    def _compute_level(self, service: str, load: ServiceLoad, demand: float) -> float:
        """Update the correction factor and return the admission level of a service."""
        correction_factor = self._update_correction_factor(service, load)
        utilization = load.utilization
        if not load.capacity or not demand:
            return 1.0
        target_rate = correction_factor * ADMITTED_CAPACITY_RATIO * load.capacity
        level = (target_rate - load.queued / QUEUE_DRAIN_SECONDS) / demand
        if (
            level > MAX_INITIAL_ADMISSION_LEVEL
            and utilization < MIN_TARGET_UTILIZATION
            and service not in self._admission_levels
        ):
            return 1.0
        return level

    def _update_correction_factor(self, service: str, load: ServiceLoad) -> float:
        """Update the correction factor of a service, and return it."""
        factor = self._correction_factors.get(service, 1.0)
        utilization = load.utilization
        is_shedding = service in self._admission_levels
        if utilization > MAX_TARGET_UTILIZATION:
            factor *= 1.0 - (
                EXCESS_CORRECTION_DECREASE_RATIO
                if factor > 1.0
                else CORRECTION_DECREASE_RATIO
            )
        elif utilization < MIN_TARGET_UTILIZATION and (factor < 1.0 or is_shedding):
            factor *= 1.0 + (
                FAST_CORRECTION_INCREASE_RATIO
                if utilization < FAST_RECOVERY_UTILIZATION
                else CORRECTION_INCREASE_RATIO
            )
        elif not is_shedding:
            factor = min(factor, 1.0)
        factor = min(MAX_CORRECTION_FACTOR, max(MIN_CORRECTION_FACTOR, factor))
        self._correction_factors[service] = factor
        return factor

    def admits(self, expected_calls: Mapping[str, float], rank: int) -> bool:
        """Return whether a request is admitted.

        Args:
            expected_calls: Calls to each service that the request is expected to cause.
            rank: Urgency of the request, 0 the most urgent.
        """
        if not self._admitted_fractions:
            return True
        admitted_fraction = 1.0
        for service, calls in expected_calls.items():
            fractions = self._admitted_fractions.get(service)
            if fractions is not None and calls >= MIN_CALLS_PER_REQUEST:
                admitted_fraction = min(admitted_fraction, fractions.get(rank, 1.0))
        return admitted_fraction >= 1.0 or self._rng.random() < admitted_fraction

    def _compute_admitted_fractions(
        self, service: str, level: float, now: float
    ) -> dict[int, float]:
        """Return the admitted fraction of each rank at a service's admission level."""
        counts = self._demand.get(service, {})
        demands = [
            RankDemand(rank, count.requests.total(now), count.calls.total(now))
            for rank, count in counts.items()
        ]
        admitted_calls = level * sum(demand.calls for demand in demands)
        return compute_admitted_fractions(demands, admitted_calls)
