"""HTTP/1.1 pipelining: requests that are sent before the first is answered."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from primroseglade.addresses import parse_address
from primroseglade.sidecar.http_messages import render_status_line, Reply, Request
from primroseglade.sidecar.http_server import HttpServer
from primroseglade.sidecar.pipeline import MAX_CONCURRENT_REQUESTS, Pipeline

from .mesh import find_address, Mesh, send_request


class Handler:
    """Answers each request with its path, once the test releases it."""

    def __init__(self) -> None:
        self.started: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.gates: dict[bytes, asyncio.Event] = {}

    async def __call__(self, request: Request) -> Reply:
        self.started.append(request.target)
        try:
            await self.gates.setdefault(request.target, asyncio.Event()).wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        status = 503 if b"refused" in request.target else 200
        return Reply(render_status_line(status), request.target)

    def release(self, *targets: bytes) -> None:
        """Let the requests for these targets be answered."""
        for target in targets:
            self.gates.setdefault(target, asyncio.Event()).set()


class Caller:
    """A caller with one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer

    def send(self, *targets: bytes, method: bytes = b"GET") -> None:
        """Send requests without waiting for responses."""
        head = b"%b %b HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        self.writer.write(b"".join(head % (method, target) for target in targets))

    async def read(self) -> tuple[int, bytes, bool]:
        """Return a response's status and body, and whether it ends the connection."""
        async with asyncio.timeout(2):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r")[0])
            body = await self.reader.readexactly(length)
        return int(head.split()[1]), body, b"Connection: close" in head


class Harness:
    """A running server with its handler and address."""

    def __init__(self, server: HttpServer, handler: Handler, address: str):
        self.server = server
        self.handler = handler
        self.address = address

    async def call(self) -> Caller:
        """Open a connection."""
        return Caller(*await asyncio.open_connection(*parse_address(self.address)))


@contextlib.asynccontextmanager
async def run_server(recently_stalled: bool = False) -> AsyncIterator[Harness]:
    """Run a server whose responses the test releases."""
    handler = Handler()
    address = find_address()
    server = HttpServer(address, handler)
    server.recently_stalled = recently_stalled
    task = asyncio.create_task(server.run())
    await asyncio.sleep(0.05)
    try:
        yield Harness(server, handler, address)
    finally:
        task.cancel()
        server.abort()


async def wait_until(condition: object) -> None:
    """Wait until a function returns a true value."""
    assert callable(condition)
    async with asyncio.timeout(2):
        while not condition():
            await asyncio.sleep(0.01)


async def test_responses_are_sent_in_request_order():
    """Guards against a response being sent first because its handler finished first.

    The caller would take it for the response to the earlier request.
    """
    async with run_server() as harness:
        caller = await harness.call()
        caller.send(b"/a", b"/b-refused", b"/c")
        await wait_until(lambda: len(harness.handler.started) == 3)
        harness.handler.release(b"/c", b"/b-refused")
        await asyncio.sleep(0.05)
        harness.handler.release(b"/a")
        assert await caller.read() == (200, b"/a", False)
        assert await caller.read() == (503, b"/b-refused", False)
        assert await caller.read() == (200, b"/c", False)


async def test_unsafe_request_waits_for_earlier_requests():
    """Guards against a POST that runs before an earlier GET and changes its result."""
    async with run_server() as harness:
        caller = await harness.call()
        caller.send(b"/look")
        caller.send(b"/book", method=b"POST")
        caller.send(b"/after")
        await asyncio.sleep(0.05)
        assert harness.handler.started == [b"/look"]
        harness.handler.release(b"/look")
        assert (await caller.read())[1] == b"/look"
        await wait_until(lambda: harness.handler.started == [b"/look", b"/book"])
        harness.handler.release(b"/book", b"/after")
        assert (await caller.read())[1] == b"/book"
        assert (await caller.read())[1] == b"/after"


async def test_shutdown_answers_started_requests_and_starts_no_others():
    """Guards against a stopping node that closes a connection too early.

    Two requests are started when the node stops; the first response must not close the
    connection before the second. A third must not start, since the caller sends it
    again to another node.
    """
    async with run_server() as harness:
        caller = await harness.call()
        caller.send(b"/a", b"/b")
        await wait_until(lambda: len(harness.handler.started) == 2)
        harness.server.request_connection_close()
        caller.send(b"/late")
        await asyncio.sleep(0.05)
        harness.handler.release(b"/a", b"/b", b"/late")
        assert await caller.read() == (200, b"/a", False)
        assert await caller.read() == (200, b"/b", True)
        assert await caller.reader.read() == b""
        assert harness.handler.started == [b"/a", b"/b"]


async def test_unread_pipelined_requests_do_not_reset_the_last_response():
    """Guards against a reset that discards the last response of a stopping node.

    The kernel resets a connection that is closed with unread requests on it.
    """
    async with run_server() as harness:
        caller = await harness.call()
        caller.send(b"/a")
        await wait_until(lambda: harness.handler.started)
        harness.server.request_connection_close()
        harness.handler.release(b"/a")
        for number in range(200):
            caller.send(b"/behind-%d" % number)
        await asyncio.sleep(0.2)
        assert await caller.read() == (200, b"/a", True)
        assert harness.handler.started == [b"/a"]
        assert not harness.server.busy_connection_count


async def test_disconnect_cancels_all_requests_of_the_connection():
    """Guards against cancelling only the first request of a disconnected caller.

    Backend servers would keep working on the others.
    """
    async with run_server() as harness:
        caller = await harness.call()
        caller.send(b"/a", b"/b")
        await wait_until(lambda: len(harness.handler.started) == 2)
        caller.writer.transport.abort()
        await wait_until(lambda: sorted(harness.handler.cancelled) == [b"/a", b"/b"])


async def test_concurrent_requests_of_a_connection_are_limited():
    """Guards against running a hundred pipelined requests of one caller at once."""
    async with run_server() as harness:
        caller = await harness.call()
        targets = [b"/%d" % number for number in range(3 * MAX_CONCURRENT_REQUESTS)]
        caller.send(*targets)
        await asyncio.sleep(0.05)
        assert harness.handler.started == targets[:MAX_CONCURRENT_REQUESTS]
        harness.handler.release(*targets)
        assert [(await caller.read())[1] for _ in targets] == targets


async def test_malformed_bytes_close_the_connection_after_pending_responses():
    """Earlier requests are answered; nothing is read after malformed bytes."""
    async with run_server() as harness:
        caller = await harness.call()
        caller.send(b"/a")
        await wait_until(lambda: harness.handler.started)
        caller.writer.write(b"\x00\x01 nonsense\r\n\r\n")
        caller.send(b"/b")
        await asyncio.sleep(0.05)
        harness.handler.release(b"/a")
        assert (await caller.read())[:2] == (200, b"/a")
        assert await caller.reader.read() == b""
        assert harness.handler.started == [b"/a"]


async def test_stopping_node_answers_pipelined_requests(mesh: Mesh):
    """Requests that a node has forwarded are answered while it shuts down."""
    for instance in mesh.instances[1:]:
        instance.backend.processing_seconds = 0.3
    node = mesh.instances[0]
    reader, writer = await asyncio.open_connection(
        *parse_address(node.settings.outbound)
    )
    caller = Caller(reader, writer)
    for number in range(2):
        writer.write(
            b"GET /deep/%d HTTP/1.1\r\nHost: api.example\r\n"
            b"X-Primroseglade-Request-Id: p%d\r\nX-Primroseglade-Deadline-Ms: 2000\r\n"
            b"Authorization: Token key-1\r\n\r\n" % (number, number)
        )
    await asyncio.sleep(0.15)
    node.stopping.set()
    first, second = await caller.read(), await caller.read()
    assert (first[0], first[2]) == (200, False)
    assert (second[0], second[2]) == (200, True)


async def test_sequential_requests_are_served_on_one_connection(mesh: Mesh):
    """Each request is sent after the response to the one before, as usual."""
    for number in range(3):
        answer = await send_request(mesh.instances[0], "/deep/a", f"one-{number}")
        assert answer.status == 200


def build_request(method: bytes = b"GET", keep_alive: bool = True) -> Request:
    """Return a request without a connection."""
    return Request(method, b"/", [], b"", keep_alive, "", 0.0)


@pytest.mark.parametrize("alone", [True, False])
def test_no_concurrent_start_on_a_closing_connection(alone: bool):
    """The second of two GETs starts beside the first, unless the connection closes."""
    pipeline = Pipeline()
    pipeline.add(build_request())
    pipeline.add(build_request())
    assert pipeline.start_next(alone) is not None
    assert (pipeline.start_next(alone) is None) == alone
    assert pipeline.started == (1 if alone else 2)


async def test_request_of_a_disconnected_caller_is_not_started():
    """Guards against forwarding requests of callers that have disconnected.

    A node short of CPU time accepts connections seconds after they were opened, and
    reads the request before the end of the connection.
    """
    async with run_server() as harness:
        for _ in range(5):
            with socket.create_connection(parse_address(harness.address)) as caller:
                caller.sendall(b"GET /left HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.2)
        assert harness.handler.started == []


async def test_disconnect_on_a_reused_connection_is_seen_after_a_stall():
    """Guards against the same on a connection that has served a request before.

    Here the node's event loop was blocked between the two requests.
    """
    async with run_server(recently_stalled=True) as harness:
        harness.handler.release(b"/before")
        with socket.create_connection(parse_address(harness.address)) as caller:
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, b"GET /before HTTP/1.1\r\nHost: a\r\n\r\n")
            assert await loop.sock_recv(caller, 1000)
            caller.send(b"GET /left HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.2)
        assert harness.handler.started == [b"/before"]
