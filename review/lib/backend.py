"""Stand-in for a backend server, which writes its answers byte by byte."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from .deployment import BACKEND_PORT, CONTROL_PORT, Node, Record

HEARTBEAT_SECONDS = 1.5


class ServerRequest:
    """A request that a backend server has read.

    Attributes:
        method: Method name.
        target: Request target.
        headers: Header values by name in lower case.
        body: The body.
    """

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """ID of the request."""
        return self.headers.get("x-primroseglade-request-id", "")


class Run:
    """A request that a backend server began to work on."""

    def __init__(self, request_id: str, backend: str, at: float):
        self.request_id = request_id
        self.backend = backend
        self.at = at


Answerer = Callable[["Backend", ServerRequest], Awaitable[bytes]]


def build_answer(
    status: str, request_id: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a complete answer."""
    lines = [f"HTTP/1.1 {status}", f"X-Primroseglade-Request-Id: {request_id}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Backend:
    """A backend server beside a node.

    Args:
        instance: Its ID.
        node: The node beside it.
        record: Receives what it runs and reports.
        answer: Works on a request and returns the bytes of the answer.
        slots: Slots that it reports.
    """

    def __init__(
        self,
        instance: str,
        node: Node,
        record: Record,
        answer: Answerer,
        slots: int = 8,
    ):
        self.instance = instance
        self.node = node
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.heartbeats = True
        self.sequence = 0
        self._record = record
        self._answer = answer
        self._slots = slots
        self._server: asyncio.Server | None = None
        self._reporting: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and report to the node."""
        self._server = await asyncio.start_server(
            self._serve, self.node.host, BACKEND_PORT
        )
        self._reporting = asyncio.create_task(self._report_repeatedly())

    async def close(self) -> None:
        """End as a process does: stop listening and reporting, and cut connections."""
        if self._reporting is not None:
            self._reporting.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def build_report(self) -> bytes:
        """Return the next status report, as a complete request."""
        self.sequence += 1
        return self._build_control_request(
            "PUT",
            {
                "service": self.node.service,
                "address": self.node.address(BACKEND_PORT),
                "zone": self.node.zone,
                "version": "v1",
                "capacity_slots": self._slots,
                "state": self.state,
                "cold_remaining": "0ms",
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def report(self) -> int:
        """Send a status report; return the status of the answer, 0 for none."""
        return await self.send(self.build_report())

    async def deregister(self) -> int:
        """Say that it leaves; return the status of the answer, 0 for none."""
        status = await self.send(
            self._build_control_request("DELETE", {"born": self.born})
        )
        self.write(f"DELETE -> {status}")
        return status

    async def send(self, request: bytes) -> int:
        """Send a request to the node's control address; return the status or 0."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.node.host, CONTROL_PORT
                )
                try:
                    writer.write(request)
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0
        return int(line.split()[1]) if line else 0

    def _build_control_request(self, method: str, fields: dict[str, object]) -> bytes:
        body = json.dumps(fields).encode()
        return (
            f"{method} /instances/{self.instance} HTTP/1.1\r\nHost: node\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def _report_repeatedly(self) -> None:
        while True:
            if self.heartbeats:
                await self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while (request := await self._read(reader)) is not None:
                writer.write(await self._handle(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            # The node has closed the connection, or this server has ended.
            pass
        except asyncio.CancelledError:
            # The case is over; `asyncio` would log the cancellation as an error.
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> ServerRequest | None:
        line = await reader.readline()
        if not line:
            return None
        method, target, _ = line.decode().split(" ", 2)
        headers: dict[str, str] = {}
        while (line := await reader.readline()).strip():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return ServerRequest(method, target, headers, body)

    async def _handle(self, request: ServerRequest) -> bytes:
        if request.target == "/health":
            head = {"X-Primroseglade-Upstream-Instance": self.instance}
            return build_answer("200 OK", "", head)
        expected = request.headers.get("x-primroseglade-expected-instance")
        if expected not in (None, self.instance):
            self.write(f"refuses {request.id} with 421")
            head = {"X-Primroseglade-Upstream-Instance": self.instance}
            return build_answer("421 Misdirected Request", request.id, head)
        return await self._answer(self, request)

    def write(self, text: str) -> None:
        """Write a line about this server to the record."""
        self._record.write(f"{self.instance} {text}")

    def record_run(self, request: ServerRequest) -> None:
        """Record that the server begins to work on a request."""
        self.runs.append(Run(request.id, self.instance, time.monotonic()))
        self.write(f"runs {request.id} {request.method} {request.target}")
