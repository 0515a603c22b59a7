"""Requests that compete for a scarce service, in virtual time."""

import asyncio

from primroseglade.emulator.callers import EmulatedCallers, RouteOutcomes
from primroseglade.emulator.deployment import (
    Deployment,
    DownstreamCalls,
    EmulatedRoute,
    EmulatedService,
)
from primroseglade.emulator.mesh import EmulatedMesh
from primroseglade.emulator.virtual_time import run_in_virtual_time

# Requests per second: twice what the scarce service can serve, nearly all of it for
# histories, which make four look-ups each.
DEMAND = {"claim": 10.0, "history": 70.0, "upload": 10.0}


def build_deployment() -> Deployment:
    """Return a scarce service of two backend servers, and two that lead to it."""
    services = [
        EmulatedService("archive", "aabb", slots=40, queue=40),
        EmulatedService("index", "ab", slots=40, queue=40),
        EmulatedService("office", "ab", slots=4, queue=40),
    ]
    index_calls = (DownstreamCalls("index-read", 1, False),)
    look_ups = (DownstreamCalls("look-up", 4, False),)
    routes = [
        EmulatedRoute(
            "history",
            "archive",
            60.0,
            0.3,
            1500.0,
            5000.0,
            1200.0,
            1,
            True,
            1.0,
            0.3,
            index_calls,
        ),
        EmulatedRoute(
            "upload", "index", 60.0, 0.3, 800.0, 3000.0, 3000.0, 1, False, 2.0, 0.5
        ),
        EmulatedRoute(
            "claim", "office", 100.0, 0.3, 500.0, 2000.0, 1000.0, 0, False, 2.0, 0.3
        ),
        EmulatedRoute(
            "index-read",
            "index",
            10.0,
            0.3,
            800.0,
            2000.0,
            2000.0,
            downstream_calls=look_ups,
        ),
        EmulatedRoute("look-up", "office", 40.0, 0.3, 300.0, 700.0, 700.0),
    ]
    return Deployment(services, routes)


def play(seconds: float) -> dict[str, RouteOutcomes]:
    """Return the outcomes by route after the first four seconds of the demand."""
    outcomes: dict[str, RouteOutcomes] = {}

    async def run() -> None:
        deployment = build_deployment()
        mesh = EmulatedMesh(deployment, 1)
        mesh.start()
        await asyncio.sleep(1.0)
        callers = EmulatedCallers(
            deployment, mesh, lambda route, at: DEMAND.get(route, 0.0), 1
        )
        await callers.run(seconds)
        mesh.close()
        for route in DEMAND:
            outcomes[route] = callers.outcomes.sum(since=4.0, route=route)

    run_in_virtual_time(run())
    return outcomes


def test_a_claim_is_in_time_beside_twice_the_look_ups_that_can_be_served():
    """Guards against the most urgent requests that come late or are refused at the
    scarce service, against uploads that are refused though they need nothing of it, and
    against a least urgent kind that is hardly served.
    """
    outcomes = play(16.0)
    claim, history, upload = (outcomes[name] for name in DEMAND)
    assert claim.in_time > 0.9 * claim.asked
    assert upload.in_time > 0.95 * upload.asked
    served = sum(outcome.in_time + outcome.late for outcome in outcomes.values())
    asked = sum(outcome.asked for outcome in outcomes.values())
    assert history.in_time + history.late > 0.25 * history.asked * served / asked
    assert history.failed < 0.2 * history.asked
