"""A workload on an embedded fleet, and what its callers saw."""

import asyncio
import collections
import random
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from primroseglade.client import Client
from primroseglade.document.document import digest_key
from primroseglade.stand_ins.backend import Behaviour
from primroseglade.stand_ins.fleet import EmbeddedFleet
from primroseglade.verdicts import Refusal, Verdict

from .mechanisms import switched_off

SETTINGS = {
    "log": {"level": "error"},
    "traces": {"sampled": 0},
    "fleet": {"lease": 0.5, "grant": 0.3},
}
TIMEOUT = 2.0
ZONES = ("a", "b")
LONGEST_MS = 60_000


class Layer:
    """A service of the chain.

    Args:
        servers: How many backend servers.
        slots: Calls at once, each.
        work: Seconds a call.
        nested: What each call calls first.
    """

    def __init__(
        self, servers: int, slots: int, work: float, nested: tuple[str, ...] = ()
    ):
        self.servers = servers
        self.slots = slots
        self.work = work
        self.nested = nested

    @property
    def capacity(self) -> float:
        """Calls a second that it can serve."""
        return self.servers * self.slots / self.work


class Workload:
    """Who calls what, how much.

    Args:
        layers: Services by name.
        entry: Root service.
        capacity: Root calls a second that the chain can serve.
        demand: Root calls a second, by workspace.
        important: Workspaces that call the critical route.
        attempts: Attempts of a caller at one call.
    """

    def __init__(
        self,
        layers: dict[str, Layer],
        entry: str,
        capacity: float,
        demand: dict[str, float],
        important: tuple[str, ...] = (),
        attempts: int = 3,
    ):
        self.layers = layers
        self.entry = entry
        self.capacity = capacity
        self.demand = demand
        self.important = important
        self.attempts = attempts


class Outcome:
    """One root call, as its caller saw it."""

    __slots__ = ("attempts", "ended", "id", "sent", "served", "verdict", "workspace")

    def __init__(self, id: str, workspace: str, sent: float):
        self.id = id
        self.workspace = workspace
        self.sent = sent
        self.ended = sent
        self.served = False
        self.attempts = 1
        self.verdict: Verdict | None = None


class Trial:
    """Runs a workload on a fleet.

    Args:
        workload: What runs.
        seed: Of what is random.
        off: Mechanisms that are switched off.
    """

    def __init__(self, workload: Workload, seed: int, off: list[str]):
        self._workload = workload
        self._random = random.Random(seed)
        self._seed = seed
        self._off = off
        self.outcomes: list[Outcome] = []
        self.seen: list[Any] = []
        self.fleet: EmbeddedFleet | None = None

    async def run(self, seconds: float, disturb: Any = None) -> None:
        """Start the fleet, send calls, and keep what came of them."""
        settings = {name: dict(value) for name, value in SETTINGS.items()}
        with switched_off(self._off, settings):
            async with EmbeddedFleet(settings) as fleet:
                self.fleet = fleet
                await self._start(fleet)
                work = [self._send_all(fleet, seconds)]
                if disturb is not None:
                    work.append(disturb(fleet))
                await asyncio.gather(*work)
                self.seen = [
                    item
                    for place in fleet.places
                    if place.backend
                    for item in place.backend.seen
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
                for name in workload.layers
            },
            importance={
                name: {
                    "default": "normal",
                    "routes": [{"path": "/important", "importance": "critical"}],
                }
                for name in workload.layers
            },
        )
        number = 0
        for name, layer in workload.layers.items():
            for _ in range(layer.servers):
                behaviour = Behaviour(
                    work=layer.work, slots=layer.slots, nested=layer.nested
                )
                await fleet.add(ZONES[number % len(ZONES)], name, behaviour)
                number += 1
        await fleet.wait_ready()
        # Freshly started backend servers get fewer calls at first.
        for place in fleet.places:
            place.node.members.change_own(serving_since_ms=0)
        await asyncio.sleep(1.0)

    async def _send_all(self, fleet: EmbeddedFleet, seconds: float) -> None:
        workload = self._workload
        names = list(workload.demand)
        rates = list(workload.demand.values())
        nodes = [place.callers for place in fleet.places]
        clients = {
            name: Client(nodes, name, TIMEOUT, workload.attempts) for name in names
        }
        tasks: set[asyncio.Task[None]] = set()
        due = time.monotonic()
        end = due + seconds
        while due < end:
            due += self._random.expovariate(sum(rates))
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            name = self._random.choices(names, rates)[0]
            outcome = Outcome(f"{len(self.outcomes)}", name, due)
            self.outcomes.append(outcome)
            task = asyncio.create_task(self._call(clients[name], outcome))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        for client in clients.values():
            await client.close()

    async def _call(self, client: Client, outcome: Outcome) -> None:
        workload = self._workload
        path = "/important" if outcome.workspace in workload.important else "/x"
        headers = {"X-Echo": outcome.id, "X-Operation": outcome.id}
        try:
            reply = await client.call(workload.entry, path, headers=headers)
            outcome.served = reply.status == 200
            outcome.attempts = reply.attempts
        except Refusal as refusal:
            outcome.verdict = refusal.verdict
        outcome.ended = time.monotonic()

    def report(self, start: float, end: float) -> dict[str, Any]:
        """Return the measures over the calls due in a span of time."""
        workload = self._workload
        counted = [o for o in self.outcomes if start <= o.sent < end]
        served = [o for o in counted if o.served]
        figures: dict[str, Any] = {
            "offered / capacity": len(counted) / (end - start) / workload.capacity,
            "goodput / capacity": len(served) / (end - start) / workload.capacity,
        }
        histogram = HdrHistogram(1, LONGEST_MS, 3)
        for outcome in served:
            histogram.record_value(max(1, int((outcome.ended - outcome.sent) * 1000)))
        for share in (50, 99):
            figures[f"p{share} ms"] = histogram.get_value_at_percentile(share)
        figures |= self._report_shares(counted, served, end - start)
        figures |= self._report_work()
        return figures

    def _report_shares(
        self, counted: list[Outcome], served: list[Outcome], seconds: float
    ) -> dict[str, Any]:
        workload = self._workload
        by_name = collections.Counter(o.workspace for o in served)
        asked = collections.Counter(o.workspace for o in counted)
        fair = share_fairly(
            {name: asked[name] / seconds for name in workload.demand},
            workload.capacity,
        )
        others = [name for name in workload.demand if name not in workload.important]
        worst = min(by_name[name] / seconds / max(fair[name], 1e-9) for name in others)
        figures = {"worst workspace / fair share": worst}
        if workload.important:
            wanted = sum(asked[name] for name in workload.important)
            got = sum(by_name[name] for name in workload.important)
            figures["important served"] = got / max(1, wanted)
        return figures

    def _report_work(self) -> dict[str, Any]:
        served = {o.id for o in self.outcomes if o.served}
        not_run = {o.id for o in self.outcomes if o.verdict is Verdict.NOT_RUN}
        roots: collections.Counter[str] = collections.Counter()
        roots_of_call: dict[str, str] = {}
        for item in self.seen:
            trace = item.headers.get("traceparent", "")[3:35]
            roots[trace] += 1
            echo = item.headers.get("x-echo")
            if echo:
                roots_of_call[trace] = echo
        wasted = sum(
            count
            for trace, count in roots.items()
            if roots_of_call.get(trace) not in served
        )
        started = [
            item.headers["x-echo"] for item in self.seen if "x-echo" in item.headers
        ]
        return {
            "wasted work share": wasted / max(1, sum(roots.values())),
            "starts a root call, max": max(roots.values(), default=0),
            "starts a root call, mean": sum(roots.values()) / max(1, len(roots)),
            "wrong verdicts": len(not_run & set(started)),
        }


def share_fairly(demand: dict[str, float], capacity: float) -> dict[str, float]:
    """Return max-min fair shares of a capacity."""
    shares: dict[str, float] = {}
    left = capacity
    for number, name in enumerate(sorted(demand, key=lambda key: demand[key])):
        part = left / (len(demand) - number)
        shares[name] = min(demand[name], part)
        left -= shares[name]
    return shares
