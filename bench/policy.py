"""Goodput, recovery, fairness and wasted work of overload control."""

import argparse
import asyncio
import time
from typing import Any

from primroseglade.stand_ins.fleet import EmbeddedFleet

from .registry import benchmark
from .trial import CallOutcome, ChainService, Trial, Workload

RECOVERY_STEP_SECONDS = 0.25
RECOVERED_RATIO = 0.95

# What each baseline disables. No control: every mechanism that limits load. Fixed
# limit, plain retries: every mechanism except the concurrency limit.
NO_CONTROL = ["limit", "queue", "retry-tokens", "retry-share", "throttle", "doomed"]
FIXED_LIMIT_PLAIN_RETRIES = [
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
    """Return a chain of four services whose deepest has the least capacity."""
    services = {
        "deep": ChainService(4, 1, 0.2),
        "third": ChainService(2, 30, 0.005, ("/deep/x",)),
        "second": ChainService(2, 30, 0.005, ("/third/x",)),
        "front": ChainService(2, 30, 0.005, ("/second/x",)),
    }
    return Workload(services, "front", services["deep"].capacity, demand, **options)


async def measure_load(
    load_factor: float, options: argparse.Namespace, disabled: list[str]
) -> dict[str, Any]:
    """Return the figures of the chain at a multiple of its capacity."""
    capacity = build_chain({}).capacity
    demand = {
        "important": 0.2 * capacity,
        "one": 0.3 * capacity * load_factor,
        "two": 0.3 * capacity * load_factor,
        "three": 0.3 * capacity * load_factor,
    }
    trial = Trial(
        build_chain(demand, important_workspaces=("important",)), options.seed, disabled
    )
    seconds = options.seconds or 12.0
    await trial.run(seconds)
    first_sent_at = min(o.sent_at for o in trial.outcomes)
    # Leave out the first second, in which queues fill.
    return trial.report(first_sent_at + 1.0, first_sent_at + seconds)


@benchmark("overload")
async def measure_overload(options: argparse.Namespace) -> dict[str, Any]:
    """Measure load below and above capacity, with and without overload control."""
    figures: dict[str, Any] = {}
    load_factors = (0.8, 2.0, 10.0)
    for load_factor in load_factors:
        figures[f"{load_factor:g} times capacity"] = await measure_load(
            load_factor, options, options.off
        )
    no_control = NO_CONTROL
    if not options.off:
        figures["2 times, no control"] = await measure_load(2.0, options, no_control)
        figures["2 times, fixed limit, plain retries"] = await measure_load(
            2.0, options, FIXED_LIMIT_PLAIN_RETRIES
        )
    return figures


@benchmark("recovery")
async def measure_recovery(options: argparse.Namespace) -> dict[str, Any]:
    """Measure recovery after a slowdown of the deepest service, while callers retry."""
    figures = {"with control": await run_slowdown(options, options.off)}
    if not options.off:
        no_control = NO_CONTROL
        figures["no control"] = await run_slowdown(options, no_control)
    return figures


async def run_slowdown(
    options: argparse.Namespace, disabled: list[str]
) -> dict[str, Any]:
    """Slow the deepest service down eightfold, at a demand of 0.7 of its capacity.

    The slowdown lasts ``options.seconds``, or 10 seconds if that is 0.
    """
    capacity = build_chain({}).capacity
    demand = {name: 0.7 * capacity / 3 for name in ("one", "two", "three")}
    trial = Trial(build_chain(demand), options.seed, disabled)
    before_seconds, slow_seconds, after_seconds = 4.0, options.seconds or 10.0, 12.0
    slowdown_times: dict[str, float] = {}

    async def slow_down(fleet: EmbeddedFleet) -> None:
        await asyncio.sleep(before_seconds)
        deep_backends = [
            p.backend for p in fleet.instances if p.backend.service == "deep"
        ]
        slowdown_times["slow"] = time.monotonic()
        for backend in deep_backends:
            backend.behavior.processing_seconds *= 8
        await asyncio.sleep(slow_seconds)
        for backend in deep_backends:
            backend.behavior.processing_seconds /= 8
        slowdown_times["well"] = time.monotonic()

    await trial.run(before_seconds + slow_seconds + after_seconds, slow_down)
    first_sent_at = min(o.sent_at for o in trial.outcomes)
    normal_goodput = measure_goodput(
        trial.outcomes, first_sent_at + 1, slowdown_times["slow"]
    )
    figures = {
        "goodput before /s": normal_goodput,
        "goodput while slow / capacity then": measure_goodput(
            trial.outcomes, slowdown_times["slow"], slowdown_times["well"]
        )
        / (capacity / 8),
        "seconds to recover": find_recovery_seconds(
            trial.outcomes, slowdown_times["well"], normal_goodput
        ),
    }
    return figures | trial._report_executions()


def measure_goodput(outcomes: list[CallOutcome], start: float, end: float) -> float:
    """Return successful calls per second that ended in ``[start, end)``."""
    return sum(o.served and start <= o.ended_at < end for o in outcomes) / (end - start)


def find_recovery_seconds(
    outcomes: list[CallOutcome], restored_at: float, normal_goodput: float
) -> float:
    """Return seconds from the restoration until goodput is 95 % of normal again.

    Goodput is taken over one second; infinity means that it did not recover.
    """
    last_sent_at = max(o.sent_at for o in outcomes)
    window_start = restored_at
    while window_start < last_sent_at:
        if (
            measure_goodput(outcomes, window_start, window_start + 1.0)
            >= RECOVERED_RATIO * normal_goodput
        ):
            return window_start - restored_at
        window_start += RECOVERY_STEP_SECONDS
    return float("inf")


@benchmark("fairness")
async def measure_fairness(options: argparse.Namespace) -> dict[str, Any]:
    """Measure fairness when one workspace sends five times its fair share."""
    figures: dict[str, Any] = {}
    variants = {"with fair shares": options.off}
    if not options.off:
        variants["without"] = ["fair-shares"]
    capacity = build_chain({}).capacity
    demand = {"greedy": 5 * 0.25 * capacity}
    demand |= {name: 0.2 * capacity for name in ("one", "two", "three")}
    for name, disabled in variants.items():
        trial = Trial(build_chain(demand), options.seed, disabled)
        seconds = options.seconds or 12.0
        await trial.run(seconds)
        first_sent_at = min(o.sent_at for o in trial.outcomes)
        figures[name] = trial.report(first_sent_at + 1.0, first_sent_at + seconds)
    return figures
