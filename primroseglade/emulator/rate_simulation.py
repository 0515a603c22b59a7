"""Simulates calls of workspaces to an emulated fleet and records the outcome."""

import bisect
import random
from collections.abc import Callable, Sequence

from ..sidecar.model import Tenant
from .network import NetworkPartition
from .rates import (
    RateFleet,
    TOLERATED_EXTRA_CALLS,
    TOLERATED_OVERSHOOT_RATIO,
    WINDOW_SECONDS,
)

# Nodes are up for this long before the first call, unless the simulation begins with a
# restart of the fleet.
WARM_UP_SECONDS = 5.0


class CallOutcomes:
    """Calls of a workspace in one simulation; times in seconds from the first call.

    Attributes:
        arrival_times: Arrival times of all calls.
        admission_times: Times at which calls were admitted.
        wait_seconds: Seconds that each admitted call waited for a token.
    """

    __slots__ = ("admission_times", "arrival_times", "wait_seconds")

    def __init__(self) -> None:
        self.arrival_times: list[float] = []
        self.admission_times: list[float] = []
        self.wait_seconds: list[float] = []

    def get_max_calls_per_window(self) -> int:
        """Return the maximum number of calls admitted within `WINDOW_SECONDS`."""
        return max(
            (
                bisect.bisect_right(self.admission_times, start + WINDOW_SECONDS)
                - number
                for number, start in enumerate(self.admission_times)
            ),
            default=0,
        )


def count_tolerated_calls(rate: float, burst: float) -> float:
    """Return the number of calls that operators tolerate within `WINDOW_SECONDS`."""
    return (rate * WINDOW_SECONDS + burst) * (
        1.0 + TOLERATED_OVERSHOOT_RATIO
    ) + TOLERATED_EXTRA_CALLS


def count_ideal_admissions(
    arrival_times: Sequence[float], rate: float, burst: float
) -> int:
    """Return the number of calls that one exact token bucket would admit.

    >>> count_ideal_admissions([0.0, 0.0, 0.0, 1.0], rate=1.0, burst=2.0)
    3
    """
    tokens = burst
    last_arrival = 0.0
    admitted = 0
    for arrival in arrival_times:
        tokens = min(burst, tokens + rate * (arrival - last_arrival))
        last_arrival = arrival
        if tokens >= 1.0:
            tokens -= 1.0
            admitted += 1
    return admitted


class Demand:
    """Call rate of a workspace over time, as a multiple of its rate limit.

    Args:
        multiple: Multiple before the rise.
        rise: Time of the rise in seconds and the multiple after it; None for no rise.
    """

    __slots__ = ("multiple", "rise")

    def __init__(self, multiple: float, rise: tuple[float, float] | None = None):
        self.multiple = multiple
        self.rise = rise

    def get_multiple(self, now: float) -> float:
        """Return the multiple at a time in seconds."""
        if self.rise is not None and now >= self.rise[0]:
            return self.rise[1]
        return self.multiple

    @property
    def max_multiple(self) -> float:
        """Maximum multiple."""
        return max(self.multiple, self.rise[1] if self.rise is not None else 0.0)


def add_callers(
    fleet: RateFleet,
    tenant: Tenant,
    demand: Demand,
    start: float,
    end: float,
    nodes: Sequence[int],
) -> CallOutcomes:
    """Schedule calls of a workspace to some nodes, at random times.

    Args:
        fleet: Fleet that serves the calls.
        tenant: The workspace.
        demand: Demand of the workspace; times from ``start``.
        start: Simulated time from which calls arrive, in seconds.
        end: Simulated time at which they end, in seconds.
        nodes: Numbers of the nodes that get calls; some get more than others.

    Returns:
        The calls, which are recorded while the simulation runs.
    """
    # A separate generator, so that the same calls arrive whatever random numbers the
    # fleet draws.
    rng = random.Random(f"{fleet.seed} {tenant.name}")
    outcomes = CallOutcomes()
    weights = [rng.uniform(0.5, 2.0) for _ in nodes]
    max_calls_per_second = demand.max_multiple * tenant.rate

    def arrive() -> None:
        now = fleet.simulation.now
        fleet.simulation.schedule(now + rng.expovariate(max_calls_per_second), arrive)
        if (
            now >= end
            or rng.random() >= demand.get_multiple(now - start) / demand.max_multiple
        ):
            return
        outcomes.arrival_times.append(now - start)
        number = rng.choices(nodes, cum_weights=cumulative_weights)[0]

        def record_decision(granted: bool) -> None:
            if granted:
                outcomes.wait_seconds.append(fleet.simulation.now - now)
                outcomes.admission_times.append(fleet.simulation.now - start)

        fleet.call(number, tenant, record_decision)

    cumulative_weights = [sum(weights[: index + 1]) for index in range(len(weights))]
    fleet.simulation.schedule(start + rng.expovariate(max_calls_per_second), arrive)
    return outcomes


def simulate_workspace(
    node_count: int,
    rate: float,
    demand: Demand,
    seconds: float,
    seed: int,
    first_start: bool = True,
    zone_count: int = 6,
    partitions: Sequence[NetworkPartition] = (),
    inject_faults: Callable[[RateFleet], None] = lambda fleet: None,
) -> CallOutcomes:
    """Simulate one workspace whose burst is the calls of one second at its rate.

    Args:
        node_count: Number of nodes.
        rate: Rate limit of the workspace, in calls per second.
        demand: Demand of the workspace.
        seconds: Duration of the calls, in seconds.
        seed: Seed of all random numbers.
        first_start: Whether the fleet starts for the first time; otherwise all nodes
            have just been restarted when calls begin.
        zone_count: Number of availability zones.
        partitions: Network partitions; times from the first call.
        inject_faults: Schedules other faults, in simulated time: the calls begin at
            `WARM_UP_SECONDS` if the fleet starts for the first time, else at 0.

    Returns:
        The calls and their outcome.
    """
    warm_up_seconds = WARM_UP_SECONDS if first_start else 0.0
    shifted_partitions = [
        NetworkPartition(
            partition.start + warm_up_seconds,
            partition.end + warm_up_seconds,
            partition.get_side,
        )
        for partition in partitions
    ]
    fleet = RateFleet(
        [node % zone_count for node in range(node_count)],
        seed,
        shifted_partitions,
        first_start,
    )
    inject_faults(fleet)
    tenant = Tenant("north", 1, rate, rate)
    outcomes = add_callers(
        fleet,
        tenant,
        demand,
        warm_up_seconds,
        warm_up_seconds + seconds,
        range(node_count),
    )
    fleet.simulation.run(warm_up_seconds + seconds)
    return outcomes
