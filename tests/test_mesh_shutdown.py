"""Requests that arrive while a node shuts down."""

import asyncio

import pytest

from primroseglade.sidecar import node as node_module
from primroseglade.sidecar.client_connection import ExchangeError

from .mesh import (
    build_configuration,
    Mesh,
    MeshInstance,
    PATHS,
    run_mesh,
    send_request,
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
