"""Behavior of nodes when backend servers, the store, peers or the node itself fail."""

import asyncio

import pytest

from primroseglade.sidecar import peer
from primroseglade.sidecar.clock import read_age_clock

from .mesh import build_configuration, Mesh, MeshInstance, PATHS, run_mesh, send_request


async def wait_until(condition: object, seconds: float = 5.0) -> None:
    """Wait until a function returns a true value."""
    async with asyncio.timeout(seconds):
        while not condition():  # type: ignore[operator]
            await asyncio.sleep(0.02)


def count_requests(instance: MeshInstance) -> int:
    """Return how many requests have run on a place's backend server."""
    return len(instance.backend.executed_request_ids)


async def test_draining_backend_server_gets_no_more_calls(mesh: Mesh):
    """After the acknowledgement all calls go to the other one, and none fails."""
    draining, other = mesh.instances[1:]
    draining.backend.state = "draining"
    assert await draining.backend.report_status() == 200
    count_before = count_requests(draining)
    for number in range(20):
        assert (
            await send_request(mesh.instances[0], "/deep/a", f"d{number}")
        ).status == 200
    assert count_requests(draining) == count_before
    assert count_requests(other) >= 20


async def test_late_ready_report_does_not_undo_deregistration(mesh: Mesh):
    """Guards against sending requests to a deregistered backend server, which drops
    them: a report sent before the deregistration says ready and arrives after it.
    """
    draining = mesh.instances[1]
    assert await draining.backend.deregister() == 200
    assert await draining.backend.report_status() == 200
    assert draining.node.backend.instance == ""


async def test_a_leave_before_any_report_binds(mesh: Mesh):
    """Guards against calls to a backend server that deregisters just after its node is
    restarted: the deregistration names no start time, and a late report says ready.
    """
    draining = mesh.instances[1]
    await draining.kill_node()
    draining.restart_node(first_start=False)
    draining.node.backend.drain(draining.backend.instance, 0)
    async with asyncio.timeout(5.0):
        while await draining.backend.report_status() != 200:
            await asyncio.sleep(0.02)
    assert draining.node.backend.instance == ""


async def test_report_of_an_earlier_incarnation_is_ignored(mesh: Mesh):
    """Guards against taking a restarted backend server out of use: the last report of
    its earlier incarnation says draining, and is delayed by a network partition.
    """
    instance = mesh.instances[1]
    instance.backend.start_time_ms = 200
    assert await instance.backend.report_status() == 200
    instance.backend.start_time_ms = 100
    instance.backend.state = "draining"
    await instance.backend.report_status()
    instance.backend.start_time_ms = 200
    instance.backend.state = "ready"
    assert instance.node.backend.instance == instance.backend.instance


async def test_malformed_or_foreign_report_is_refused(mesh: Mesh):
    """Invalid reports and those of other services leave the backend server in use."""
    instance = mesh.instances[1]
    for body in (b"rubbish", b"{}", b'{"service": 3}'):
        assert await instance.backend.send_control_request("PUT", body) == 400
    instance.backend.service = "other"
    await instance.backend.report_status()
    assert instance.node.backend.instance == instance.backend.instance


async def test_acknowledged_drain_survives_a_node_restart(mesh: Mesh):
    """Guards against requests to a backend server whose drain was acknowledged. The
    node is killed, restarted, and then receives a report sent before the drain.
    """
    instance = mesh.instances[1]
    instance.backend_task.cancel()
    assert await instance.backend.deregister() == 200
    await instance.kill_node()
    instance.restart_node(first_start=False)
    await wait_until(lambda: instance.node.ready)
    await instance.backend.report_status()
    assert instance.node.backend.instance == ""


async def test_peers_record_a_drain_while_the_store_is_down(mesh: Mesh):
    """While the store is down, a drain is acknowledged as other nodes record it, and
    still applies after the node is killed and restarted.
    """
    instance = mesh.instances[1]
    instance.backend_task.cancel()
    mesh.store.faults.error_status = 503
    assert await instance.backend.deregister() == 200
    await instance.kill_node()
    instance.restart_node(first_start=False)
    mesh.store.faults.error_status = 0
    mesh.store._partitions.pop(("keyed.primroseglade-drains", 0), None)
    await wait_until(lambda: len(list(instance.node.fleet)) == 2)
    await wait_until(lambda: len(instance.node.fleet.list_connected()) == 2)
    await instance.backend.report_status()
    assert instance.node.backend.instance == ""


async def test_revoked_key_is_refused(mesh: Mesh):
    """No node accepts a key after the operator has removed it."""
    configuration = build_configuration(2, *PATHS)
    configuration["tenants"][0]["api_keys"] = ["key-2"]
    mesh.store.publish(configuration)
    await wait_until(lambda: all(p.node.policies.version == 2 for p in mesh.instances))
    for instance in mesh.instances:
        assert (await send_request(instance, "/deep/a", key="key-1")).status == 401
        assert (await send_request(instance, "/deep/a", key="key-2")).status == 200


async def test_keys_are_refused_once_the_configuration_is_stale():
    """Guards against accepting revoked keys while the store is unreachable. A node that
    does not know whether a key is still valid refuses the call as not run.
    """
    mesh = Mesh()
    for service in ("front", "deep"):
        mesh.add(service, revoke=1.5)
    routes = PATHS
    mesh.store.publish(build_configuration(1, *routes))
    async with run_mesh(mesh):
        assert (await send_request(mesh.instances[0], "/deep/a")).status == 200
        mesh.store.faults.silent = True
        await asyncio.sleep(2.0)
        assert (await send_request(mesh.instances[0], "/deep/a")).status == 503
        assert (
            await send_request(mesh.instances[0], "/inner/a", key=None)
        ).status == 200
        mesh.store.faults.silent = False
        await wait_until(lambda: mesh.instances[0].node.policies.is_fresh, 8.0)
        assert (await send_request(mesh.instances[0], "/deep/a")).status == 200


async def test_new_version_is_read_after_log_truncation(mesh: Mesh):
    """Guards against missing a configuration when the store has deleted the records
    between the nodes' offset and the newest one.
    """
    mesh.store.publish(build_configuration(2, *PATHS))
    mesh.store.publish(build_configuration(3, *PATHS))
    mesh.store.delete_history()
    await wait_until(lambda: all(p.node.policies.version == 3 for p in mesh.instances))
    mesh.store.publish(build_configuration(4, *PATHS))
    await wait_until(lambda: all(p.node.policies.version == 4 for p in mesh.instances))


async def test_older_version_does_not_replace_a_newer_one(mesh: Mesh):
    """A version stays in force until a newer one exists, whatever the store returns."""
    mesh.store.publish(build_configuration(5, *PATHS))
    await wait_until(lambda: mesh.instances[0].node.policies.version == 5)
    mesh.store.publish(build_configuration(4, *PATHS))
    await asyncio.sleep(0.4)
    assert mesh.instances[0].node.policies.version == 5


async def test_graceful_shutdown_fails_no_call(mesh: Mesh):
    """While a node shuts down, calls in flight complete, and new ones are sent to the
    other backend server.
    """
    stopping = mesh.instances[1]
    for instance in mesh.instances[1:]:
        instance.backend.processing_seconds = 0.5
    running = [
        asyncio.create_task(send_request(mesh.instances[0], "/deep/a", f"r{number}"))
        for number in range(12)
    ]
    await asyncio.sleep(0.2)
    stopping.stopping.set()
    await asyncio.sleep(0.1)
    late = [
        asyncio.create_task(send_request(mesh.instances[0], "/deep/a", f"l{number}"))
        for number in range(12)
    ]
    local_call = asyncio.create_task(send_request(stopping, "/deep/a", "at"))
    answers = await asyncio.gather(*running, *late, local_call)
    assert [answer.status for answer in answers] == [200] * 25
    assert not any(
        request.startswith("l") for request in stopping.backend.executed_request_ids
    )


async def test_idempotent_calls_on_a_killed_node_are_retried(mesh: Mesh):
    """A node is killed; idempotent calls in flight there are answered by another."""
    for instance in mesh.instances[1:]:
        instance.backend.processing_seconds = 0.4
    running = [
        asyncio.create_task(send_request(mesh.instances[0], "/deep/a", f"r{number}"))
        for number in range(8)
    ]
    await asyncio.sleep(0.15)
    await mesh.instances[1].kill_node()
    answers = await asyncio.gather(*running)
    assert [answer.status for answer in answers] == [200] * 8
    mesh.instances[1].restart_node(first_start=False)
    await mesh.wait_until_connected()
    assert (await send_request(mesh.instances[1], "/deep/a")).status == 200


async def test_node_without_the_store_gets_versions_from_peers(mesh: Mesh):
    """A node that cannot reach the store receives new versions from its peers."""
    isolated = mesh.instances[2]

    async def fail(*arguments: object) -> None:
        raise OSError("cut")

    isolated.node._store._pool._dial = fail
    isolated.node._store._pool.close_idle()
    mesh.store.publish(build_configuration(7, *PATHS))
    await wait_until(lambda: isolated.node.policies.version == 7)
    assert isolated.node.policies.is_fresh


async def test_new_version_costs_few_store_calls(mesh: Mesh):
    """Guards against a store call per node for each version, as calls are billed. Only
    one node long-polls the store, and broadcasts a new version immediately.
    """
    await asyncio.sleep(1.5)
    calls_before = mesh.store.calls
    mesh.store.publish(build_configuration(2, *PATHS))
    await asyncio.sleep(0.4)
    assert [instance.node.policies.version for instance in mesh.instances] == [2, 2, 2]
    # The reader's long poll returns and is repeated; it also polls every 0.6 s.
    assert mesh.store.calls - calls_before <= 4


async def test_version_propagates_after_the_reader_was_killed(mesh: Mesh):
    """The only node that long-polls the store is killed. The next version must be in
    force at the others within 2 s, the required time.
    """
    await asyncio.sleep(1.0)
    reader = min(mesh.instances, key=lambda instance: instance.settings.name)
    await reader.kill_node()
    mesh.store.publish(build_configuration(2, *PATHS))
    await asyncio.sleep(1.9)
    others = [instance for instance in mesh.instances if instance is not reader]
    assert [instance.node.policies.version for instance in others] == [2, 2]


async def test_stopping_node_refuses_calls_it_may_not_finish(mesh: Mesh):
    """Guards against a call that arrives in the second half of the shutdown grace
    period, queues at a busy backend server, still runs when the node exits, and gets
    502 after 2 s. Callers keep coming if few other nodes of the zone are ready. The
    call is refused as not run on arrival; one whose deadline is before the exit is
    served.
    """
    stopping = mesh.instances[0]
    for instance in mesh.instances[1:]:
        instance.backend.processing_seconds = 0.3
    stopping.stopping.set()
    # The grace period is 2 s here, part of which is reserved for the process's exit.
    await asyncio.sleep(0.95)
    loop = asyncio.get_running_loop()
    short_call = asyncio.create_task(
        send_request(stopping, "/deep/a", "kept", remaining_ms=150)
    )
    started = loop.time()
    answer = await send_request(stopping, "/deep/a", "late", remaining_ms=2000)
    assert answer.status == 503
    assert loop.time() - started < 0.1
    assert not any(
        "late" in instance.backend.executed_request_ids for instance in mesh.instances
    )
    assert (await short_call).status != 503


async def test_drains_of_other_backend_servers_do_not_mask_this_one(mesh: Mesh):
    """Guards against requests that go on for 2 s and more after an acknowledged drain.
    A peer has sent drains of backend servers elsewhere that started later. The node
    mistakes reports of its own, older backend server for those of an earlier
    incarnation, and acknowledges the drain without applying it.
    """
    instance = mesh.instances[1]
    instance.node.apply_drains({"i-elsewhere": instance.backend.start_time_ms + 1000})
    instance.backend.state = "draining"
    assert await instance.backend.report_status() == 200
    assert instance.node.backend.instance == ""


async def test_drain_overtaken_by_a_later_report_is_applied(mesh: Mesh):
    """A draining report arrives after one that was sent later. It is acknowledged, so
    the drain must be applied.
    """
    instance = mesh.instances[1]
    instance.backend.state = "draining"
    instance.backend._sequence = 0
    assert await instance.backend.report_status() == 200
    assert instance.node.backend.instance == ""


async def test_calls_soon_go_elsewhere_when_a_zone_falls_silent(mesh: Mesh):
    """Guards against calls that wait for an unreachable zone until their deadline.
    Packets to the zone are dropped; for 2 s half of all calls are sent there, though
    another zone serves them.
    """
    silent_server = mesh.instances[1].node._peer_server
    paused_streams = [
        (stream, stream._transport) for stream in silent_server._tasks_by_stream
    ]
    for stream, transport in paused_streams:
        transport.pause_reading()
        stream._transport = None
    clock = asyncio.get_running_loop().time
    paused_at = clock()
    durations: dict[float, float] = {}

    async def call(number: int) -> None:
        started = clock()
        answer = await send_request(mesh.instances[0], "/deep/a", f"cut-{number}")
        assert answer.status == 200
        durations[started - paused_at] = clock() - started

    async with asyncio.TaskGroup() as group:
        for number in range(60):
            group.create_task(call(number))
            await asyncio.sleep(0.025)
    for stream, transport in paused_streams:
        stream._transport = transport
    late_durations = [seconds for at, seconds in durations.items() if at > 0.8]
    assert max(late_durations) < 0.3
    assert max(durations.values()) < 1.9


async def test_crashed_backend_server_gets_no_calls_until_it_reports(
    mesh: Mesh,
):
    """Guards against a node that broadcasts a crashed backend server as available. A
    third of all calls are sent there first, and admission counts its slots: callers are
    admitted whom the two other backend servers cannot serve.
    """
    crashed = mesh.instances[1]
    assert crashed.backend_task is not None
    crashed.backend_task.cancel()
    await asyncio.wait({crashed.backend_task})
    peer_view = mesh.instances[0].node.fleet.get(crashed.settings.name)
    assert peer_view is not None
    async with asyncio.timeout(5.0):
        number = 0
        while peer_view.state.instance:
            assert (
                await send_request(mesh.instances[0], "/deep/a", f"r{number}")
            ).status == 200
            number += 1
    crashed.backend_task = asyncio.create_task(crashed.backend.run())
    async with asyncio.timeout(5.0):
        while not peer_view.state.instance:
            await asyncio.sleep(0.02)


async def test_call_delayed_past_its_deadline_does_not_run(
    mesh: Mesh, monkeypatch: pytest.MonkeyPatch
):
    """Guards against work for callers that have left: a call is delayed between two
    nodes past its deadline, and arrives with its remaining time undiminished.
    """
    for number in range(4):
        assert (
            await send_request(mesh.instances[0], "/deep/a", f"n{number}")
        ).status == 200
    monkeypatch.setattr(peer, "read_age_clock", lambda: read_age_clock() - 5.0)
    answer = await send_request(mesh.instances[0], "/once/a", "held-up", method="POST")
    assert answer.status == 503
    assert not any(
        "held-up" in instance.backend.executed_request_ids
        for instance in mesh.instances
    )


async def test_delayed_first_call_on_a_stream_does_not_run(
    mesh: Mesh, monkeypatch: pytest.MonkeyPatch
):
    """Guards against work for a caller that has left: the delayed call is the first on
    its stream, and no earlier call provides a baseline to measure the delay.
    """
    monkeypatch.setattr(peer, "read_age_clock", lambda: read_age_clock() - 5.0)
    for number in range(8):
        answer = await send_request(
            mesh.instances[0], "/once/a", f"first-{number}", method="POST"
        )
        assert answer.status == 503
    assert not any(instance.backend.executed_request_ids for instance in mesh.instances)
