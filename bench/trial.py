"""Runs a workload on an embedded fleet and reports what its callers observed."""

import asyncio
import collections
import random
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from primroseglade.client import Client
from primroseglade.document.document import digest_key
from primroseglade.stand_ins.backend import BackendBehavior
from primroseglade.stand_ins.fleet import EmbeddedFleet
from primroseglade.verdicts import Refusal, Verdict

from .mechanisms import mechanisms_disabled

SETTINGS = {
    "log": {"level": "error"},
    "traces": {"sampled": 0},
    "fleet": {"lease": 0.5, "grant": 0.3},
}
TIMEOUT_SECONDS = 2.0
ZONES = ("a", "b")
MAX_LATENCY_MS = 60_000


class ChainService:
    """A service in the call chain.

    Args:
        server_count: Number of backend servers.
        slots_per_server: Number of calls that a backend server processes at once.
        work_seconds: Processing time of a call.
        nested_paths: Paths of the calls that each call makes first.
    """

    def __init__(
        self,
        server_count: int,
        slots_per_server: int,
        work_seconds: float,
        nested_paths: tuple[str, ...] = (),
    ):
        self.server_count = server_count
        self.slots_per_server = slots_per_server
        self.work_seconds = work_seconds
        self.nested_paths = nested_paths

    @property
    def capacity(self) -> float:
        """Calls per second that the service can serve."""
        return self.server_count * self.slots_per_server / self.work_seconds


class Workload:
    """The services, and the demand of each workspace.

    Args:
        services: Services by name.
        entry_service: Service that root calls go to.
        capacity: Root calls per second that the chain can serve.
        demand: Root calls per second by workspace.
        important_workspaces: Workspaces whose calls are of critical importance.
        max_attempts: Maximum number of attempts that a caller makes per call.
    """

    def __init__(
        self,
        services: dict[str, ChainService],
        entry_service: str,
        capacity: float,
        demand: dict[str, float],
        important_workspaces: tuple[str, ...] = (),
        max_attempts: int = 3,
    ):
        self.services = services
        self.entry_service = entry_service
        self.capacity = capacity
        self.demand = demand
        self.important_workspaces = important_workspaces
        self.max_attempts = max_attempts


class CallOutcome:
    """One root call, as its caller observed it."""

    __slots__ = (
        "attempts",
        "ended_at",
        "id",
        "sent_at",
        "served",
        "verdict",
        "workspace",
    )

    def __init__(self, id: str, workspace: str, sent_at: float):
        self.id = id
        self.workspace = workspace
        self.sent_at = sent_at
        self.ended_at = sent_at
        self.served = False
        self.attempts = 1
        self.verdict: Verdict | None = None


class Trial:
    """Runs a workload on a fleet.

    Args:
        workload: Services and demand.
        seed: Seed of the arrival times and workspaces of calls.
        disabled: Names of mechanisms to disable.
    """

    def __init__(self, workload: Workload, seed: int, disabled: list[str]):
        self._workload = workload
        self._random = random.Random(seed)
        self._seed = seed
        self._disabled = disabled
        self.outcomes: list[CallOutcome] = []
        self.executions: list[Any] = []
        self.fleet: EmbeddedFleet | None = None

    async def run(self, seconds: float, disturb: Any = None) -> None:
        """Start the fleet, send calls and record their outcomes.

        Args:
            seconds: Duration of the load.
            disturb: Called with the fleet at the start of the load, and awaited.
        """
        settings = {name: dict(value) for name, value in SETTINGS.items()}
        with mechanisms_disabled(self._disabled, settings):
            async with EmbeddedFleet(settings) as fleet:
                self.fleet = fleet
                await self._start(fleet)
                tasks = [self._send_all(fleet, seconds)]
                if disturb is not None:
                    tasks.append(disturb(fleet))
                await asyncio.gather(*tasks)
                self.executions = [
                    item
                    for instance in fleet.instances
                    if instance.backend
                    for item in instance.backend.seen
                ]

    async def _start(self, fleet: EmbeddedFleet) -> None:
        workload = self._workload
        await fleet.publish(
            zones={zone: {"share": 0.5} for zone in ZONES},
            workspaces={
                name: {"keys": [{"id": name, "digest": digest_key(name)}]}
                for name in workload.demand
            },
            services={
                name: {"backend_servers": [{"network": "127.0.0.0/8"}]}
                for name in workload.services
            },
            importance={
                name: {
                    "default": "normal",
                    "routes": [{"path": "/important", "importance": "critical"}],
                }
                for name in workload.services
            },
        )
        server_number = 0
        for name, service in workload.services.items():
            for _ in range(service.server_count):
                behavior = BackendBehavior(
                    processing_seconds=service.work_seconds,
                    slots=service.slots_per_server,
                    nested=service.nested_paths,
                )
                await fleet.add(ZONES[server_number % len(ZONES)], name, behavior)
                server_number += 1
        await fleet.wait_ready()
        # Skip the slow start, in which new backend servers get fewer calls.
        for instance in fleet.instances:
            instance.node.members.update_own(serving_since_ms=0)
        await asyncio.sleep(1.0)

    async def _send_all(self, fleet: EmbeddedFleet, seconds: float) -> None:
        workload = self._workload
        names = list(workload.demand)
        rates = list(workload.demand.values())
        node_addresses = [instance.caller_address for instance in fleet.instances]
        clients = {
            name: Client(node_addresses, name, TIMEOUT_SECONDS, workload.max_attempts)
            for name in names
        }
        tasks: set[asyncio.Task[None]] = set()
        due = time.monotonic()
        end = due + seconds
        while due < end:
            due += self._random.expovariate(sum(rates))
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            name = self._random.choices(names, rates)[0]
            outcome = CallOutcome(f"{len(self.outcomes)}", name, due)
            self.outcomes.append(outcome)
            task = asyncio.create_task(self._call(clients[name], outcome))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        for client in clients.values():
            await client.close()

    async def _call(self, client: Client, outcome: CallOutcome) -> None:
        workload = self._workload
        path = (
            "/important" if outcome.workspace in workload.important_workspaces else "/x"
        )
        headers = {"X-Echo": outcome.id, "X-Operation": outcome.id}
        try:
            reply = await client.call(workload.entry_service, path, headers=headers)
            outcome.served = reply.status == 200
            outcome.attempts = reply.attempts
        except Refusal as refusal:
            outcome.verdict = refusal.verdict
        outcome.ended_at = time.monotonic()

    def report(self, start: float, end: float) -> dict[str, Any]:
        """Return the figures of the calls that were sent in ``[start, end)``."""
        workload = self._workload
        offered = [o for o in self.outcomes if start <= o.sent_at < end]
        served = [o for o in offered if o.served]
        figures: dict[str, Any] = {
            "offered / capacity": len(offered) / (end - start) / workload.capacity,
            "goodput / capacity": len(served) / (end - start) / workload.capacity,
        }
        histogram = HdrHistogram(1, MAX_LATENCY_MS, 3)
        for outcome in served:
            histogram.record_value(
                max(1, int((outcome.ended_at - outcome.sent_at) * 1000))
            )
        for percentile in (50, 99):
            figures[f"p{percentile} ms"] = histogram.get_value_at_percentile(percentile)
        figures |= self._report_shares(offered, served, end - start)
        figures |= self._report_executions()
        return figures

    def _report_shares(
        self, offered: list[CallOutcome], served: list[CallOutcome], seconds: float
    ) -> dict[str, Any]:
        workload = self._workload
        served_by_workspace = collections.Counter(o.workspace for o in served)
        offered_by_workspace = collections.Counter(o.workspace for o in offered)
        fair_shares = compute_fair_shares(
            {name: offered_by_workspace[name] / seconds for name in workload.demand},
            workload.capacity,
        )
        others = [
            name
            for name in workload.demand
            if name not in workload.important_workspaces
        ]
        worst_ratio = min(
            served_by_workspace[name] / seconds / max(fair_shares[name], 1e-9)
            for name in others
        )
        figures = {"worst workspace / fair share": worst_ratio}
        if workload.important_workspaces:
            important_offered = sum(
                offered_by_workspace[name] for name in workload.important_workspaces
            )
            important_served = sum(
                served_by_workspace[name] for name in workload.important_workspaces
            )
            figures["important served"] = important_served / max(1, important_offered)
        return figures

    def _report_executions(self) -> dict[str, Any]:
        served = {o.id for o in self.outcomes if o.served}
        not_run = {o.id for o in self.outcomes if o.verdict is Verdict.NOT_RUN}
        executions_by_trace: collections.Counter[str] = collections.Counter()
        call_id_by_trace: dict[str, str] = {}
        for item in self.executions:
            trace = item.headers.get("traceparent", "")[3:35]
            executions_by_trace[trace] += 1
            call_id = item.headers.get("x-echo")
            if call_id:
                call_id_by_trace[trace] = call_id
        wasted_executions = sum(
            count
            for trace, count in executions_by_trace.items()
            if call_id_by_trace.get(trace) not in served
        )
        executed_ids = [
            item.headers["x-echo"]
            for item in self.executions
            if "x-echo" in item.headers
        ]
        return {
            "wasted work share": wasted_executions
            / max(1, sum(executions_by_trace.values())),
            "starts a root call, max": max(executions_by_trace.values(), default=0),
            "starts a root call, mean": sum(executions_by_trace.values())
            / max(1, len(executions_by_trace)),
            "wrong verdicts": len(not_run & set(executed_ids)),
        }


def compute_fair_shares(demand: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair share of the capacity for each name in ``demand``."""
    shares: dict[str, float] = {}
    remaining = capacity
    for number, name in enumerate(sorted(demand, key=lambda key: demand[key])):
        equal_share = remaining / (len(demand) - number)
        shares[name] = min(demand[name], equal_share)
        remaining -= shares[name]
    return shares
