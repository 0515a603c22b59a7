"""Drains of backend servers over restarts, of theirs and of nodes."""

import asyncio

from hypothesis import given, strategies

from primroseglade.sidecar.backend_registration import STORE_RETRY_SECONDS
from primroseglade.sidecar.drained_lifetimes import DrainedLifetimes

from .mesh import build_configuration, Mesh, MeshInstance, PATHS, run_mesh, send_request


async def wait_until(condition, seconds: float = 5.0) -> None:
    """Wait until a function returns a true value."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


def stop_reports(instance: MeshInstance) -> None:
    """Have the backend server send no reports but those of the test."""
    assert instance.backend_task is not None
    instance.backend_task.cancel()


async def start_again(instance: MeshInstance) -> None:
    """Start the backend server again under its ID, and report it."""
    instance.backend.start_time_ms += 1000
    instance.backend._sequence = 0
    assert await instance.backend.report_status() == 200
    assert instance.node.backend.instance == instance.backend.instance


async def restart_node(instance: MeshInstance) -> None:
    """Kill a node and wait until it serves again."""
    await instance.kill_node()
    instance.restart_node(first_start=False)
    await wait_until(lambda: instance.node.ready)


async def test_second_leave_under_one_id_survives_a_node_restart(mesh: Mesh):
    """Guards against requests to a backend server that has left for the second time
    under its ID: its drain was acknowledged, and neither written nor told to peers.
    """
    instance = mesh.instances[1]
    stop_reports(instance)
    assert await instance.backend.deregister() == 200
    await start_again(instance)
    assert await instance.backend.deregister() == 200
    await restart_node(instance)
    await instance.backend.report_status()
    assert instance.node.backend.instance == ""


async def test_drain_survives_a_restart_of_all_nodes(mesh: Mesh):
    """Guards against requests to a backend server whose drain only the store has: peers
    that know no drains introduced themselves before its first report arrived.
    """
    instance = mesh.instances[1]
    stop_reports(instance)
    assert await instance.backend.deregister() == 200
    for each in mesh.instances:
        await each.kill_node()
    for each in mesh.instances:
        each.restart_node(first_start=False)
    await wait_until(lambda: len(instance.node.fleet.list_connected()) == 2)
    await wait_until(lambda: instance.node.ready)
    await instance.backend.report_status()
    assert instance.node.backend.instance == ""


async def test_stored_drains_are_read_once_the_store_answers_again(mesh: Mesh):
    """Guards against drains that are never read, as the store was down at the first
    report after the restart of the node.
    """
    instance = mesh.instances[1]
    stop_reports(instance)
    assert await instance.backend.deregister() == 200
    for each in mesh.instances:
        each.node.registration.recorded_drains.clear()
    await instance.kill_node()
    mesh.store.faults.error_status = 503
    instance.restart_node(first_start=False)
    await wait_until(lambda: instance.node.ready)
    await instance.backend.report_status()
    mesh.store.faults.error_status = 0
    await wait_until(lambda: instance.node.backend.instance == "")


async def test_leave_is_stored_while_the_one_before_it_is_not(mesh: Mesh):
    """Guards against a second drain that is not written, as the write of the first one
    is still being repeated.
    """
    instance = mesh.instances[1]
    stop_reports(instance)
    mesh.store.faults.error_status = 503
    assert await instance.backend.deregister() == 200
    await start_again(instance)
    assert await instance.backend.deregister() == 200
    mesh.store.faults.error_status = 0
    await asyncio.sleep(STORE_RETRY_SECONDS + 0.5)
    for each in mesh.instances:
        each.node.registration.recorded_drains.clear()
    await restart_node(instance)
    await instance.backend.report_status()
    assert instance.node.backend.instance == ""


async def test_older_write_that_arrives_late_does_not_undo_a_drain(mesh: Mesh):
    """Guards against a write whose response was lost, and which the store carries out
    after that of the next lifetime.
    """
    instance = mesh.instances[1]
    stop_reports(instance)
    name = instance.backend.instance
    await instance.node._store.write_drain(name, 2000, 1.0)
    await instance.node._store.write_drain(name, 1000, 1.0)
    assert (await instance.node._store.list_drains(1.0))[name] == 2000


async def test_leave_before_the_report_of_its_lifetime_binds(mesh: Mesh):
    """Guards against requests to a restarted backend server that leaves before its node
    has any report of it: the last report was that of the former lifetime.
    """
    instance = mesh.instances[1]
    stop_reports(instance)
    instance.backend.start_time_ms += 1000
    assert await instance.backend.deregister() == 200
    assert instance.node.backend.instance == ""


async def test_leave_binds_after_the_clock_was_set_back(mesh: Mesh):
    """Guards against an acknowledged leave without effect: the clock was set back, so
    that the start of the process lies before that of its former lifetime.
    """
    instance = mesh.instances[1]
    stop_reports(instance)
    instance.backend.start_time_ms = 2000
    assert await instance.backend.report_status() == 200
    instance.backend.start_time_ms = 1000
    assert await instance.backend.deregister() == 200
    assert instance.node.backend.instance == ""
    answer = await send_request(mesh.instances[0], "/deep/a")
    assert answer.status == 200
    assert not instance.backend.executed_request_ids

    # The leave was that of an earlier lifetime after all: the later one reports.
    instance.backend.start_time_ms = 2000
    assert await instance.backend.report_status() == 200
    assert instance.node.backend.instance == instance.backend.instance


async def test_drain_without_effect_is_not_acknowledged(mesh: Mesh):
    """Guards against a promise that is not kept: a report says that an earlier lifetime
    drains, and the one in use goes on.
    """
    instance = mesh.instances[1]
    stop_reports(instance)
    instance.backend.start_time_ms = 2000
    assert await instance.backend.report_status() == 200
    instance.backend.start_time_ms = 1000
    instance.backend.state = "draining"
    assert await instance.backend.report_status() == 503
    assert instance.node.backend.instance == instance.backend.instance


async def test_leave_without_a_start_time_survives_restarts():
    """Guards against a leave that names no start and arrives before any report: it is
    recorded under the start of another instance, or under none.
    """
    mesh = Mesh()
    for service in ("front", "deep", "deep"):
        mesh.add(service)
    mesh.store.publish(build_configuration(1, *PATHS))
    async with run_mesh(mesh):
        instance = mesh.instances[1]
        stop_reports(instance)
        instance.backend.instance = "i-next"
        instance.backend.start_time_ms += 1000
        assert await instance.backend.send_control_request("DELETE", b"") == 200
        await restart_node(instance)
        await instance.backend.report_status()
        assert instance.node.backend.instance == ""


@given(
    strategies.lists(
        strategies.tuples(strategies.sampled_from("abcd"), strategies.integers(0, 9)),
        min_size=1,
    )
)
def test_older_drains_take_nothing_back(drains: list[tuple[str, int]]):
    """Guards against a drain that is lost since one of an earlier lifetime arrives
    after it, or since an instance that is recorded already takes the place of another.
    """
    lifetimes = DrainedLifetimes(capacity=3)
    for instance, start_time_ms in drains:
        lifetimes.add(instance, start_time_ms)
        assert lifetimes.covers(instance, start_time_ms)
        assert len(lifetimes.start_times) <= 3
    latest = {instance: 0 for instance, _ in drains}
    for instance, start_time_ms in drains:
        latest[instance] = max(latest[instance], start_time_ms)
    if len(latest) <= 3:
        assert lifetimes.start_times == latest
