"""Seconds from the accepted withdrawal of a key to its last successful use."""

import argparse
import asyncio
import statistics
import time
from typing import Any

from primroseglade.client import Client
from primroseglade.document.document import digest_key
from primroseglade.stand_ins.fleet import EmbeddedFleet
from primroseglade.verdicts import Refusal

from .registry import benchmark

SETTINGS = {"log": {"level": "error"}, "traces": {"sampled": 0}}
ZONES = ("a", "b", "c", "d")
NODES_PER_ZONE = 3
KEYS_PER_CASE = 6
CALL_PAUSE_SECONDS = 0.01


async def use_key(address: str, key: str, last_use: dict[str, float]) -> None:
    """Send calls with a key until it is refused; record the last success."""
    async with Client([address], key, timeout=2.0, attempts=1) as client:
        while True:
            try:
                await client.call("archive", "/x")
                last_use[key] = max(last_use.get(key, 0.0), time.monotonic())
            except Refusal as refusal:
                if refusal.reason.code in ("key-withdrawn", "key-unknown"):
                    return
            await asyncio.sleep(CALL_PAUSE_SECONDS)


async def withdraw_keys(fleet: EmbeddedFleet, keys: list[str]) -> list[float]:
    """Withdraw keys one after another; return how many seconds each stayed usable."""
    seconds = []
    for key in keys:
        last_use: dict[str, float] = {}
        use_tasks = [
            asyncio.create_task(use_key(instance.caller_address, key, last_use))
            for instance in fleet.instances
        ]
        await asyncio.sleep(0.5)
        await fleet.publish(recalls={key: {"keys": [key]}})
        accepted_at = time.monotonic()
        async with asyncio.timeout(30):
            await asyncio.gather(*use_tasks)
        seconds.append(max(0.0, last_use.get(key, accepted_at) - accepted_at))
    return seconds


@benchmark("withdraw")
async def measure_withdraw(options: argparse.Namespace) -> dict[str, Any]:
    """Measure a normal fleet, a zone cut off from the platform, and a slow platform."""
    figures: dict[str, Any] = {}
    keys = [f"k{number}" for number in range(3 * KEYS_PER_CASE)]
    async with EmbeddedFleet(SETTINGS) as fleet:
        await fleet.publish(
            zones={zone: {"share": 0.25} for zone in ZONES},
            workspaces={
                "north": {"keys": [{"id": k, "digest": digest_key(k)} for k in keys]}
            },
            services={"archive": {"backend_servers": [{"network": "127.0.0.0/8"}]}},
        )
        for zone in ZONES:
            for _ in range(NODES_PER_ZONE):
                await fleet.add(zone, "archive")
        await fleet.wait_ready()
        figures["connected"] = summarize(
            await withdraw_keys(fleet, keys[:KEYS_PER_CASE])
        )
        fleet.cut_zone("d", from_platform=True, from_zones=False)
        figures["a zone off the platform"] = summarize(
            await withdraw_keys(fleet, keys[KEYS_PER_CASE : 2 * KEYS_PER_CASE])
        )
        fleet.heal()
        fleet.log.faults.delay = 1.0
        figures["platform slow by 1 s"] = summarize(
            await withdraw_keys(fleet, keys[2 * KEYS_PER_CASE :])
        )
    return figures


def summarize(seconds: list[float]) -> dict[str, float]:
    """Return the median and the maximum."""
    return {"median s": statistics.median(seconds), "max s": max(seconds)}
