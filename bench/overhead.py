"""Cost of a call: sent directly, through a bare relay, through one or two nodes."""

import argparse
import asyncio
import socket
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from primroseglade.calls.call import Body
from primroseglade.calls.connections import build_head, Connection
from primroseglade.document.document import digest_key
from primroseglade.document.records import Edit, SectionEdit
from primroseglade.platform.log import CONFIGURATION_TOPIC

from .processes import Process, run_processes
from .registry import benchmark

API_KEY = "bench-key"
BODY = b"x" * 300
ROUNDS = 12
CALLS_PER_ROUND = 400
IN_FLIGHT_LEVELS = (1, 16)
MAX_LATENCY_US = 10_000_000


class CallPath:
    """A path to the backend server, and measurements of calls over it.

    Args:
        address: ``IP:PORT`` that calls are sent to.
        url_path: Path of the request URL.
        processes: Processes on the path, whose CPU time is measured.
    """

    def __init__(self, address: str, url_path: bytes, processes: list[Process]):
        self.address = address
        self.url_path = url_path
        self.processes = processes
        self.latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.cpu_seconds = 0.0
        self.elapsed_seconds = 0.0
        self.call_count = 0

    async def run_round(self, in_flight: int) -> None:
        """Send one round of calls over ``in_flight`` connections."""
        cpu_before = sum(process.cpu_seconds for process in self.processes)
        started = time.perf_counter()
        calls_per_connection = CALLS_PER_ROUND // in_flight
        await asyncio.gather(
            *(self._send(calls_per_connection) for _ in range(in_flight))
        )
        self.elapsed_seconds += time.perf_counter() - started
        self.cpu_seconds += sum(p.cpu_seconds for p in self.processes) - cpu_before
        self.call_count += calls_per_connection * in_flight

    async def _send(self, count: int) -> None:
        host, port = self.address.split(":")
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: Connection(65536), host, int(port)
        )
        headers = [(b"authorization", f"Bearer {API_KEY}".encode())]
        body = Body(BODY)
        head = build_head("POST", self.url_path, self.address, headers, body)
        for _ in range(count):
            started = time.perf_counter()
            response = await connection.exchange(head, body, False)
            elapsed = time.perf_counter() - started
            if response.status != 200:
                raise RuntimeError(f"{self.address} answered {response.status}")
            connection.take_buffered()
            self.latencies_us.record_value(max(1, int(elapsed * 1e6)))
        connection.close()

    def report(self, direct: "CallPath | None") -> dict[str, Any]:
        """Return latency, call rate, CPU cost, and the latency added to ``direct``."""
        figures: dict[str, Any] = {}
        for name, percentile in (("p50_ms", 50), ("p99_ms", 99)):
            figures[name] = self.latencies_us.get_value_at_percentile(percentile) / 1000
            if direct is not None:
                direct_ms = (
                    direct.latencies_us.get_value_at_percentile(percentile) / 1000
                )
                figures[f"added_{name}"] = round(figures[name] - direct_ms, 3)
        figures["calls_per_s"] = round(self.call_count / self.elapsed_seconds)
        if self.processes and self.cpu_seconds:
            figures["cpu_us_a_call"] = round(self.cpu_seconds / self.call_count * 1e6)
            figures["calls_per_core_s"] = round(self.call_count / self.cpu_seconds)
        return figures


def find_free_ports(count: int) -> list[int]:
    """Return free ports chosen by the kernel."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def choose_first_port() -> int:
    """Return a random port below the ephemeral port range.

    The nodes of a benchmark listen on this port and the following ones.
    """
    return 10_000 + find_free_ports(1)[0] % 20_000


def build_edit() -> Edit:
    """Return an edit that creates the document, with a rate that is never reached."""
    sections = {
        "zones/a": {"share": 1.0},
        "workspaces/bench": {"keys": [{"id": "bench", "digest": digest_key(API_KEY)}]},
        "rates/bench": {"per_second": 1e6, "burst": 1e6},
        "services/archive": {"backend_servers": [{"network": "127.0.0.0/8"}]},
        "services/other": {"backend_servers": [{"network": "127.0.0.0/8"}]},
    }
    edits = [SectionEdit(name, None, value) for name, value in sections.items()]
    return Edit(edits, "bench")


@benchmark("overhead")
async def measure_overhead(options: argparse.Namespace) -> dict[str, Any]:
    """Measure the same call over all paths in turn."""
    figures: dict[str, Any] = {}
    async with run_processes(fleet={"lease": 0.5, "grant": 0.5}) as processes:
        await processes.log.append(CONFIGURATION_TOPIC, build_edit().to_value())
        backend_port, relay_port = find_free_ports(2)
        first_port = choose_first_port()
        first_node, first_listen = await processes.start_node("one", "a", first_port)
        second_node, second_listen = await processes.start_node(
            "two", "a", first_port + 10
        )
        server_address = f"127.0.0.1:{backend_port}"
        await processes.start_backend(
            "archive", first_listen["backend"], server_address
        )
        relay = await processes.start(
            "floor", "-m", "bench.bare_relay", str(relay_port), str(backend_port)
        )
        await asyncio.sleep(4)
        for in_flight in IN_FLIGHT_LEVELS:
            call_paths = {
                "direct": CallPath(server_address, b"/x", []),
                "floor": CallPath(f"127.0.0.1:{relay_port}", b"/x", [relay]),
                "one node": CallPath(
                    first_listen["callers"], b"/archive/x", [first_node]
                ),
                "two nodes": CallPath(
                    second_listen["callers"], b"/archive/x", [second_node, first_node]
                ),
            }
            # One round to warm up, whose measurements are then discarded.
            for call_path in call_paths.values():
                await call_path.run_round(in_flight)
                call_path.__init__(
                    call_path.address, call_path.url_path, call_path.processes
                )
            for _ in range(ROUNDS):
                for call_path in call_paths.values():
                    await call_path.run_round(in_flight)
            direct = call_paths["direct"]
            figures[f"in flight {in_flight}"] = {
                name: call_path.report(None if call_path is direct else direct)
                for name, call_path in call_paths.items()
            }
        figures["node memory MB"] = round(first_node.memory_mib, 1)
    return figures
