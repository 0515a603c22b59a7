"""Requests that arrive, and answers that are still read, while a node shuts down."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from primroseglade.sidecar import node as node_module
from primroseglade.sidecar.client_connection import ExchangeError
from primroseglade.sidecar.frames import CallAnswer
from primroseglade.sidecar.http_messages import Reply, Request

from .mesh import (
    build_call_frames,
    build_configuration,
    build_request,
    Mesh,
    MeshInstance,
    PATHS,
    run_mesh,
    send_request,
    SlowReader,
)


async def send_until_stopped(instance: MeshInstance, prefix: str) -> set[str]:
    """Send a request every 20 ms for a second; return the IDs of those answered."""
    answered = set()

    async def send(request_id: str) -> None:
        try:
            answer = await send_request(instance, "/deep/a", request_id)
        except ExchangeError:
            return
        if answer.status == 200:
            answered.add(request_id)

    async with asyncio.TaskGroup() as group:
        for number in range(50):
            group.create_task(send(f"{prefix}-{number}"))
            await asyncio.sleep(0.02)
    return answered


async def test_requests_at_the_end_of_a_shutdown_are_answered(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against cutting off a request that arrives while the last connections are
    being closed: it has been passed on, and its caller gets 502.
    """
    monkeypatch.setattr(node_module, "MIN_LAME_DUCK_SECONDS", 0.2)
    answered: set[str] = set()
    executed: set[str] = set()
    for run in range(5):
        mesh = Mesh()
        mesh.add("front", grace=6.0)
        for _ in range(2):
            mesh.add("deep").backend.processing_seconds = 0.01
        mesh.store.publish(build_configuration(1, *PATHS))
        async with run_mesh(mesh):
            stopping = mesh.instances[0]
            stopping.stopping.set()
            answered |= await send_until_stopped(stopping, f"s{run}")
        for instance in mesh.instances:
            executed.update(instance.backend.executed_request_ids)
    assert executed
    assert executed <= answered


GRACE_SECONDS = 4.0
LAME_DUCK_SECONDS = 0.2
# More than the kernel buffers of both ends hold.
ANSWER_BYTES = 8_000_000


@pytest.fixture
async def stopping(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[MeshInstance]:
    """Yield an instance whose backend server sends large answers."""
    monkeypatch.setattr(node_module, "MIN_LAME_DUCK_SECONDS", LAME_DUCK_SECONDS)
    mesh = Mesh()
    instance = mesh.add("front", grace=GRACE_SECONDS)
    mesh.add("deep")
    mesh.store.publish(build_configuration(1, *PATHS))

    def answer(request: Request, headers: dict[str, str]) -> Reply:
        return instance.backend.build_response(
            headers["x-primroseglade-request-id"], b"x" * ANSWER_BYTES
        )

    instance.backend.answer = answer
    async with run_mesh(mesh):
        yield instance


async def stop(instance: MeshInstance) -> None:
    """Tell a node to stop, and wait for longer than one without work needs."""
    await asyncio.sleep(0.3)
    instance.stopping.set()
    await asyncio.sleep(LAME_DUCK_SECONDS + 0.5)


@pytest.mark.parametrize(
    "requests",
    [
        [build_request("r1")],
        [build_request("r1", "Connection: close\r\n")],
        [build_request("r1"), build_request("r2")],
    ],
    ids=["kept", "closing", "pipelined"],
)
async def test_stopping_node_waits_for_callers_who_read_slowly(
    stopping: MeshInstance, requests: list[bytes]
):
    """Guards against answers that are cut off, with time left, as callers still read
    them: the process ended with them in its buffers.
    """
    reader = SlowReader(stopping.settings.outbound)
    await reader.send(b"".join(requests))
    await stop(stopping)
    assert stopping.task is not None
    assert not stopping.task.done()
    data = b"".join([part async for part in reader.read()])
    assert data.count(b"x" * ANSWER_BYTES) == len(requests)
    await asyncio.wait_for(stopping.task, 0.5)


async def test_caller_who_never_reads_holds_a_node_no_longer_than_grace(
    stopping: MeshInstance,
):
    """Guards against a node that waits for such a caller until it is killed."""
    reader = SlowReader(stopping.settings.outbound)
    await reader.send(build_request("r1"))
    await stop(stopping)
    assert stopping.task is not None
    await asyncio.wait_for(stopping.task, GRACE_SECONDS - LAME_DUCK_SECONDS - 0.5)
    reader.close()


async def test_idle_connections_do_not_hold_a_stopping_node(stopping: MeshInstance):
    """Guards against a stop that takes longer since a connection is open whose answers
    have all been read.
    """
    reader = SlowReader(stopping.settings.outbound)
    await reader.send(build_request("r1"))
    received = 0
    async for data in reader.read():
        received += len(data)
        if received > ANSWER_BYTES:
            break
    stopping.stopping.set()
    assert stopping.task is not None
    await asyncio.wait_for(stopping.task, GRACE_SECONDS / 2)
    reader.close()


async def test_stopping_node_waits_for_nodes_that_read_slowly(stopping: MeshInstance):
    """Guards against answers to calls of another node that are cut off as it has not
    read them yet.
    """
    reader = SlowReader(stopping.settings.peers)
    await reader.send(build_call_frames(stopping, 1))
    await stop(stopping)
    assert stopping.task is not None
    assert not stopping.task.done()
    answers = [frame async for frame in reader.read_frames()]
    (answer,) = [frame for frame in answers if isinstance(frame, CallAnswer)]
    assert len(answer.body) == ANSWER_BYTES
    await asyncio.wait_for(stopping.task, 0.5)
