"""Implements ``primroseglade load``."""

import argparse
import asyncio
import collections
import json
import random
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from ..client import Client
from ..environment import Environment
from ..exits import ExitStatus
from ..verdicts import Refusal
from .registry import command

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


class LoadGenerator:
    """Sends calls at a fixed mean rate; a latency includes any delay in sending.

    Args:
        client: Client that sends the calls.
        options: Options of the command.
    """

    def __init__(self, client: Client, options: argparse.Namespace):
        self._client = client
        self._options = options
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    async def run(self) -> dict[str, Any]:
        """Send calls for the given time, await all answers and return the report."""
        options = self._options
        rng = random.Random(options.seed)
        started_at = scheduled_at = time.monotonic()
        tasks: set[asyncio.Task[None]] = set()
        while scheduled_at < started_at + options.seconds:
            scheduled_at += rng.expovariate(options.rate)
            await asyncio.sleep(max(0.0, scheduled_at - time.monotonic()))
            task = asyncio.create_task(self._call(scheduled_at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        return self._report(time.monotonic() - started_at)

    async def _call(self, scheduled_at: float) -> None:
        options = self._options
        try:
            reply = await self._client.call(
                options.service, options.path, options.method, timeout=options.timeout
            )
            outcome = str(reply.status)
        except Refusal as refusal:
            outcome = f"{refusal.reason.code} ({refusal.verdict.value})"
        self._outcomes[outcome] += 1
        # Measured from the scheduled time, not from sending: a load generator that
        # falls behind must not make latencies look short (coordinated omission).
        self._histogram.record_value(
            max(1, int((time.monotonic() - scheduled_at) * 1e6))
        )

    def _report(self, seconds: float) -> dict[str, Any]:
        percentiles = {
            f"p{percent:g}": self._histogram.get_value_at_percentile(percent) / 1000
            for percent in (50, 90, 99, 99.9)
        }
        return {
            "seconds": round(seconds, 3),
            "calls": sum(self._outcomes.values()),
            "outcomes": dict(self._outcomes.most_common()),
            "latency_ms": percentiles,
        }


@command("load")
async def run_load(options: argparse.Namespace, environment: Environment) -> ExitStatus:
    """Send calls and print outcomes and latencies."""
    nodes = options.nodes.split(",")
    async with Client(nodes, options.key, options.timeout) as client:
        report = await LoadGenerator(client, options).run()
    if options.json:
        environment.print(json.dumps(report))
        return ExitStatus.SUCCESS
    environment.print(f"{report['calls']} calls in {report['seconds']:.1f} s")
    for outcome, count in report["outcomes"].items():
        environment.print(f"  {count:7d}  {outcome}")
    for name, value in report["latency_ms"].items():
        environment.print(f"  {name:<6} {value:8.2f} ms")
    return ExitStatus.SUCCESS
