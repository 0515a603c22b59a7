"""Emulated callers: an open loop of requests, with retries, and what came of them."""

import asyncio
import random
import time

from .deployment import Demand, Deployment, EmulatedRoute
from .mesh import EmulatedMesh, MeshNode, read_retry_after, read_status

# Callers wait for a refusal's Retry-After up to this fraction of the time left.
MAX_WAIT_RATIO = 1 / 3
# Wait of a caller that is refused without a Retry-After.
DEFAULT_WAIT_SECONDS = 0.1
MAX_TRIES = 2
REFUSED_STATUSES = (429, 503)


class RouteOutcomes:
    """What came of the requests of a route.

    Attributes:
        asked: Number of requests, retries not counted.
        in_time: Answered within the latency target.
        late: Answered later.
        refused: Refused at the last try.
        failed: Failed at the last try.
        refused_again: Those of ``refused`` and ``failed`` that had been refused before.
    """

    __slots__ = ("asked", "failed", "in_time", "late", "refused", "refused_again")

    def __init__(self) -> None:
        self.asked = 0
        self.in_time = 0
        self.late = 0
        self.refused = 0
        self.failed = 0
        self.refused_again = 0

    def compute_worth(self, route: EmulatedRoute) -> float:
        """Return the worth of the answers."""
        return self.in_time * route.value + self.late * route.late_value


class Outcomes:
    """What came of all requests, by whole second of arrival and by route."""

    def __init__(self, deployment: Deployment, started_at: float):
        self._deployment = deployment
        self._started_at = started_at
        self._by_second: dict[tuple[int, str], RouteOutcomes] = {}

    def get(self, arrived_at: float, route: str) -> RouteOutcomes:
        """Return the counts of a second and route."""
        key = (int(arrived_at - self._started_at), route)
        return self._by_second.setdefault(key, RouteOutcomes())

    def sum(
        self, route: str | None = None, since: float = 0.0, until: float = 1e9
    ) -> RouteOutcomes:
        """Return the counts of a span of seconds, of one route or of all."""
        total = RouteOutcomes()
        for (second, name), outcomes in self._by_second.items():
            if since <= second < until and route in (None, name):
                for field in RouteOutcomes.__slots__:
                    value = getattr(total, field) + getattr(outcomes, field)
                    setattr(total, field, value)
        return total

    def compute_worth_ratio(
        self, route: str | None = None, since: float = 0.0, until: float = 1e9
    ) -> float:
        """Return the worth earned in a span as a fraction of that asked for."""
        earned = asked = 0.0
        for (second, name), outcomes in self._by_second.items():
            if since <= second < until and route in (None, name):
                described = self._deployment.routes[name]
                earned += outcomes.compute_worth(described)
                asked += outcomes.asked * described.value
        return earned / asked if asked else 1.0


class EmulatedCallers:
    """Sends requests to the nodes of all zones, each to a random one of its zone.

    Args:
        deployment: The deployment.
        mesh: Its nodes.
        demand: Requests per second of a route at a time in seconds.
        seed: Seed of arrivals.
    """

    def __init__(
        self, deployment: Deployment, mesh: EmulatedMesh, demand: Demand, seed: int
    ):
        self._deployment = deployment
        self._mesh = mesh
        self._demand = demand
        self._rng = random.Random(seed)
        self._started_at = time.monotonic()
        self.outcomes = Outcomes(deployment, self._started_at)

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds, and wait for their outcomes."""
        async with asyncio.TaskGroup() as group:
            for route in self._deployment.routes.values():
                if route.value:
                    group.create_task(self._send_route(group, route, seconds))

    async def _send_route(
        self, group: asyncio.TaskGroup, route: EmulatedRoute, seconds: float
    ) -> None:
        ends_at = self._started_at + seconds
        while (now := time.monotonic()) < ends_at:
            rate = self._demand(route.name, now - self._started_at)
            if rate <= 0:
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(self._rng.expovariate(rate))
            group.create_task(self._send(route))

    async def _send(self, route: EmulatedRoute) -> None:
        arrived_at = time.monotonic()
        outcomes = self.outcomes.get(arrived_at, route.name)
        outcomes.asked += 1
        zone = self._rng.choice(self._deployment.zones)
        deadline = arrived_at + route.budget_ms / 1000
        was_refused = False
        for number in range(MAX_TRIES):
            status, retry_after = await self._try(route, zone, deadline)
            if status == 200:
                elapsed_ms = (time.monotonic() - arrived_at) * 1000
                if elapsed_ms <= route.target_ms:
                    outcomes.in_time += 1
                else:
                    outcomes.late += 1
                return
            refused = status in REFUSED_STATUSES
            if number == MAX_TRIES - 1 or not (refused or route.idempotent):
                break
            if refused:
                was_refused = True
                remaining = deadline - time.monotonic()
                wait = DEFAULT_WAIT_SECONDS if retry_after is None else retry_after
                await asyncio.sleep(min(wait, remaining * MAX_WAIT_RATIO))
        if refused:
            outcomes.refused += 1
        else:
            outcomes.failed += 1
        outcomes.refused_again += was_refused

    async def _try(
        self, route: EmulatedRoute, zone: str, deadline: float
    ) -> tuple[int, float | None]:
        """Send one request; return its status and Retry-After, 0 for no answer."""
        node = self._choose_node(zone)
        delay = self._deployment.caller_delay
        await asyncio.sleep(delay)
        remaining = deadline - time.monotonic()
        if node is None or remaining <= 0:
            return 0, None
        reply = await self._mesh.call(node, route.name, remaining, nested=False)
        await asyncio.sleep(delay)
        if not node.running:
            return 0, None
        return read_status(reply), read_retry_after(reply)

    def _choose_node(self, zone: str) -> MeshNode | None:
        nodes = [
            node
            for node in self._mesh.nodes.values()
            if node.entry.zone == zone and node.running
        ]
        return self._rng.choice(nodes) if nodes else None
