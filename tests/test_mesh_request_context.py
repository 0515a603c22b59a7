"""What calls that backend servers make carry of the request that they belong to."""

import asyncio

import pytest

from primroseglade.sidecar.frames import Call
from primroseglade.sidecar.model import LOWEST_PRIORITY

from .mesh import Mesh, send_request


async def test_a_nested_call_carries_the_urgency_of_the_request(
    mesh: Mesh, monkeypatch: pytest.MonkeyPatch
):
    """Guards against look-ups that wait as if they belonged to no request. The backend
    server of ``front`` runs a request of workspace north (priority 1, route's priority
    1) and makes a call for it, which another node runs.
    """
    front = mesh.instances[0]
    front.backend.processing_seconds = 0.3
    received: list[Call] = []
    for instance in mesh.instances[1:]:
        dispatcher = instance.node.dispatcher
        serve = dispatcher.serve

        async def record(message: Call, serve=serve):
            received.append(message)
            return await serve(message)

        monkeypatch.setattr(dispatcher, "serve", record)
    request = asyncio.create_task(send_request(front, "/front/a", request_id="r1"))
    await asyncio.sleep(0.1)
    nested = await send_request(front, "/inner/a", request_id="r1.7", key=None)
    unrelated = await send_request(front, "/inner/a", request_id="r2.7", key=None)
    assert (nested.status, unrelated.status) == (200, 200)
    assert (await request).status == 200
    contexts = {call.request_id: call.context for call in received}
    assert contexts[b"r1.7"].rank == LOWEST_PRIORITY + 1 + 1
    assert 0 < contexts[b"r1.7"].target_ms < 500
    assert contexts[b"r2.7"] is None
