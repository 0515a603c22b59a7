"""Requests that arrive, and answers that are still read, while a node shuts down."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from primroseglade.addresses import parse_address
from primroseglade.sidecar import node as node_module
from primroseglade.sidecar.client_connection import ExchangeError
from primroseglade.sidecar.frames import (
    Call,
    CallAnswer,
    encode_frame,
    Frame,
    FrameReader,
    Hello,
)
from primroseglade.sidecar.http_messages import Reply, Request
from primroseglade.sidecar.model import NodeEntry

from .mesh import (
    build_configuration,
    HOST,
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


GRACE_SECONDS = 4.0
LAME_DUCK_SECONDS = 0.2
# More than the kernel buffers of both ends hold.
ANSWER_BYTES = 8_000_000
RECEIVE_BUFFER_BYTES = 16_384


class SlowReader:
    """A connection whose other end sends, and which reads only when told to.

    Args:
        address: ``IP:PORT`` to connect to.
    """

    def __init__(self, address: str):
        self._address = address
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.setblocking(False)

    async def send(self, data: bytes) -> None:
        """Connect, send, and leave what comes back unread."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._sock, parse_address(self._address))
        await loop.sock_sendall(self._sock, data)

    async def read(self) -> AsyncIterator[bytes]:
        """Yield what was received, until the other end closes the connection."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while data := await loop.sock_recv(self._sock, 1 << 20):
                yield data

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


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


def build_request(request_id: str, headers: str = "") -> bytes:
    """Return a request to the instance's own backend server."""
    return (
        f"GET /front/a HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token key-1\r\n"
        f"X-Primroseglade-Request-Id: {request_id}\r\n"
        f"X-Primroseglade-Deadline-Ms: 9000\r\n{headers}\r\n"
    ).encode()


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
    entry = NodeEntry("far-1", "127.0.0.1:9", "a", "far", 1)
    head = build_request("r1").removesuffix(b"\r\n")
    call = Call(
        1,
        stopping.backend.instance,
        "front",
        b"r1",
        9000.0,
        9000.0,
        True,
        False,
        head,
        b"",
    )
    await reader.send(encode_frame(Hello(entry)) + encode_frame(call))
    await stop(stopping)
    assert stopping.task is not None
    assert not stopping.task.done()
    frame_reader = FrameReader()
    frames: list[Frame] = []
    async for data in reader.read():
        frames += frame_reader.feed(data)
    (answer,) = [frame for frame in frames if isinstance(frame, CallAnswer)]
    assert len(answer.body) == ANSWER_BYTES
    await asyncio.wait_for(stopping.task, 0.5)
