"""Control traffic of a fleet at rest and under edits: slopes with the fleet's size."""

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
from .processes import Process, run_processes, wait_page
from .registry import bench

SIZES = (3, 10, 30, 60)
REST_SECONDS = 12.0
EDITS = 20
EDIT_PAUSE_SECONDS = 0.25
ZONES = 3
WORKSPACES = 8
STATE_SIZES = (1000, 4000, 12000)


class Sample:
    """What nodes had used at a moment."""

    def __init__(self, nodes: list[Process]):
        self.at = time.monotonic()
        self.cpu = sum(node.cpu_seconds for node in nodes)


def build_edit() -> Edit:
    """Return a document with rates, so that leases are held."""
    sections: dict[str, Any] = {
        f"zones/z{number}": {"share": 1 / ZONES} for number in range(ZONES)
    }
    for number in range(WORKSPACES):
        name = f"w{number}"
        key = {"id": name, "digest": digest_key(name)}
        sections[f"workspaces/{name}"] = {"keys": [key]}
        sections[f"rates/{name}"] = {"per_second": 100, "burst": 100}
    edits = [SectionEdit(name, None, value) for name, value in sections.items()]
    return Edit(edits, "bench")


async def read_metric(address: str, prefix: str) -> float:
    """Return the sum of a node's samples whose line begins with a prefix."""
    import aiohttp

    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{address}/metrics") as response:
            lines = (await response.text()).splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith(prefix))


async def measure_size(size: int) -> dict[str, Any]:
    """Start a fleet of this size and measure a node's share of its control."""
    async with run_processes(log={"level": "error"}) as processes:
        await processes.log.append(CONFIGURATION_TOPIC, build_edit().to_value())
        nodes, operators = await start_nodes(processes, size)
        await wait_members(operators, size)
        await asyncio.sleep(5)
        rest = await measure_span(nodes, operators, asyncio.sleep(REST_SECONDS))
        edits = await measure_span(
            nodes, operators, publish_edits(processes, operators)
        )
        memory = sum(node.memory_mb for node in nodes) / size
        return {
            "at rest, cpu % of a core": rest["cpu"] * 100,
            "at rest, bytes/s out and in": rest["bytes"],
            "at rest, messages/s out": rest["messages"],
            "an edit, cpu ms a node": (edits["cpu"] - rest["cpu"])
            * edits["seconds"]
            / EDITS
            * 1000,
            "an edit, bytes a node": (edits["bytes"] - rest["bytes"])
            * edits["seconds"]
            / EDITS,
            "memory MB": memory,
        }


async def start_nodes(processes: Any, size: int) -> tuple[list[Process], list[str]]:
    """Start nodes, ten at a time."""
    nodes: list[Process] = []
    operators: list[str] = []
    first = choose_first_port()
    for start in range(0, size, 10):
        batch = [
            processes.start_node(f"n{number}", f"z{number % ZONES}", first + number * 5)
            for number in range(start, min(size, start + 10))
        ]
        for node, listen in await asyncio.gather(*batch):
            nodes.append(node)
            operators.append(listen["operator"])
    return nodes, operators


async def wait_members(operators: list[str], size: int) -> None:
    """Wait until the first and the last node know all."""
    async with asyncio.timeout(60):
        for address in (operators[0], operators[-1]):
            alive = 'primroseglade_members{state="alive"}'
            while await read_metric(address, alive) < size:
                await asyncio.sleep(0.5)


async def publish_edits(processes: Any, operators: list[str]) -> None:
    """Publish edits and wait until the last node has them."""
    for number in range(EDITS):
        edit = Edit(
            [SectionEdit(f"recalls/r{number}", None, {"keys": [f"k{number}"]})], "bench"
        )
        await processes.log.append(CONFIGURATION_TOPIC, edit.to_value())
        await asyncio.sleep(EDIT_PAUSE_SECONDS)
    await wait_page(f"http://{operators[-1]}/status")


async def measure_span(nodes: list[Process], operators: list[str], work: Any) -> Any:
    """Return what a node used a second during some work, on average."""
    names = (
        "primroseglade_control_bytes_total",
        "primroseglade_control_messages_total",
    )
    sampled = operators[:: max(1, len(operators) // 10)]

    async def read() -> list[float]:
        values = []
        for name in names:
            readings = [await read_metric(address, name) for address in sampled]
            values.append(sum(readings) / len(sampled))
        return values

    before = await read()
    start = Sample(nodes)
    await work
    end = Sample(nodes)
    after = await read()
    seconds = end.at - start.at
    return {
        "seconds": seconds,
        "cpu": (end.cpu - start.cpu) / len(nodes) / seconds,
        "bytes": (after[0] - before[0]) / seconds,
        # A message is counted where it leaves and where it arrives.
        "messages": (after[1] - before[1]) / 2 / seconds,
    }


def measure_state(size: int) -> dict[str, Any]:
    """Fill a table of members in this process and measure it."""
    import tracemalloc

    tracemalloc.start()
    members = Members(Member("own", 1, zone="z0", control="10.0.0.1:1"))
    started = time.process_time()
    for number in range(size):
        members.merge(build_member(number))
    merged = time.process_time() - started
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    raw = sum(len(m.to_proto().SerializeToString()) for m in members) / size
    return {
        "memory MB": memory / 1e6,
        "bytes a member": memory / size,
        "microseconds a merge (traced)": merged / size * 1e6,
        "bytes a member on the wire": raw,
    }


def build_member(number: int) -> Member:
    """Return a member as a real one would look."""
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


@bench("members")
async def measure_members(options: argparse.Namespace) -> dict[str, Any]:
    """Measure fleets of several sizes, and tables of the sizes to come."""
    figures: dict[str, Any] = {}
    for size in SIZES:
        figures[f"{size} nodes"] = await measure_size(size)
        print(f"measured {size} nodes", file=sys.stderr)
    for size in STATE_SIZES:
        figures[f"table of {size}"] = measure_state(size)
    return figures
