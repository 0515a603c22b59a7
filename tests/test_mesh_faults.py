"""What nodes do when backend servers, the store, peers or they themselves fail."""

import asyncio

import pytest

from primroseglade.sidecar import peer
from primroseglade.sidecar.clock import read_age_clock

from .mesh import ask, build_configuration, Mesh, PATHS, Place, run_mesh


async def wait_until(condition: object, seconds: float = 5.0) -> None:
    """Wait until a function returns something true."""
    async with asyncio.timeout(seconds):
        while not condition():  # type: ignore[operator]
            await asyncio.sleep(0.02)


def count_requests(place: Place) -> int:
    """Return how many requests ran on a place's backend server."""
    return len(place.backend.ran)


async def test_draining_backend_server_gets_no_more_calls(mesh: Mesh):
    """From the acknowledgement on, calls go to the other one, and none fails."""
    draining, other = mesh.places[1:]
    draining.backend.state = "draining"
    assert await draining.backend.report() == 200
    count_before = count_requests(draining)
    for number in range(20):
        assert (await ask(mesh.places[0], "/deep/a", f"d{number}")).status == 200
    assert count_requests(draining) == count_before
    assert count_requests(other) >= 20


async def test_late_ready_report_does_not_undo_deregistration(mesh: Mesh):
    """A backend server that had said goodbye got requests again and cut them off:
    a report that it was ready, sent before, came after.
    """
    draining = mesh.places[1]
    assert await draining.backend.leave() == 200
    assert await draining.backend.report() == 200
    assert draining.node.backend.instance == ""


async def test_a_leave_before_any_report_binds(mesh: Mesh):
    """Guards against calls to a backend server that was told to leave just after its
    node was started again: the leave names no start of a lifetime, and a report that
    says it is ready comes late.
    """
    draining = mesh.places[1]
    await draining.kill_node()
    draining.start_node_again(first_start=False)
    draining.node.backend.drain(draining.backend.instance, 0)
    async with asyncio.timeout(5.0):
        while await draining.backend.report() != 200:
            await asyncio.sleep(0.02)
    assert draining.node.backend.instance == ""


async def test_report_of_an_earlier_incarnation_is_ignored(mesh: Mesh):
    """A backend server was taken out of use seconds after its start: its earlier
    lifetime's last report, that it drains, had been held up by a cut.
    """
    place = mesh.places[1]
    place.backend.start_time_ms = 200
    assert await place.backend.report() == 200
    place.backend.start_time_ms = 100
    place.backend.state = "draining"
    await place.backend.report()
    place.backend.start_time_ms = 200
    place.backend.state = "ready"
    assert place.node.backend.instance == place.backend.instance


async def test_malformed_or_foreign_report_is_refused(mesh: Mesh):
    """Reports of other writers name no backend server, and the one in use stays."""
    place = mesh.places[1]
    for body in (b"rubbish", b"{}", b'{"service": 3}'):
        assert await place.backend.call_control("PUT", body) == 400
    place.backend.service = "other"
    await place.backend.report()
    assert place.node.backend.instance == place.backend.instance


async def test_acknowledged_drain_survives_a_node_restart(mesh: Mesh):
    """A backend server got requests long after it had been told that it would get
    none: the node had acknowledged its leaving, was killed, and started again with
    a report that was on its way before.
    """
    place = mesh.places[1]
    place.backend_task.cancel()
    assert await place.backend.leave() == 200
    await place.kill_node()
    place.start_node_again(first_start=False)
    await wait_until(lambda: place.node.ready)
    await place.backend.report()
    assert place.node.backend.instance == ""


async def test_peers_record_a_drain_while_the_store_is_down(mesh: Mesh):
    """The store is down when a backend server leaves: it is acknowledged all the
    same, and holds after the node was killed, since other nodes remember it.
    """
    place = mesh.places[1]
    place.backend_task.cancel()
    mesh.store.faults.down = 503
    assert await place.backend.leave() == 200
    await place.kill_node()
    place.start_node_again(first_start=False)
    mesh.store.faults.down = 0
    mesh.store._partitions.pop(("keyed.primroseglade-drains", 0), None)
    await wait_until(lambda: len(list(place.node.fleet)) == 2)
    await wait_until(lambda: len(place.node.fleet.list_connected()) == 2)
    await place.backend.report()
    assert place.node.backend.instance == ""


async def test_revoked_key_is_refused(mesh: Mesh):
    """The operator takes a key away; no node uses it a moment later."""
    configuration = build_configuration(2, *PATHS)
    configuration["tenants"][0]["api_keys"] = ["key-2"]
    mesh.store.publish(configuration)
    await wait_until(lambda: all(p.node.policies.version == 2 for p in mesh.places))
    for place in mesh.places:
        assert (await ask(place, "/deep/a", key="key-1")).status == 401
        assert (await ask(place, "/deep/a", key="key-2")).status == 200


async def test_keys_are_refused_once_the_configuration_is_stale():
    """A withdrawn key went on working at nodes that could not reach the store. A node
    that does not know whether a key still holds refuses it as not run.
    """
    mesh = Mesh()
    for service in ("front", "deep"):
        mesh.add(service, revoke=1.5)
    routes = PATHS
    mesh.store.publish(build_configuration(1, *routes))
    async with run_mesh(mesh):
        assert (await ask(mesh.places[0], "/deep/a")).status == 200
        mesh.store.faults.silent = True
        await asyncio.sleep(2.0)
        assert (await ask(mesh.places[0], "/deep/a")).status == 503
        assert (await ask(mesh.places[0], "/inner/a", key=None)).status == 200
        mesh.store.faults.silent = False
        await wait_until(lambda: mesh.places[0].node.policies.fresh, 8.0)
        assert (await ask(mesh.places[0], "/deep/a")).status == 200


async def test_new_version_is_read_after_log_truncation(mesh: Mesh):
    """A configuration was not in force anywhere: the store had deleted the records
    between the position of the nodes and the newest.
    """
    mesh.store.publish(build_configuration(2, *PATHS))
    mesh.store.publish(build_configuration(3, *PATHS))
    mesh.store.forget_history()
    await wait_until(lambda: all(p.node.policies.version == 3 for p in mesh.places))
    mesh.store.publish(build_configuration(4, *PATHS))
    await wait_until(lambda: all(p.node.policies.version == 4 for p in mesh.places))


async def test_older_version_does_not_replace_a_newer_one(mesh: Mesh):
    """A version is in force until a newer one is, whatever the store hands out."""
    mesh.store.publish(build_configuration(5, *PATHS))
    await wait_until(lambda: mesh.places[0].node.policies.version == 5)
    mesh.store.publish(build_configuration(4, *PATHS))
    await asyncio.sleep(0.4)
    assert mesh.places[0].node.policies.version == 5


async def test_graceful_shutdown_fails_no_call(mesh: Mesh):
    """During a planned stop of a node callers are served: what runs ends whole, and
    what comes still goes to the other backend server.
    """
    stopping = mesh.places[1]
    for place in mesh.places[1:]:
        place.backend.work = 0.5
    running = [
        asyncio.create_task(ask(mesh.places[0], "/deep/a", f"r{number}"))
        for number in range(12)
    ]
    await asyncio.sleep(0.2)
    stopping.stopping.set()
    await asyncio.sleep(0.1)
    late = [
        asyncio.create_task(ask(mesh.places[0], "/deep/a", f"l{number}"))
        for number in range(12)
    ]
    local_call = asyncio.create_task(ask(stopping, "/deep/a", "at"))
    answers = await asyncio.gather(*running, *late, local_call)
    assert [answer.status for answer in answers] == [200] * 25
    assert not any(request.startswith("l") for request in stopping.backend.ran)


async def test_idempotent_calls_on_a_killed_node_are_retried(mesh: Mesh):
    """A node dies; calls that may run twice are answered by another."""
    for place in mesh.places[1:]:
        place.backend.work = 0.4
    running = [
        asyncio.create_task(ask(mesh.places[0], "/deep/a", f"r{number}"))
        for number in range(8)
    ]
    await asyncio.sleep(0.15)
    await mesh.places[1].kill_node()
    answers = await asyncio.gather(*running)
    assert [answer.status for answer in answers] == [200] * 8
    mesh.places[1].start_node_again(first_start=False)
    await mesh.wait_usable()
    assert (await ask(mesh.places[1], "/deep/a")).status == 200


async def test_node_without_the_store_gets_versions_from_peers(mesh: Mesh):
    """One node is cut off from the store alone: it hears of news from the others."""
    isolated = mesh.places[2]

    async def fail(*arguments: object) -> None:
        raise OSError("cut")

    isolated.node._store._pool._dial = fail
    isolated.node._store._pool.close_idle()
    mesh.store.publish(build_configuration(7, *PATHS))
    await wait_until(lambda: isolated.node.policies.version == 7)
    assert isolated.node.policies.fresh


async def test_new_version_costs_few_store_calls(mesh: Mesh):
    """Every node waited in the store for news, and each version cost as many calls as
    there were nodes; calls are priced. One waits, and tells the others at once.
    """
    await asyncio.sleep(1.5)
    calls_before = mesh.store.calls
    mesh.store.publish(build_configuration(2, *PATHS))
    await asyncio.sleep(0.4)
    assert [place.node.policies.version for place in mesh.places] == [2, 2, 2]
    # The reader's call ends and is made again; besides, it asks every 0.6 s.
    assert mesh.store.calls - calls_before <= 4


async def test_version_propagates_after_the_reader_was_killed(mesh: Mesh):
    """The one node that waits in the store is killed; the next version is in force at
    the others within the two seconds that users allow.
    """
    await asyncio.sleep(1.0)
    reader = min(mesh.places, key=lambda place: place.settings.name)
    await reader.kill_node()
    mesh.store.publish(build_configuration(2, *PATHS))
    await asyncio.sleep(1.9)
    others = [place for place in mesh.places if place is not reader]
    assert [place.node.policies.version for place in others] == [2, 2]


async def test_stopping_node_refuses_calls_it_may_not_finish(mesh: Mesh):
    """A node was told to stop and callers still came, as few other nodes of their zone
    were ready. A request that came in the second half of its time waited at a busy
    backend server, was at work when the node ended, and its caller got 502 after two
    seconds. It is refused as not run when it comes; what must end in time is served.
    """
    stopping = mesh.places[0]
    for place in mesh.places[1:]:
        place.backend.work = 0.3
    stopping.stopping.set()
    # Grace is 2 s here, of which some is kept for the end.
    await asyncio.sleep(0.95)
    loop = asyncio.get_running_loop()
    short_call = asyncio.create_task(ask(stopping, "/deep/a", "kept", remaining_ms=150))
    started = loop.time()
    answer = await ask(stopping, "/deep/a", "late", remaining_ms=2000)
    assert answer.status == 503
    assert loop.time() - started < 0.1
    assert not any("late" in place.backend.ran for place in mesh.places)
    assert (await short_call).status != 503


async def test_drains_of_other_backend_servers_do_not_mask_this_one(mesh: Mesh):
    """A backend server that was told as leaving, and acknowledged, got requests for two
    seconds more and on. Its node had heard from a peer of younger backend servers
    elsewhere that had left, took all reports of an older one for those of an earlier
    life, and acknowledged the leave without heeding it.
    """
    place = mesh.places[1]
    place.node.apply_drains({"i-elsewhere": place.backend.start_time_ms + 1000})
    place.backend.state = "draining"
    assert await place.backend.report() == 200
    assert place.node.backend.instance == ""


async def test_drain_overtaken_by_a_later_report_is_applied(mesh: Mesh):
    """The report of the leave was overtaken by one that was sent after it. It is
    acknowledged, so that it binds.
    """
    place = mesh.places[1]
    place.backend.state = "draining"
    place.backend._sequence = 0
    assert await place.backend.report() == 200
    assert place.node.backend.instance == ""


async def test_calls_soon_go_elsewhere_when_a_zone_falls_silent(mesh: Mesh):
    """A zone was cut off, and packets to it vanished. For two seconds half of all calls
    were sent there and waited until their time was up, though another zone served them.
    """
    silent_server = mesh.places[1].node._peer_server
    paused_streams = [(stream, stream._transport) for stream in silent_server._streams]
    for stream, transport in paused_streams:
        transport.pause_reading()
        stream._transport = None
    clock = asyncio.get_running_loop().time
    paused_at = clock()
    durations: dict[float, float] = {}

    async def call(number: int) -> None:
        started = clock()
        answer = await ask(mesh.places[0], "/deep/a", f"cut-{number}")
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
    """A backend server crashed, and the node beside it went on telling the others that
    it takes calls. A third of all look-ups went there first, and admission reckoned
    with its slots: callers were let in whom the two others could not serve.
    """
    crashed = mesh.places[1]
    assert crashed.backend_task is not None
    crashed.backend_task.cancel()
    await asyncio.wait({crashed.backend_task})
    peer_view = mesh.places[0].node.fleet.get(crashed.settings.name)
    assert peer_view is not None
    async with asyncio.timeout(5.0):
        number = 0
        while peer_view.state.instance:
            assert (await ask(mesh.places[0], "/deep/a", f"r{number}")).status == 200
            number += 1
    crashed.backend_task = asyncio.create_task(crashed.backend.run())
    async with asyncio.timeout(5.0):
        while not peer_view.state.instance:
            await asyncio.sleep(0.02)


async def test_call_delayed_past_its_deadline_does_not_run(
    mesh: Mesh, monkeypatch: pytest.MonkeyPatch
):
    """Backend servers worked for callers that had left: calls had waited between two
    nodes for longer than their callers did, and came with all of their time.
    """
    for number in range(4):
        assert (await ask(mesh.places[0], "/deep/a", f"n{number}")).status == 200
    monkeypatch.setattr(peer, "read_age_clock", lambda: read_age_clock() - 5.0)
    answer = await ask(mesh.places[0], "/once/a", "held-up", method="POST")
    assert answer.status == 503
    assert not any("held-up" in place.backend.ran for place in mesh.places)


async def test_delayed_first_call_on_a_stream_does_not_run(
    mesh: Mesh, monkeypatch: pytest.MonkeyPatch
):
    """A backend server worked for a caller that had left: the call was the first from
    its node to the other, and there was no earlier call to tell the wait by.
    """
    monkeypatch.setattr(peer, "read_age_clock", lambda: read_age_clock() - 5.0)
    for number in range(8):
        answer = await ask(mesh.places[0], "/once/a", f"first-{number}", method="POST")
        assert answer.status == 503
    assert not any(place.backend.ran for place in mesh.places)
