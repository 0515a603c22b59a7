"""Requests under which backend servers end, and others that run beside them."""

import asyncio
from collections.abc import Sequence

import pytest

from primroseglade.errors import RefusedError
from primroseglade.operator_client import OperatorClient
from primroseglade.sidecar.client_connection import ExchangeError, Response

from .mesh import (
    build_configuration,
    build_path,
    get_header,
    Mesh,
    MeshInstance,
    run_mesh,
    send_request,
)

# The rule of the service: a request under which this many have ended goes to no more.
MAX_ENDED_SERVERS = 3
FATAL_TARGET = b"fatal"
PATHS = (
    build_path("front", "front", max_attempts=3),
    build_path("deep", "deep", max_attempts=3),
    build_path("once", "deep", kind="unsafe", max_attempts=3),
    build_path("inner", "deep", public=True, max_attempts=3),
)


def build_mesh(deep_count: int = 4) -> Mesh:
    """Return a mesh of two nodes of ``front`` and some of ``deep``, which can end."""
    mesh = Mesh()
    for service in ("front", "front", *["deep"] * deep_count):
        mesh.add(service)
    for instance in list_deep(mesh):
        instance.backend.fatal_target = FATAL_TARGET
    mesh.store.publish(build_configuration(1, *PATHS))
    return mesh


def list_deep(mesh: Mesh) -> list[MeshInstance]:
    """Return the instances of the service ``deep``."""
    return [i for i in mesh.instances if i.settings.service == "deep"]


def count_ends(mesh: Mesh) -> int:
    """Return how many processes of backend servers have ended."""
    return sum(instance.backend.ends for instance in mesh.instances)


async def attempt(
    mesh: Mesh, count: int, path: str = "/deep/fatal", method: str = "GET"
) -> list[Response]:
    """Send the same request to the nodes of ``front`` in turn, with a new ID each."""
    answers = []
    for number in range(count):
        entry = mesh.instances[number % 2]
        answers.append(
            await send_request(entry, path, f"f{number}", method=method, body=b"b")
        )
        await asyncio.sleep(0.3)
    return answers


def list_suspects(mesh: Mesh) -> set[int]:
    """Return the requests that any node suspects."""
    nodes = [instance.node for instance in mesh.instances]
    return {r for node in nodes for r in node.suspects.tracker.requests.list_suspects()}


async def count_served(mesh: Mesh, count: int = 60) -> int:
    """Return how many requests of others are served."""
    answers = await asyncio.gather(
        *(
            send_request(mesh.instances[number % 2], f"/deep/{number}", f"o{number}")
            for number in range(count)
        ),
        return_exceptions=True,
    )
    return sum(isinstance(a, Response) and a.status == 200 for a in answers)


def check_last_refused(answers: Sequence[Response]) -> None:
    """Check that the last answer says "not run", and invites nobody for a while."""
    assert answers[-1].status == 503
    assert float(get_header(answers[-1], "Retry-After")) > 60


async def test_idempotent_request_ends_no_more_than_three_servers():
    """Guards against retries, of nodes and of clients, that end one backend server
    after the other: each attempt of a client has an ID of its own.
    """
    async with run_mesh(build_mesh()) as mesh:
        answers = await attempt(mesh, 8)
        assert count_ends(mesh) <= MAX_ENDED_SERVERS
        check_last_refused(answers)
        assert await count_served(mesh) == 60


async def test_request_does_not_end_a_whole_service():
    """Guards against a service that is gone: its backend servers do not come back."""
    mesh = build_mesh(8)
    for instance in list_deep(mesh):
        instance.backend.restart_seconds = None
    async with run_mesh(mesh):
        answers = await attempt(mesh, 8)
        assert count_ends(mesh) <= MAX_ENDED_SERVERS
        check_last_refused(answers)
        assert await count_served(mesh) == 60


async def test_request_that_runs_once_ends_no_more_than_three_servers():
    """Guards against clients that send a request again that must not run twice."""
    async with run_mesh(build_mesh()) as mesh:
        answers = await attempt(mesh, 8, "/once/fatal", "POST")
        assert count_ends(mesh) <= MAX_ENDED_SERVERS
        check_last_refused(answers)
        assert await count_served(mesh) == 60


async def test_nested_call_ends_no_more_than_three_servers():
    """Guards against attempts that multiply over hops: a call that a backend server
    makes for a request ends others, and the request is retried.
    """
    mesh = build_mesh()
    for instance in mesh.instances[:2]:

        async def look_up(request, request_id: str, instance=instance) -> int:
            if FATAL_TARGET not in request.target:
                return 200
            answer = await send_request(
                instance, "/inner/fatal", f"{request_id}.1", key=None
            )
            return 200 if answer.status == 200 else 500

        instance.backend.make_calls = look_up
    async with run_mesh(mesh):
        await attempt(mesh, 5, "/front/fatal")
        assert count_ends(mesh) <= MAX_ENDED_SERVERS
        # The servers that made the calls are not to blame for their failures.
        for instance in mesh.instances[:2]:
            assert instance.node.backend.failure_ratio == 0
        assert await count_served(mesh) == 60


async def test_callers_who_come_later_end_no_further_servers():
    """Guards against callers of several nodes with the same request: six send it
    before anybody knows, twelve two seconds later.
    """
    async with run_mesh(build_mesh(8)) as mesh:

        async def send_all(count: int, prefix: str) -> None:
            calls = [
                send_request(mesh.instances[n % 2], "/deep/fatal", f"{prefix}{n}")
                for n in range(count)
            ]
            for result in await asyncio.gather(*calls, return_exceptions=True):
                assert isinstance(result, Response | ExchangeError)

        await send_all(6, "a")
        await asyncio.sleep(2.0)
        await send_all(12, "b")
        # One that each of the six ended, and one trial: that many ends at once may have
        # another cause.
        assert count_ends(mesh) <= 6 + 1


async def test_failure_of_a_third_of_a_service_blocks_no_popular_request():
    """Guards against blaming a request that all send for servers that end for other
    reasons: a third of them, twice.
    """
    mesh = build_mesh(9)
    for instance in list_deep(mesh):
        instance.backend.processing_seconds = 0.03
    async with run_mesh(mesh):
        statuses: list[int] = []

        async def send_popular(number: int) -> None:
            for attempt_number in range(25):
                answer = await send_request(
                    mesh.instances[number % 2],
                    "/deep/popular",
                    f"p{number}-{attempt_number}",
                )
                statuses.append(answer.status)

        callers = [asyncio.create_task(send_popular(n)) for n in range(40)]
        for _ in range(2):
            await asyncio.sleep(0.3)
            for instance in list_deep(mesh)[:3]:
                instance.backend.end()
            await asyncio.sleep(0.6)
        await asyncio.gather(*callers)
        assert count_ends(mesh) == 6
        assert statuses.count(200) == len(statuses) == 1000
        assert await count_served(mesh) == 60


async def test_reset_connections_make_no_request_suspect():
    """Guards against blaming a request for a connection that was lost: the process
    runs on, and so do those that are paused or answer nothing.
    """
    mesh = build_mesh(2)
    for instance in list_deep(mesh):
        instance.backend.processing_seconds = 0.05
    async with run_mesh(mesh):
        for number in range(4):
            calls = [
                asyncio.create_task(
                    send_request(mesh.instances[0], "/once/a", f"c{number}-{n}")
                )
                for n in range(4)
            ]
            await asyncio.sleep(0.03)
            for instance in list_deep(mesh):
                instance.backend.reset_connections()
            await asyncio.gather(*calls)
        await asyncio.sleep(0.5)
        assert list_suspects(mesh) == set()
        assert await count_served(mesh) == 60


async def test_planned_end_makes_no_request_suspect():
    """Guards against blaming what a drained backend server still runs when it ends."""
    mesh = build_mesh(2)
    async with run_mesh(mesh):
        leaving = list_deep(mesh)[0]
        leaving.backend.processing_seconds = 1.0
        calls = [
            asyncio.create_task(send_request(leaving, "/deep/a", f"c{n}"))
            for n in range(6)
        ]
        await asyncio.sleep(0.1)
        leaving.backend.state = "draining"
        await leaving.backend.report_status()
        leaving.backend.end()
        await asyncio.gather(*calls)
        assert list_suspects(mesh) == set()


async def test_restarted_nodes_still_refuse_a_blocked_request():
    """Guards against a restart that forgets a block, at the entry and beside the
    backend servers.
    """
    async with run_mesh(build_mesh()) as mesh:
        await attempt(mesh, 2)
        for instance in mesh.instances:
            await instance.kill_node()
            instance.restart_node(first_start=False)
            await mesh.wait_until_connected()
        answers = await attempt(mesh, 4)
        assert count_ends(mesh) <= MAX_ENDED_SERVERS
        check_last_refused(answers)


async def test_operator_releases_a_request_at_all_nodes():
    """Guards against a block that outlasts the mended service."""
    async with run_mesh(build_mesh()) as mesh:
        await attempt(mesh, 3)
        for instance in list_deep(mesh):
            instance.backend.fatal_target = b""
        entry, other = mesh.instances[:2]
        async with OperatorClient(entry.settings.metrics) as client:
            (suspect,) = await client.get("/suspects")
            assert (suspect["standing"], suspect["ended_servers"]) == ("blocked", 3)
            await client.post(f"/suspects/{suspect['request']}/release")
            with pytest.raises(RefusedError):
                await client.post("/suspects/12/release")
        await asyncio.sleep(0.1)
        assert (await send_request(other, "/deep/fatal", "again")).status == 200


async def test_workspace_cannot_block_the_requests_of_another():
    """Guards against callers who end servers to have others' requests refused."""
    mesh = build_mesh()
    configuration = build_configuration(2, *PATHS)
    configuration["tenants"].append(
        configuration["tenants"][0] | {"name": "south", "api_keys": ["key-3"]}
    )
    mesh.store.publish(configuration)
    async with run_mesh(mesh):
        await attempt(mesh, 3)
        for instance in list_deep(mesh):
            instance.backend.fatal_target = b""
        entry = mesh.instances[0]
        assert (await attempt(mesh, 1))[0].status == 503
        answer = await send_request(entry, "/deep/fatal", "s", key="key-3", body=b"b")
        assert answer.status == 200
