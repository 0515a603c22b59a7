"""Rate limits of many workspaces in an emulated fleet, by scenario and demand."""

import argparse
import collections
import concurrent.futures
from typing import Any

from primroseglade.emulator.network import NetworkPartition
from primroseglade.emulator.rate_scenarios import build_scenarios, DEMAND_RISE_SECONDS
from primroseglade.emulator.rate_simulation import (
    add_callers,
    CallOutcomes,
    count_ideal_admissions,
    count_tolerated_calls,
    Demand,
    WARM_UP_SECONDS,
)
from primroseglade.emulator.rates import RateFleet
from primroseglade.sidecar.model import Tenant

from .registry import benchmark

ZONES = 6
CALLS_SECONDS = 16.0
RATES_PER_SECOND = (2.0, 5.0, 10.0, 30.0, 100.0, 300.0)
DEMANDS = {
    "0.5": Demand(0.5),
    "0.9": Demand(0.9),
    "1.1": Demand(1.1),
    "3": Demand(3.0),
    "15": Demand(15.0),
    "1.06 to 7.5": Demand(1.06, (DEMAND_RISE_SECONDS, 7.5)),
}
# Higher rates per second are not simulated at the highest demand: it takes too long.
MAX_RATE_AT_HIGHEST_DEMAND = 30.0


class WorkspaceResult:
    """Result of one workspace in one simulation.

    Attributes:
        demand_name: Key in `DEMANDS`.
        worst_window_ratio: Most admitted calls in any window / tolerated calls.
        served_ratio: Admitted calls / calls that one exact token bucket would admit.
        p99_wait_ms: 99th percentile of the waits of admitted calls, in milliseconds.
    """

    __slots__ = ("demand_name", "p99_wait_ms", "served_ratio", "worst_window_ratio")

    def __init__(self, demand_name: str, rate: float, calls: CallOutcomes):
        self.demand_name = demand_name
        self.worst_window_ratio = (
            calls.get_max_calls_per_window() / count_tolerated_calls(rate, rate)
        )
        ideal = count_ideal_admissions(calls.arrival_times, rate, rate)
        self.served_ratio = len(calls.admission_times) / max(1, ideal)
        waits = sorted(calls.wait_seconds)
        self.p99_wait_ms = 1000.0 * waits[int(0.99 * len(waits))] if waits else 0.0


def simulate_scenario(name: str, node_count: int, seed: int) -> list[WorkspaceResult]:
    """Simulate a scenario with one workspace for each rate and demand."""
    scenario = build_scenarios()[name]
    warm_up_seconds = WARM_UP_SECONDS if scenario.first_start else 0.0
    partitions = [
        NetworkPartition(
            partition.start + warm_up_seconds,
            partition.end + warm_up_seconds,
            partition.get_side,
        )
        for partition in scenario.partitions
    ]
    zones = [number % ZONES for number in range(node_count)]
    fleet = RateFleet(zones, seed, partitions, scenario.first_start)
    for event_time, event in scenario.events:
        fleet.simulation.schedule(
            warm_up_seconds + event_time, lambda event=event: event(fleet)
        )
    workspace_calls = []
    for rate in RATES_PER_SECOND:
        for demand_name, demand in DEMANDS.items():
            if demand.max_multiple >= 15.0 and rate > MAX_RATE_AT_HIGHEST_DEMAND:
                continue
            tenant = Tenant(f"{rate:g} at {demand_name}", 1, rate, rate)
            calls = add_callers(
                fleet,
                tenant,
                demand,
                warm_up_seconds,
                warm_up_seconds + CALLS_SECONDS,
                range(node_count),
            )
            workspace_calls.append((demand_name, rate, calls))
    fleet.simulation.run(warm_up_seconds + CALLS_SECONDS)
    return [
        WorkspaceResult(demand, rate, calls) for demand, rate, calls in workspace_calls
    ]


@benchmark("fleet-rates")
async def measure_fleet_rates(options: argparse.Namespace) -> dict[str, Any]:
    """Simulate all scenarios and return the figures of each, by demand."""
    figures: dict[str, Any] = {}
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as executor:
        for name in build_scenarios():
            futures = [
                executor.submit(simulate_scenario, name, options.nodes, seed)
                for seed in range(options.seed, options.seed + options.seeds)
            ]
            results = [result for future in futures for result in future.result()]
            figures[name] = summarize(results)
    return figures


def summarize(results: list[WorkspaceResult]) -> dict[str, Any]:
    """Return the figures of one scenario by demand."""
    by_demand: dict[str, list[WorkspaceResult]] = collections.defaultdict(list)
    for result in results:
        by_demand[result.demand_name].append(result)
    return {
        f"demand {demand}": {
            "plays": len(group),
            "worst window": max(result.worst_window_ratio for result in group),
            "windows over": sum(result.worst_window_ratio > 1.0 for result in group),
            "served, mean": sum(result.served_ratio for result in group) / len(group),
            "wait ms, mean p99": sum(result.p99_wait_ms for result in group)
            / len(group),
        }
        for demand, group in by_demand.items()
    }
