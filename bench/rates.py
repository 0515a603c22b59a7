"""Accuracy of a fleet's rate limits at even and skewed demand."""

import argparse
import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from primroseglade.demo.deployments import DEPLOYMENTS
from primroseglade.document.document import digest_key
from primroseglade.node import Node
from primroseglade.rates.bucket import Bucket
from primroseglade.stand_ins.fleet import EmbeddedFleet
from primroseglade.verdicts import Refusal

from .registry import benchmark

SETTINGS = {"log": {"level": "error"}, "traces": {"sampled": 0}}
NODES_PER_ZONE = 3
CALLS_SECONDS = 8.0
MAX_WAIT_SECONDS = 2.0
# Rate per second, burst, and demand as a multiple of the rate.
CASES = {
    "small, 5/s": (5.0, 10.0, 0.9),
    "middle, 40/s": (40.0, 40.0, 0.9),
    "large, 200/s": (200.0, 200.0, 0.9),
    "large at 5 times its rate": (200.0, 200.0, 5.0),
}

ChooseNode = Callable[[list[Node], random.Random], Node]
TakeToken = Callable[[Node, float], Any]

DEMAND_PATTERNS: dict[str, ChooseNode] = {
    "even": lambda nodes, rng: rng.choice(nodes),
    "one zone": lambda nodes, rng: rng.choice(nodes[:NODES_PER_ZONE]),
    "one node": lambda nodes, rng: nodes[0],
}


class CaseOutcome:
    """Calls of one case: when each was sent and when it got a token (None: refused)."""

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.calls: list[tuple[float, float | None]] = []

    def count_refused_within_rate(self) -> int:
        """Return how many more calls a single local bucket would have granted.

        Only the totals are compared: above the rate, it is a matter of chance which
        calls get the tokens.
        """
        ideal_bucket = Bucket(self.rate, self.burst, 0.0, 0.0)
        ideal_bucket.accrue(1e9)
        ideal_count = 0
        start = 1e9
        first_sent_at = min(sent_at for sent_at, _ in self.calls)
        for sent_at in sorted(sent_at for sent_at, _ in self.calls):
            now = start + sent_at - first_sent_at
            ideal_bucket.accrue(now)
            if ideal_bucket.level >= 1:
                ideal_count += 1
                grant = ideal_bucket.grant(1.0, 1e-9, now)
                assert grant is not None
                ideal_bucket.record_spent(grant.id, now)
        granted_count = sum(granted_at is not None for _, granted_at in self.calls)
        return max(0, ideal_count - granted_count)

    def find_worst_window(self) -> float:
        """Return the maximum over all windows of granted calls / allowed calls."""
        times = sorted(
            granted_at for _, granted_at in self.calls if granted_at is not None
        )
        worst_ratio = 0.0
        for first in range(len(times)):
            for last in range(first, len(times)):
                allowed = self.burst + self.rate * (times[last] - times[first])
                worst_ratio = max(worst_ratio, (last - first + 1) / allowed)
        return worst_ratio


async def run_case(
    nodes: list[Node],
    workspace: str,
    case: tuple[float, float, float],
    choose_node: ChooseNode,
    seconds: float,
    take_token: TakeToken,
    seed: int,
) -> CaseOutcome:
    """Send open-loop demand to the nodes and return its outcome."""
    rate, burst, demand_ratio = case
    rng = random.Random(seed)
    outcome = CaseOutcome(rate, burst)
    tasks = []

    async def send_call(node: Node) -> None:
        sent_at = time.monotonic()
        try:
            await take_token(node, MAX_WAIT_SECONDS)
            outcome.calls.append((sent_at, time.monotonic()))
        except Refusal:
            outcome.calls.append((sent_at, None))

    due = time.monotonic()
    end = due + seconds
    while due < end:
        due += rng.expovariate(rate * demand_ratio)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.create_task(send_call(choose_node(nodes, rng))))
    await asyncio.gather(*tasks)
    return outcome


def split_statically(nodes: list[Node], rate: float, burst: float) -> TakeToken:
    """Return the baseline that gives each node a fixed, equal part of the rate."""
    node_count = len(nodes)
    buckets = {
        node: Bucket(rate / node_count, burst / node_count, time.monotonic(), 0.0)
        for node in nodes
    }
    for bucket in buckets.values():
        bucket.accrue(time.monotonic() + burst / rate)

    async def take_token(node: Node, _: float) -> None:
        now = time.monotonic()
        bucket = buckets[node]
        bucket.accrue(now)
        grant = bucket.grant(1.0, 1e-9, now) if bucket.level >= 1 else None
        if grant is None:
            raise Refusal.__new__(Refusal)
        bucket.record_spent(grant.id, now)

    return take_token


def build_document(deployment: str, zones: tuple[str, ...]) -> dict[str, Any]:
    """Return a document in which the given zones share all rates equally."""
    names = {name: f"w{number}" for number, name in enumerate(CASES)}
    all_zones = DEPLOYMENTS[deployment].zones
    shares = {zone: 1 / len(zones) if zone in zones else 0.0 for zone in all_zones}
    return {
        "zones": {zone: {"share": share} for zone, share in shares.items()},
        "workspaces": {
            name: {"keys": [{"id": name, "digest": digest_key(name)}]}
            for name in names.values()
        },
        "rates": {
            names[case]: {"per_second": rate, "burst": burst}
            for case, (rate, burst, _) in CASES.items()
        },
    }


async def measure_fleet(
    options: argparse.Namespace, zones: tuple[str, ...], static_split: bool
) -> dict[str, Any]:
    """Run all cases with each demand pattern on a new fleet; return their figures."""
    figures: dict[str, Any] = {}
    async with EmbeddedFleet(SETTINGS) as fleet:
        await fleet.publish(**build_document(options.deployment, zones))
        for zone in DEPLOYMENTS[options.deployment].zones:
            for _ in range(NODES_PER_ZONE):
                await fleet.add(zone)
        await fleet.wait_ready()
        for pattern_name, choose_node in DEMAND_PATTERNS.items():
            # Let all buckets fill up before each pattern.
            await asyncio.sleep(3)
            outcomes = await asyncio.gather(
                *(
                    run_fleet_case(
                        fleet.nodes, number, case, choose_node, options, static_split
                    )
                    for number, case in enumerate(CASES.values())
                )
            )
            for name, outcome in zip(CASES, outcomes, strict=True):
                granted = sum(granted_at is not None for _, granted_at in outcome.calls)
                figures.setdefault(pattern_name, {})[name] = {
                    "asked": len(outcome.calls),
                    "granted": granted,
                    "granted/allowed, worst window": outcome.find_worst_window(),
                    "refused within rate %": round(
                        100 * outcome.count_refused_within_rate() / len(outcome.calls),
                        3,
                    ),
                }
    return figures


async def run_fleet_case(
    nodes: list[Node],
    number: int,
    case: tuple[float, float, float],
    choose_node: ChooseNode,
    options: argparse.Namespace,
    static_split: bool,
) -> CaseOutcome:
    """Run one case with the fleet's rate limits or with the static split."""
    workspace = f"w{number}"

    async def take_fleet_token(node: Node, max_wait_seconds: float) -> None:
        await node.rates.limiter.charge(workspace, max_wait_seconds)

    take_token = (
        split_statically(nodes, case[0], case[1]) if static_split else take_fleet_token
    )
    seconds = options.seconds or CALLS_SECONDS
    return await run_case(
        nodes, workspace, case, choose_node, seconds, take_token, options.seed + number
    )


@benchmark("rates")
async def measure_rates(options: argparse.Namespace) -> dict[str, Any]:
    """Compare buckets in all zones, a bucket in one zone, and a fixed part per node."""
    zones = DEPLOYMENTS[options.deployment].zones
    zone_buckets = await measure_fleet(options, zones, False)
    if "baselines" in options.off:
        return {"zone buckets with loans": zone_buckets}
    return {
        "zone buckets with loans": zone_buckets,
        "one zone holds all": await measure_fleet(options, zones[:1], False),
        "static split a node": await measure_fleet(options, zones, True),
    }
