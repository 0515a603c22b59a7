"""Control traffic per node, idle and during edits, at several fleet sizes."""

import argparse
import asyncio
import sys
import time
from typing import Any

from primroseglade.document.document import digest_key
from primroseglade.document.records import Edit, SectionEdit
from primroseglade.fleet.members import Member, Members
from primroseglade.platform.log import CONFIGURATION_TOPIC

from .overhead import choose_first_port
from .processes import Process, run_processes, wait_for_page
from .registry import benchmark

FLEET_SIZES = (3, 10, 30, 60)
IDLE_SECONDS = 12.0
EDIT_COUNT = 20
EDIT_PAUSE_SECONDS = 0.25
ZONE_COUNT = 3
WORKSPACE_COUNT = 8
TABLE_SIZES = (1000, 4000, 12000)


class CpuSample:
    """The CPU time that nodes have used so far, in total."""

    def __init__(self, nodes: list[Process]):
        self.taken_at = time.monotonic()
        self.cpu_seconds = sum(node.cpu_seconds for node in nodes)


def build_edit() -> Edit:
    """Return an edit that sets rates, so that nodes hold leases."""
    sections: dict[str, Any] = {
        f"zones/z{number}": {"share": 1 / ZONE_COUNT} for number in range(ZONE_COUNT)
    }
    for number in range(WORKSPACE_COUNT):
        name = f"w{number}"
        key = {"id": name, "digest": digest_key(name)}
        sections[f"workspaces/{name}"] = {"keys": [key]}
        sections[f"rates/{name}"] = {"per_second": 100, "burst": 100}
    edits = [SectionEdit(name, None, value) for name, value in sections.items()]
    return Edit(edits, "bench")


async def read_metric(address: str, prefix: str) -> float:
    """Return the sum of a node's metric samples whose lines begin with a prefix."""
    import aiohttp

    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{address}/metrics") as response:
            lines = (await response.text()).splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith(prefix))


async def measure_fleet(size: int) -> dict[str, Any]:
    """Start a fleet of this size and return a node's cost when idle and per edit."""
    async with run_processes(log={"level": "error"}) as processes:
        await processes.log.append(CONFIGURATION_TOPIC, build_edit().to_value())
        nodes, operator_addresses = await start_nodes(processes, size)
        await wait_for_members(operator_addresses, size)
        await asyncio.sleep(5)
        idle_usage = await measure_usage(
            nodes, operator_addresses, asyncio.sleep(IDLE_SECONDS)
        )
        edit_usage = await measure_usage(
            nodes, operator_addresses, publish_edits(processes, operator_addresses)
        )
        memory_mib = sum(node.memory_mib for node in nodes) / size
        return {
            "at rest, cpu % of a core": idle_usage["cpu"] * 100,
            "at rest, bytes/s out and in": idle_usage["bytes"],
            "at rest, messages/s out": idle_usage["messages"],
            "an edit, cpu ms a node": (edit_usage["cpu"] - idle_usage["cpu"])
            * edit_usage["seconds"]
            / EDIT_COUNT
            * 1000,
            "an edit, bytes a node": (edit_usage["bytes"] - idle_usage["bytes"])
            * edit_usage["seconds"]
            / EDIT_COUNT,
            "memory MB": memory_mib,
        }


async def start_nodes(processes: Any, size: int) -> tuple[list[Process], list[str]]:
    """Start nodes ten at a time; return them and their operator addresses."""
    nodes: list[Process] = []
    operator_addresses: list[str] = []
    first_port = choose_first_port()
    for start in range(0, size, 10):
        batch = [
            processes.start_node(
                f"n{number}", f"z{number % ZONE_COUNT}", first_port + number * 5
            )
            for number in range(start, min(size, start + 10))
        ]
        for node, listen in await asyncio.gather(*batch):
            nodes.append(node)
            operator_addresses.append(listen["operator"])
    return nodes, operator_addresses


async def wait_for_members(operator_addresses: list[str], size: int) -> None:
    """Wait until the first and the last node see all members alive."""
    async with asyncio.timeout(60):
        for address in (operator_addresses[0], operator_addresses[-1]):
            alive = 'primroseglade_members{state="alive"}'
            while await read_metric(address, alive) < size:
                await asyncio.sleep(0.5)


async def publish_edits(processes: Any, operator_addresses: list[str]) -> None:
    """Publish edits, then wait for an answer from the last node, which may be busy."""
    for number in range(EDIT_COUNT):
        edit = Edit(
            [SectionEdit(f"recalls/r{number}", None, {"keys": [f"k{number}"]})], "bench"
        )
        await processes.log.append(CONFIGURATION_TOPIC, edit.to_value())
        await asyncio.sleep(EDIT_PAUSE_SECONDS)
    await wait_for_page(f"http://{operator_addresses[-1]}/status")


async def measure_usage(
    nodes: list[Process], operator_addresses: list[str], activity: Any
) -> Any:
    """Return the mean CPU, bytes and messages of a node per second of an activity."""
    metric_names = (
        "primroseglade_control_bytes_total",
        "primroseglade_control_messages_total",
    )
    sampled_addresses = operator_addresses[:: max(1, len(operator_addresses) // 10)]

    async def read_counters() -> list[float]:
        values = []
        for name in metric_names:
            readings = [
                await read_metric(address, name) for address in sampled_addresses
            ]
            values.append(sum(readings) / len(sampled_addresses))
        return values

    counters_before = await read_counters()
    start = CpuSample(nodes)
    await activity
    end = CpuSample(nodes)
    counters_after = await read_counters()
    seconds = end.taken_at - start.taken_at
    return {
        "seconds": seconds,
        "cpu": (end.cpu_seconds - start.cpu_seconds) / len(nodes) / seconds,
        "bytes": (counters_after[0] - counters_before[0]) / seconds,
        # The sender and the receiver each count a message.
        "messages": (counters_after[1] - counters_before[1]) / 2 / seconds,
    }


def measure_table(size: int) -> dict[str, Any]:
    """Fill a member table and return its memory and the cost of a merge."""
    import tracemalloc

    tracemalloc.start()
    members = Members(Member("own", 1, zone="z0", control="10.0.0.1:1"))
    started = time.process_time()
    for number in range(size):
        members.merge(build_member(number))
    merge_seconds = time.process_time() - started
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    wire_bytes = sum(len(m.to_proto().SerializeToString()) for m in members) / size
    return {
        "memory MB": memory_bytes / 1e6,
        "bytes a member": memory_bytes / size,
        "microseconds a merge (traced)": merge_seconds / size * 1e6,
        "bytes a member on the wire": wire_bytes,
    }


def build_member(number: int) -> Member:
    """Return a member with realistic values."""
    host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return Member(
        f"archive-eu-1-{number}",
        1_796_257_223_000 + number,
        3,
        zone=f"zone-{number % 13}",
        callers=f"{host}:8080",
        relay=f"{host}:8081",
        control=f"{host}:8082",
        operator=f"{host}:8084",
        service=f"service-{number % 360}",
        backend_server=f"{host}:9000",
        serving=True,
        serving_since_ms=1_796_257_223_000,
        slots=150,
        share=1 / 13,
    )


@benchmark("members")
async def measure_members(options: argparse.Namespace) -> dict[str, Any]:
    """Measure real fleets of several sizes, and member tables of larger ones."""
    figures: dict[str, Any] = {}
    for size in FLEET_SIZES:
        figures[f"{size} nodes"] = await measure_fleet(size)
        print(f"measured {size} nodes", file=sys.stderr)
    for size in TABLE_SIZES:
        figures[f"table of {size}"] = measure_table(size)
    return figures
