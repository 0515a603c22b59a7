"""Calls to a backend server that states in its answers that it leaves."""

import asyncio
import time

from .mesh import Mesh, MeshInstance, send_request

# The rule of the service: no call that a caller sends later than this after its node
# has passed on such an answer.
DRAIN_SECONDS = 2.0


async def send_calls(instance: MeshInstance, count: int, prefix: str) -> set[int]:
    """Send calls one after the other; return the statuses of the answers."""
    statuses = set()
    for number in range(count):
        answer = await send_request(instance, "/deep/a", f"{prefix}{number}")
        statuses.add(answer.status)
    return statuses


async def send_until_reached(front: MeshInstance, instance: MeshInstance) -> None:
    """Send calls until one has been answered by an instance's backend server."""
    before = len(instance.backend.executed_at)
    async with asyncio.timeout(5.0):
        while len(instance.backend.executed_at) == before:
            await asyncio.gather(*(send_calls(front, 5, "s") for _ in range(8)))


async def test_backend_server_that_states_that_it_leaves_gets_no_more_calls(
    mesh: Mesh,
):
    """Guards against calls to a backend server that leaves without a report: its
    answers state it, and its node hands that on to callers without heeding it.
    """
    front, leaving, other = mesh.instances
    leaving.backend.leaving = "1"
    await send_until_reached(front, leaving)
    await asyncio.sleep(DRAIN_SECONDS)
    since = time.monotonic()
    statuses = [
        await asyncio.gather(*(send_calls(node, 5, "d") for _ in range(8)))
        for node in (front, other)
    ]
    assert all(status == {200} for answers in statuses for status in answers)
    assert not [at for at in leaving.backend.executed_at if at > since]


async def test_stated_drain_binds_callers_after_a_restart_of_the_node(mesh: Mesh):
    """Guards against calls to a leaving backend server whose node is killed before the
    store or a peer has recorded what its answers stated.
    """
    front, leaving, _ = mesh.instances
    leaving.backend.leaving = "1"
    await send_until_reached(front, leaving)
    await leaving.kill_node()
    for instance in mesh.instances:
        instance.node.registration.recorded_drains.clear()
    mesh.store._partitions.pop(("keyed.primroseglade-drains", 0), None)
    leaving.restart_node(first_start=False)
    await asyncio.sleep(DRAIN_SECONDS)
    await leaving.backend.report_status()
    since = time.monotonic()
    await asyncio.gather(*(send_calls(front, 20, "d") for _ in range(8)))
    assert not [at for at in leaving.backend.executed_at if at > since]


async def test_next_lifetime_under_the_same_id_gets_calls(mesh: Mesh):
    """Guards against a backend server that stays unused after a restart, as its former
    lifetime has left.
    """
    front, leaving, _ = mesh.instances
    leaving.backend.leaving = "1"
    await send_until_reached(front, leaving)
    leaving.backend.leaving = ""
    leaving.backend.start_time_ms += 1000
    assert await leaving.backend.report_status() == 200
    await send_until_reached(front, leaving)
