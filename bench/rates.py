"""Granted against allowed, and refused within rate, at even and at skewed demand."""

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

from .registry import bench

SETTINGS = {"log": {"level": "error"}, "traces": {"sampled": 0}}
NODES_A_ZONE = 3
SECONDS = 8.0
PATIENCE = 2.0
# Rate, burst, and demand as a share of the rate.
CASES = {
    "small, 5/s": (5.0, 10.0, 0.9),
    "middle, 40/s": (40.0, 40.0, 0.9),
    "large, 200/s": (200.0, 200.0, 0.9),
    "large at 5 times its rate": (200.0, 200.0, 5.0),
}

Choose = Callable[[list[Node], random.Random], Node]
Charge = Callable[[Node, float], Any]

DEMANDS: dict[str, Choose] = {
    "even": lambda nodes, rng: rng.choice(nodes),
    "one zone": lambda nodes, rng: rng.choice(nodes[:NODES_A_ZONE]),
    "one node": lambda nodes, rng: nodes[0],
}


class Outcome:
    """Calls of one case: when each was asked, and when its token came, if it did."""

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.asked: list[tuple[float, float | None]] = []

    def count_refused_within(self) -> int:
        """Return how many more calls one bucket with no network would have granted.

        Not call by call: over the rate it is a matter of chance which calls get the
        tokens, and only their number counts.
        """
        ideal = Bucket(self.rate, self.burst, 0.0, 0.0)
        ideal.accrue(1e9)
        ideally = 0
        start = 1e9
        first = min(at for at, _ in self.asked)
        for at in sorted(at for at, _ in self.asked):
            now = start + at - first
            ideal.accrue(now)
            if ideal.level >= 1:
                ideally += 1
                grant = ideal.grant(1.0, 1e-9, now)
                assert grant is not None
                ideal.record_spent(grant.id, now)
        granted_in_all = sum(at is not None for _, at in self.asked)
        return max(0, ideally - granted_in_all)

    def find_worst_window(self) -> float:
        """Return the highest granted / allowed over all windows."""
        times = sorted(at for _, at in self.asked if at is not None)
        worst = 0.0
        for first in range(len(times)):
            for last in range(first, len(times)):
                allowed = self.burst + self.rate * (times[last] - times[first])
                worst = max(worst, (last - first + 1) / allowed)
        return worst


async def run_case(
    nodes: list[Node],
    workspace: str,
    case: tuple[float, float, float],
    choose: Choose,
    seconds: float,
    charge: Charge,
    seed: int,
) -> Outcome:
    """Send open-loop demand and note what became of it."""
    rate, burst, demand = case
    rng = random.Random(seed)
    outcome = Outcome(rate, burst)
    tasks = []

    async def ask(node: Node) -> None:
        asked = time.monotonic()
        try:
            await charge(node, PATIENCE)
            outcome.asked.append((asked, time.monotonic()))
        except Refusal:
            outcome.asked.append((asked, None))

    due = time.monotonic()
    end = due + seconds
    while due < end:
        due += rng.expovariate(rate * demand)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.create_task(ask(choose(nodes, rng))))
    await asyncio.gather(*tasks)
    return outcome


def split_statically(nodes: list[Node], rate: float, burst: float) -> Charge:
    """Return the baseline that gives each node its fixed part."""
    part = len(nodes)
    buckets = {
        node: Bucket(rate / part, burst / part, time.monotonic(), 0.0) for node in nodes
    }
    for bucket in buckets.values():
        bucket.accrue(time.monotonic() + burst / rate)

    async def charge(node: Node, _: float) -> None:
        now = time.monotonic()
        bucket = buckets[node]
        bucket.accrue(now)
        grant = bucket.grant(1.0, 1e-9, now) if bucket.level >= 1 else None
        if grant is None:
            raise Refusal.__new__(Refusal)
        bucket.record_spent(grant.id, now)

    return charge


def build_document(deployment: str, zones: tuple[str, ...]) -> dict[str, Any]:
    """Return a document in which these zones share all rates."""
    names = {name: f"w{number}" for number, name in enumerate(CASES)}
    everywhere = DEPLOYMENTS[deployment].zones
    shares = {zone: 1 / len(zones) if zone in zones else 0.0 for zone in everywhere}
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
    options: argparse.Namespace, zones: tuple[str, ...], statically: bool
) -> dict[str, Any]:
    """Run every case on a fleet of its own and return its figures."""
    figures: dict[str, Any] = {}
    async with EmbeddedFleet(SETTINGS) as fleet:
        await fleet.publish(**build_document(options.deployment, zones))
        for zone in DEPLOYMENTS[options.deployment].zones:
            for _ in range(NODES_A_ZONE):
                await fleet.add(zone)
        await fleet.wait_ready()
        for demand, choose in DEMANDS.items():
            # All buckets fill up before each pattern.
            await asyncio.sleep(3)
            outcomes = await asyncio.gather(
                *(
                    run_one(fleet.nodes, number, case, choose, options, statically)
                    for number, case in enumerate(CASES.values())
                )
            )
            for name, outcome in zip(CASES, outcomes, strict=True):
                granted = sum(at is not None for _, at in outcome.asked)
                figures.setdefault(demand, {})[name] = {
                    "asked": len(outcome.asked),
                    "granted": granted,
                    "granted/allowed, worst window": outcome.find_worst_window(),
                    "refused within rate %": round(
                        100 * outcome.count_refused_within() / len(outcome.asked), 3
                    ),
                }
    return figures


async def run_one(
    nodes: list[Node],
    number: int,
    case: tuple[float, float, float],
    choose: Choose,
    options: argparse.Namespace,
    statically: bool,
) -> Outcome:
    """Run one case by the fleet's own rates or by the static split."""
    workspace = f"w{number}"

    async def charge(node: Node, patience: float) -> None:
        await node.rates.limiter.charge(workspace, patience)

    chosen = split_statically(nodes, case[0], case[1]) if statically else charge
    seconds = options.seconds or SECONDS
    return await run_case(
        nodes, workspace, case, choose, seconds, chosen, options.seed + number
    )


@bench("rates")
async def measure_rates(options: argparse.Namespace) -> dict[str, Any]:
    """Compare zones' buckets with loans, one holder for all, and a static split."""
    zones = DEPLOYMENTS[options.deployment].zones
    loans = await measure_fleet(options, zones, False)
    if "baselines" in options.off:
        return {"zone buckets with loans": loans}
    return {
        "zone buckets with loans": loans,
        "one zone holds all": await measure_fleet(options, zones[:1], False),
        "static split a node": await measure_fleet(options, zones, True),
    }
