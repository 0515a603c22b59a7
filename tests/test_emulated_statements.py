"""Load of backend servers that state limits or that they leave, in virtual time."""

import asyncio
import time

from primroseglade.emulator.callers import EmulatedCallers, RouteOutcomes
from primroseglade.emulator.deployment import (
    Deployment,
    EmulatedRoute,
    EmulatedService,
)
from primroseglade.emulator.mesh import EmulatedMesh
from primroseglade.emulator.virtual_time import run_in_virtual_time

STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
# When backend servers begin to state something.
STATED_AT = 4.0


def build_deployment() -> Deployment:
    """Return four backend servers in two zones, for about 130 calls a second each."""
    service = EmulatedService("deep", "aabb", slots=8, queue=4)
    route = EmulatedRoute("look-up", "deep", 50.0, 0.3, 400.0, 2000.0, 2000.0, value=1)
    return Deployment([service], [route])


class Play:
    """Plays a demand, and has some backend servers state limits.

    Args:
        limits: Requests per second, for the first backend servers of the service.
        demand: Requests per second.
        seconds: Duration of the demand.
    """

    def __init__(self, limits: list[float], demand: float, seconds: float = 16.0):
        self._limits = limits
        self._demand = demand
        self._seconds = seconds
        self.mesh: EmulatedMesh
        self.callers: EmulatedCallers

    async def run(self) -> None:
        """Run the play."""
        deployment = build_deployment()
        self.mesh = EmulatedMesh(deployment, 1)
        self.mesh.start()
        await asyncio.sleep(1.0)
        self.callers = EmulatedCallers(
            deployment, self.mesh, lambda route, at: self._demand, 1
        )
        self._started_at = time.monotonic()
        stating = asyncio.create_task(self._state())
        await self.callers.run(self._seconds)
        await stating
        self.mesh.close()

    async def _state(self) -> None:
        await asyncio.sleep(STATED_AT)
        for mesh_node, limit in zip(
            self.mesh.nodes.values(), self._limits, strict=False
        ):
            mesh_node.server.request_limit = limit

    def count_busiest_window(self, number: int) -> int:
        """Return the most calls in any window at a backend server with a limit."""
        server = list(self.mesh.nodes.values())[number].server
        since = self._started_at + STATED_AT + STABLE_SECONDS
        times = [at for at in server.arrived_at if at >= since]
        return max(
            sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times
        )

    def sum_outcomes(self) -> RouteOutcomes:
        """Return the outcomes of requests while the limits are in force."""
        return self.callers.outcomes.sum(since=STATED_AT + 1.0)


def test_limited_backend_servers_keep_their_limits_and_callers_are_served():
    """Guards against a limit that is kept at the cost of callers whom the other backend
    servers could serve.
    """
    play = Play([8.0, 41.6], demand=200.0)
    run_in_virtual_time(play.run())
    assert play.count_busiest_window(0) <= 53
    assert play.count_busiest_window(1) <= 254
    outcomes = play.sum_outcomes()
    assert outcomes.in_time >= 0.95 * outcomes.asked


def test_requests_beyond_all_limits_are_refused_as_not_run():
    """Guards against calls that fail at backend servers which all limit their requests,
    and against serving far fewer than these take.
    """
    play = Play([20.0] * 4, demand=200.0)
    run_in_virtual_time(play.run())
    assert all(play.count_busiest_window(number) <= 125 for number in range(4))
    outcomes = play.sum_outcomes()
    served = outcomes.in_time + outcomes.late
    seconds = 16.0 - STATED_AT - 1.0
    assert served >= 0.8 * 80.0 * seconds
    assert outcomes.failed == 0


def test_leaving_backend_server_hands_its_calls_over():
    """Guards against calls that fail because a backend server only states in answers
    that it leaves, and ends.
    """
    play = Play([], demand=150.0)

    async def leave() -> None:
        await asyncio.sleep(1.0 + STATED_AT)
        server = next(iter(play.mesh.nodes.values())).server
        server.leaving = True
        await asyncio.sleep(2.0)
        server.crash()

    async def run() -> None:
        leaving = asyncio.create_task(leave())
        await play.run()
        await leaving

    run_in_virtual_time(run())
    outcomes = play.sum_outcomes()
    assert outcomes.failed == 0
    assert outcomes.in_time >= 0.98 * outcomes.asked
