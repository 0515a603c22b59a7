"""Calls while an availability zone is evacuated, and after it."""

import asyncio
import time

from .mesh import build_configuration, build_path, Mesh, run_mesh, send_request

PATHS = (build_path("deep", "deep"), build_path("front", "front"))
# Time within which the nodes of a small fleet apply an evacuation. Operators ask for
# 5 s.
APPLY_SECONDS = 1.0


def build_mesh() -> Mesh:
    """Return a mesh with a backend server of ``deep`` in zone a, and two in zone b."""
    mesh = Mesh()
    mesh.add("front", cold_overshoot=1.5)
    mesh.add("deep", cold_overshoot=1.5)
    for _ in range(2):
        mesh.add("deep", zone="b", cold_overshoot=1.5)
    services = [
        {
            "name": "deep",
            "health_path": "/health",
            "cold_start": "1s",
            "cold_per_s": 4,
        }
    ]
    mesh.store.publish(build_configuration(1, *PATHS, services=services))
    return mesh


def set_evacuated(mesh: Mesh, zone: str, evacuated: bool) -> None:
    """Write an evacuation to the store as operators do, or take it back."""
    value = b"{}" if evacuated else b""
    mesh.store.append("keyed.op", f"evacuate/{zone}", value)


def count_executed(mesh: Mesh, zone: str) -> int:
    """Return how many requests ran on the backend servers of a zone."""
    return sum(
        len(instance.backend.executed_request_ids)
        for instance in mesh.instances
        if instance.settings.zone == zone
    )


async def send_from_all(mesh: Mesh, count: int) -> set[int]:
    """Send requests to all nodes; return the statuses of the answers."""
    requests = [
        send_request(instance, "/deep/a", f"{instance.settings.name}-{number}")
        for instance in mesh.instances
        for number in range(count)
    ]
    return {answer.status for answer in await asyncio.gather(*requests)}


async def test_evacuated_zone_gets_no_calls_and_its_callers_are_served():
    """Guards against calls to backend servers that operators are about to take away."""
    mesh = build_mesh()
    async with run_mesh(mesh):
        assert await send_from_all(mesh, 5) == {200}
        assert count_executed(mesh, "b") > 0
        set_evacuated(mesh, "b", True)
        await asyncio.sleep(APPLY_SECONDS)
        count_before = count_executed(mesh, "b")
        assert await send_from_all(mesh, 20) == {200}
        assert count_executed(mesh, "b") == count_before


async def test_calls_that_wait_in_an_evacuated_zone_run_elsewhere():
    """Guards against calls that are queued at the evacuation and start after it."""
    mesh = build_mesh()
    async with run_mesh(mesh):
        for instance in mesh.instances[2:]:
            instance.backend.slots = 1
            instance.backend.processing_seconds = 0.6
            assert await instance.backend.report_status() == 200
        waiting = [
            asyncio.create_task(send_request(mesh.instances[2], "/deep/a", f"w{n}"))
            for n in range(6)
        ]
        await asyncio.sleep(0.05)
        set_evacuated(mesh, "b", True)
        answers = await asyncio.gather(*waiting)
        assert {answer.status for answer in answers} == {200}
        late = [
            at
            for instance in mesh.instances[2:]
            for at in instance.backend.executed_at
            if at > time.monotonic() - 0.3
        ]
        assert not late


async def test_evacuation_survives_restarts_and_an_outage_of_the_store():
    """Guards against nodes that forget an evacuation with their process, or when they
    can ask neither the store nor its reader.
    """
    mesh = build_mesh()
    async with run_mesh(mesh):
        set_evacuated(mesh, "b", True)
        await asyncio.sleep(APPLY_SECONDS)
        mesh.store.faults.error_status = 503
        count_before = count_executed(mesh, "b")
        restarted = mesh.instances[2]
        await restarted.kill_node()
        restarted.restart_node(first_start=False)
        # The store does not answer: the node learns of its peers from their streams.
        for instance in mesh.instances:
            if instance is not restarted:
                restarted.node.fleet.update_node(instance.node.entry)
        async with asyncio.timeout(5.0):
            while not restarted.node.ready:
                await asyncio.sleep(0.02)
        await send_from_all(mesh, 10)
        assert restarted.node.evacuations.zones == {"b"}
        assert count_executed(mesh, "b") == count_before


async def test_restarted_fleet_reads_evacuations_from_the_store():
    """Guards against a fleet that forgets an evacuation when all nodes restart."""
    mesh = build_mesh()
    async with run_mesh(mesh):
        set_evacuated(mesh, "b", True)
        await asyncio.sleep(APPLY_SECONDS)
        count_before = count_executed(mesh, "b")
        for instance in mesh.instances:
            await instance.kill_node()
        mesh.store.delete_history()
        for instance in mesh.instances:
            instance.restart_node(first_start=False)
        async with asyncio.timeout(5.0):
            while not all(instance.node.ready for instance in mesh.instances):
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        await send_from_all(mesh, 5)
        assert count_executed(mesh, "b") == count_before


async def test_zone_is_used_again_gently_after_an_evacuation():
    """Guards against a burst at backend servers that are cold after an evacuation."""
    mesh = build_mesh()
    async with run_mesh(mesh):
        set_evacuated(mesh, "b", True)
        await asyncio.sleep(APPLY_SECONDS)
        ended = time.monotonic()
        for instance in mesh.instances[2:]:
            instance.backend.cold_until = ended + 1.0
        set_evacuated(mesh, "b", False)
        async with asyncio.timeout(5.0):
            while mesh.instances[2].node.evacuations.zones:
                await asyncio.sleep(0.01)
        for _ in range(15):
            await send_from_all(mesh, 5)
            await asyncio.sleep(0.03)
        for instance in mesh.instances[2:]:
            cold_calls = [at for at in instance.backend.executed_at if at > ended]
            assert sum(at < ended + 0.98 for at in cold_calls) <= 14
        await asyncio.sleep(0.6)
        count_before = count_executed(mesh, "b")
        await send_from_all(mesh, 10)
        assert count_executed(mesh, "b") > count_before + 10
