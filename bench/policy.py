"""Policy under load and faults: goodput, recovery, fair shares, retries, waste."""

import argparse
import asyncio
import time
from typing import Any

from primroseglade.stand_ins.fleet import EmbeddedFleet

from .registry import bench
from .trial import Layer, Outcome, Trial, Workload

BIN_SECONDS = 0.25
RECOVERED = 0.95

# Baselines of our own: nothing at all, and the usual fixed limit with retries.
NO_CONTROL = ["limit", "queue", "retry-tokens", "retry-share", "throttle", "doomed"]
PLAIN = [
    "queue",
    "retry-tokens",
    "retry-share",
    "importance",
    "fair-shares",
    "same-order",
    "throttle",
    "doomed",
]


def build_chain(demand: dict[str, float], **options: Any) -> Workload:
    """Return a chain of four services whose deepest is the narrowest."""
    layers = {
        "deep": Layer(4, 1, 0.2),
        "third": Layer(2, 30, 0.005, ("/deep/x",)),
        "second": Layer(2, 30, 0.005, ("/third/x",)),
        "front": Layer(2, 30, 0.005, ("/second/x",)),
    }
    return Workload(layers, "front", layers["deep"].capacity, demand, **options)


async def measure_load(
    factor: float, options: argparse.Namespace, off: list[str]
) -> dict[str, Any]:
    """Run the chain at some multiple of its capacity."""
    capacity = build_chain({}).capacity
    demand = {
        "important": 0.2 * capacity,
        "one": 0.3 * capacity * factor,
        "two": 0.3 * capacity * factor,
        "three": 0.3 * capacity * factor,
    }
    trial = Trial(build_chain(demand, important=("important",)), options.seed, off)
    seconds = options.seconds or 12.0
    await trial.run(seconds)
    first = min(o.sent for o in trial.outcomes)
    # The first second fills queues, and is left out.
    return trial.report(first + 1.0, first + seconds)


@bench("overload")
async def measure_overload(options: argparse.Namespace) -> dict[str, Any]:
    """Demand at, over and far over capacity, with and without control."""
    figures: dict[str, Any] = {}
    factors = (0.8, 2.0, 10.0)
    for factor in factors:
        figures[f"{factor:g} times capacity"] = await measure_load(
            factor, options, options.off
        )
    no_control = NO_CONTROL
    if not options.off:
        figures["2 times, no control"] = await measure_load(2.0, options, no_control)
        figures["2 times, fixed limit, plain retries"] = await measure_load(
            2.0, options, PLAIN
        )
    return figures


@bench("recovery")
async def measure_recovery(options: argparse.Namespace) -> dict[str, Any]:
    """A deep service slows down for a while, and callers retry hard."""
    figures = {"with control": await run_slow_down(options, options.off)}
    if not options.off:
        no_control = NO_CONTROL
        figures["no control"] = await run_slow_down(options, no_control)
    return figures


async def run_slow_down(options: argparse.Namespace, off: list[str]) -> dict[str, Any]:
    """Slow the deepest service eight times for ten seconds at 0.7 of capacity."""
    capacity = build_chain({}).capacity
    demand = {name: 0.7 * capacity / 3 for name in ("one", "two", "three")}
    trial = Trial(build_chain(demand), options.seed, off)
    before, slow, after = 4.0, options.seconds or 10.0, 12.0
    moments: dict[str, float] = {}

    async def disturb(fleet: EmbeddedFleet) -> None:
        await asyncio.sleep(before)
        deep = [p.backend for p in fleet.places if p.backend.service == "deep"]
        moments["slow"] = time.monotonic()
        for backend in deep:
            backend.behaviour.work *= 8
        await asyncio.sleep(slow)
        for backend in deep:
            backend.behaviour.work /= 8
        moments["well"] = time.monotonic()

    await trial.run(before + slow + after, disturb)
    first = min(o.sent for o in trial.outcomes)
    normal = measure_goodput(trial.outcomes, first + 1, moments["slow"])
    figures = {
        "goodput before /s": normal,
        "goodput while slow / capacity then": measure_goodput(
            trial.outcomes, moments["slow"], moments["well"]
        )
        / (capacity / 8),
        "seconds to recover": find_recovery(trial.outcomes, moments["well"], normal),
    }
    return figures | trial._report_work()


def measure_goodput(outcomes: list[Outcome], start: float, end: float) -> float:
    """Return whole answers a second that ended in a span of time."""
    return sum(o.served and start <= o.ended < end for o in outcomes) / (end - start)


def find_recovery(outcomes: list[Outcome], well: float, normal: float) -> float:
    """Return seconds until goodput over a second is 95 % of what it was."""
    last = max(o.sent for o in outcomes)
    start = well
    while start < last:
        if measure_goodput(outcomes, start, start + 1.0) >= RECOVERED * normal:
            return start - well
        start += BIN_SECONDS
    return float("inf")


@bench("fairness")
async def measure_fairness(options: argparse.Namespace) -> dict[str, Any]:
    """One workspace sends five times its part; the others ask for theirs."""
    figures: dict[str, Any] = {}
    variants = {"with fair shares": options.off}
    if not options.off:
        variants["without"] = ["fair-shares"]
    capacity = build_chain({}).capacity
    demand = {"greedy": 5 * 0.25 * capacity}
    demand |= {name: 0.2 * capacity for name in ("one", "two", "three")}
    for name, off in variants.items():
        trial = Trial(build_chain(demand), options.seed, off)
        seconds = options.seconds or 12.0
        await trial.run(seconds)
        first = min(o.sent for o in trial.outcomes)
        figures[name] = trial.report(first + 1.0, first + seconds)
    return figures
