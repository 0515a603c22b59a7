"""Calls to backend servers that are cold, or were not seen to turn cold."""

import asyncio
import time

import pytest

from primroseglade.sidecar.warm_up import WARM_UP_MARGIN_SECONDS

from .mesh import (
    build_configuration,
    build_path,
    get_header,
    Mesh,
    MeshInstance,
    run_mesh,
    send_request,
)

COLD_CALLS_PER_SECOND = 4.0
OVERSHOOT = 1.5
SLACK = 8
# The rule: in any second at most this many calls reach a cold backend server.
MAX_COLD_STARTS = int(COLD_CALLS_PER_SECOND * OVERSHOOT + SLACK)

PATHS = (
    build_path("deep", "deep"),
    build_path("once", "deep", kind="unsafe"),
    build_path("inner", "deep", public=True),
)


def publish(mesh: Mesh, version: int = 1, **service: object) -> None:
    """Publish a configuration that limits calls to cold backend servers."""
    fields = {
        "name": "deep",
        "health_path": "/health",
        "cold_start": "1s",
        "cold_per_s": COLD_CALLS_PER_SECOND,
    }
    configuration = build_configuration(version, *PATHS, services=[fields | service])
    mesh.store.publish(configuration)


def build_mesh(backend_count: int = 2) -> Mesh:
    """Return a mesh of one caller's node and some nodes of the service ``deep``."""
    mesh = Mesh()
    mesh.add("front", cold_overshoot=OVERSHOOT)
    for _ in range(backend_count):
        mesh.add("deep", cold_overshoot=OVERSHOOT)
    publish(mesh)
    return mesh


def start_again(instance: MeshInstance, cold_seconds: float) -> None:
    """Restart a backend server under the same id, at once and without a report."""
    instance.backend.cold_until = time.monotonic() + cold_seconds
    instance.backend.start_time_ms += 1000


def count_busiest_second(times: list[float], since: float, until: float) -> int:
    """Return the most calls that began in any second of a span."""
    times = [at for at in times if since <= at < until]
    return max(
        (sum(at <= other < at + 1.0 for other in times) for at in times), default=0
    )


async def send_calls(instance: MeshInstance, count: int, seconds: float) -> list[int]:
    """Send calls evenly over some seconds; return the statuses of the answers."""
    tasks = []
    for number in range(count):
        tasks.append(
            asyncio.create_task(send_request(instance, "/deep/a", f"c{number}"))
        )
        await asyncio.sleep(seconds / count)
    return [answer.status for answer in await asyncio.gather(*tasks)]


async def test_no_burst_reaches_a_cold_backend_server():
    """Guards against a node that pours what is queued into a backend server that has
    just started: it falls over, comes back cold, and falls over again.
    """
    mesh = build_mesh(1)
    async with run_mesh(mesh):
        cold = mesh.instances[1]
        started = time.monotonic()
        start_again(cold, 1.5)
        assert await cold.backend.report_status() == 200
        statuses = await send_calls(mesh.instances[0], 150, 1.2)
        busiest = count_busiest_second(cold.backend.executed_at, started, started + 1.4)
        assert 1 <= busiest <= MAX_COLD_STARTS
        # Refused as not run, which callers may repeat.
        assert set(statuses) == {200, 503}
        await asyncio.sleep(0.5)
        assert set(await send_calls(mesh.instances[0], 40, 0.2)) == {200}


async def test_warm_backend_servers_take_the_calls_of_a_cold_one():
    """Guards against refusals while another backend server could serve the calls."""
    mesh = build_mesh(2)
    async with run_mesh(mesh):
        cold, warm = mesh.instances[1:]
        started = time.monotonic()
        start_again(cold, 1.5)
        assert await cold.backend.report_status() == 200
        statuses = await send_calls(mesh.instances[0], 150, 1.0)
        assert set(statuses) == {200}
        assert len(warm.backend.executed_at) >= 130
        busiest = count_busiest_second(cold.backend.executed_at, started, started + 1.4)
        assert busiest <= MAX_COLD_STARTS


async def test_restart_of_the_node_does_not_start_a_second_burst():
    """Guards against a restarted node that knows nothing of the calls that its former
    process started at a cold backend server.
    """
    mesh = build_mesh(1)
    async with run_mesh(mesh):
        cold = mesh.instances[1]
        started = time.monotonic()
        start_again(cold, 4.0)
        assert await cold.backend.report_status() == 200
        await send_calls(mesh.instances[0], 60, 0.3)
        await cold.kill_node()
        cold.restart_node(first_start=False)
        async with asyncio.timeout(5.0):
            while await cold.backend.report_status() != 200:
                await asyncio.sleep(0.01)
        await mesh.wait_until_connected()
        await send_calls(mesh.instances[0], 60, 0.3)
        busiest = count_busiest_second(cold.backend.executed_at, started, started + 3.9)
        assert 1 <= busiest <= MAX_COLD_STARTS


async def test_late_report_does_not_hide_a_restart():
    """Guards against a report that a backend server sent before its crash. It arrives
    after it is up again under the same id, and says that it is warm.
    """
    mesh = build_mesh(1)
    async with run_mesh(mesh):
        restarted = mesh.instances[1]
        assert set(await send_calls(mesh.instances[0], 10, 0.1)) == {200}
        restarted.backend_task.cancel()
        restarted.backend._server.abort()
        await asyncio.wait({restarted.backend_task})
        async with asyncio.timeout(5.0):
            while restarted.node.backend.instance:
                await send_request(mesh.instances[0], "/deep/a", "while-down")
        server = asyncio.create_task(restarted.backend._server.run())
        await asyncio.sleep(0.05)
        started = time.monotonic()
        restarted.backend.cold_until = time.monotonic() + 1.0
        # The late report: the former start time, and no cold time.
        assert await restarted.backend.report_status(cold_ms=0) == 200
        await send_calls(mesh.instances[0], 150, 1.0)
        busiest = count_busiest_second(
            restarted.backend.executed_at, started, started + 0.95
        )
        assert busiest <= MAX_COLD_STARTS
        assert restarted.backend.health_checks >= 1
        server.cancel()


async def test_late_report_renews_the_assumption_that_a_server_is_cold():
    """Guards against a burst at a cold backend server whose end was noticed a moment
    before the late report: what was assumed then ends before the server has warmed up.
    """
    mesh = build_mesh(1)
    async with run_mesh(mesh):
        restarted = mesh.instances[1]
        backend, node = restarted.backend, restarted.node
        assert set(await send_calls(mesh.instances[0], 10, 0.1)) == {200}
        restarted.backend_task.cancel()
        node.backend.cold.assume()
        node.backend.mark_unavailable()
        remaining = node.backend.warm_up.remaining_seconds
        await asyncio.sleep(remaining - 0.2)
        assert await backend.report_status(cold_ms=0) == 200
        assert node.backend.warm_up.remaining_seconds > 0.5


async def test_cold_time_of_an_ended_process_is_not_that_of_the_next():
    """Guards against a burst at a backend server that has ended while it was cold, and
    is known to be cold only for as long as its former process was.
    """
    mesh = build_mesh(1)
    async with run_mesh(mesh):
        restarted = mesh.instances[1]
        backend, node = restarted.backend, restarted.node
        restarted.backend_task.cancel()
        node.backend.warm_up.record_cold_time(0.2)
        node.backend.mark_unavailable()
        assert await backend.report_status(cold_ms=0) == 200
        assert node.backend.warm_up.remaining_seconds > 0.5


async def test_backend_server_that_is_only_assumed_cold_is_used_at_once():
    """Guards against a second of few calls at a warm backend server: its health check
    says that it is warm.
    """
    mesh = build_mesh(1)
    async with run_mesh(mesh):
        instance = mesh.instances[1]
        instance.node.backend.cold.assume()
        await asyncio.sleep(0.1)
        assert instance.node.backend.warm_up.remaining_seconds == 0
        assert set(await send_calls(mesh.instances[0], 60, 0.3)) == {200}


async def test_refusal_for_cold_names_a_time_after_the_warm_up():
    """A caller that can wait is told to come back when the backend server is warm."""
    mesh = build_mesh(1)
    async with run_mesh(mesh):
        cold = mesh.instances[1]
        start_again(cold, 1.0)
        assert await cold.backend.report_status() == 200
        await asyncio.sleep(0.3)
        requests = [
            send_request(
                mesh.instances[0], "/once/a", f"o{n}", method="POST", remaining_ms=4000
            )
            for n in range(120)
        ]
        answers = await asyncio.gather(*requests)
        refused = [answer for answer in answers if answer.status == 503]
        assert refused
        assert all(b"cold" in answer.body for answer in refused)
        times = [float(get_header(answer, "Retry-After")) for answer in refused]
        assert min(times) >= 0.5
        assert max(times) < 4.0 / 3


@pytest.mark.parametrize(
    "fields",
    [
        {"cold_per_s": 0},
        {"cold_per_s": -3},
        {"cold_per_s": "fast"},
        {"cold_start": "-1s"},
        {"cold_start": "9000s"},
    ],
)
async def test_invalid_limits_leave_the_last_valid_ones_in_force(fields):
    """Guards against a typing error that stops calls or lifts the limit."""
    mesh = build_mesh(1)
    async with run_mesh(mesh):
        publish(mesh, 2, **fields)
        async with asyncio.timeout(5.0):
            while any(i.node.policies.version != 2 for i in mesh.instances):
                await asyncio.sleep(0.02)
        cold = mesh.instances[1]
        limits = cold.node.policies.get_warm_up_limits("deep")
        assert limits.calls_per_second == COLD_CALLS_PER_SECOND
        assert limits.max_seconds == 1.0
        assert set(await send_calls(mesh.instances[0], 20, 0.2)) == {200}


async def test_huge_cold_time_in_a_report_is_bounded():
    """Guards against a backend server that gets hardly a call for hours because of one
    wrong report.
    """
    mesh = build_mesh(1)
    async with run_mesh(mesh):
        instance = mesh.instances[1]
        start_again(instance, 86_400.0)
        assert await instance.backend.report_status() == 200
        remaining = instance.node.backend.warm_up.remaining_seconds
        assert remaining <= 1.0 + WARM_UP_MARGIN_SECONDS


async def test_no_calls_before_the_node_has_a_configuration():
    """Guards against a burst at a cold backend server whose node was just started: it
    does not know yet how many calls are tolerated, and other nodes send theirs.
    """
    mesh = build_mesh(1)
    async with run_mesh(mesh):
        cold = mesh.instances[1]
        start_again(cold, 3.0)
        started = time.monotonic()
        await cold.kill_node()
        cold.restart_node(first_start=False)
        cold.node.policies._fetch_policy = lambda peer: asyncio.sleep(0)
        mesh.store.faults.delay_seconds = 0.8
        async with asyncio.timeout(5.0):
            while await cold.backend.report_status() != 200:
                await asyncio.sleep(0.01)
        await send_calls(mesh.instances[0], 100, 1.2)
        busiest = count_busiest_second(cold.backend.executed_at, started, started + 2.9)
        assert busiest <= MAX_COLD_STARTS
