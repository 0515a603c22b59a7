"""What calls that backend servers make carry of the request that they belong to."""

import asyncio

import msgspec
import pytest

from primroseglade.sidecar.frames import Call, encode_frame, FrameReader, LENGTH_PREFIX
from primroseglade.sidecar.model import LOWEST_PRIORITY, NodeState
from primroseglade.sidecar.request_context import ContextFields

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


# Fields that the oldest build in a rollout leaves out.
NEW_CALL_FIELDS, NEW_STATE_FIELDS = 3, 5


def test_calls_and_states_of_older_nodes_are_understood():
    """Guards against nodes of two builds that cannot read each other during a rollout:
    older ones leave out the last fields, and ignore those that they do not know.
    """
    call = Call(
        1,
        "i",
        "r",
        b"id",
        900.0,
        300.0,
        True,
        True,
        b"",
        b"",
        5,
        ContextFields(11, 7, 4),
    )
    fields = msgspec.msgpack.decode(encode_frame(call)[LENGTH_PREFIX.size :])
    old_payload = msgspec.msgpack.encode(fields[:-NEW_CALL_FIELDS])
    (decoded,) = FrameReader().feed(LENGTH_PREFIX.pack(len(old_payload)) + old_payload)
    assert (decoded.request_id, decoded.context) == (b"id", None)
    state = NodeState("i", 8, 2.5, 12.0, work_ms=9.0, blocked=3)
    old_state = msgspec.msgpack.decode(msgspec.msgpack.encode(state))[
        :-NEW_STATE_FIELDS
    ]
    decoded_state = msgspec.convert(old_state, NodeState)
    assert (decoded_state.slots, decoded_state.work_ms) == (8, 0.0)
    assert decoded_state.slowdown_percent == 100
