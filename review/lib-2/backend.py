"""A backend server that follows the users' pages, with hooks for its faults."""

import asyncio
import hashlib
import json
import time

from deployment import APP, CONTROL


class Request:
    """A request as the backend server read it."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """The request's ID."""
        return self.headers.get("x-primroseglade-request-id", "")


async def read_message(reader: asyncio.StreamReader):
    """Return the first line, the headers and the body of a message, or None at the end.

    Raises:
        asyncio.IncompleteReadError: The message ends early.
    """
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (raw := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = raw.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").split(), headers, body


def render(status: str, headers: dict, body: bytes = b"") -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Backend:
    """A backend server: serves requests, answers health checks, and reports its state.

    Attributes:
        runs: Times at which each request began to run, by request ID.
        work_seconds: Time that a request takes.
    """

    def __init__(self, deployment, number: int, record, slots: int = 50):
        self.deployment = deployment
        self.number = number
        self.record = record
        self.slots = slots
        self.instance = f"i-{number}"
        self.born = int(time.time() * 1000)
        self.work_seconds = 0.02
        self.state = "ready"
        self.runs: dict[str, list[float]] = {}
        self.handler = self.serve
        self._sequence = 0
        self._running = 0
        self._server: asyncio.Server | None = None
        self._reporting: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and begin to report."""
        self._server = await asyncio.start_server(
            self._handle_connection,
            *self.deployment.address(self.number, APP),
            limit=1 << 20,
        )
        self._reporting = asyncio.create_task(self._report_repeatedly())

    async def close(self) -> None:
        """Stop listening and reporting."""
        if self._reporting is not None:
            self._reporting.cancel()
        if self._server is not None:
            self._server.close()

    async def report(self) -> int:
        """Send a status report; return the status of the answer, 0 for none."""
        self._sequence += 1
        body = {
            "service": self.deployment.services[self.number],
            "address": ":".join(map(str, self.deployment.address(self.number, APP))),
            "zone": "split-a",
            "version": "v1",
            "capacity_slots": self.slots,
            "state": self.state,
            "cold_remaining": "0ms",
            "sequence": self._sequence,
            "born": self.born,
        }
        return await self.send_control("PUT", body)

    async def send_control(self, method: str, body: dict) -> int:
        """Send a call to the node's control address; return the status, 0 for none."""
        data = json.dumps(body).encode()
        head = (
            f"{method} /instances/{self.instance} HTTP/1.1\r\nHost: node\r\n"
            f"Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    *self.deployment.address(self.number, CONTROL)
                )
                try:
                    writer.write(head.encode() + data)
                    message = await read_message(reader)
                    return int(message[0][1]) if message else 0
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def _report_repeatedly(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(0.5)

    async def _handle_connection(self, reader, writer) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                (method, target, _), headers, body = message
                request = Request(method, target, headers, body)
                if target == "/health":
                    answer = render(
                        "200 OK",
                        {
                            "X-Primroseglade-Upstream-Instance": self.instance,
                            "X-Primroseglade-Upstream-Load": self.load,
                        },
                    )
                    writer.write(answer)
                    continue
                await self.handler(request, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other end is gone, or the run is over.
            pass
        finally:
            writer.close()

    @property
    def load(self) -> str:
        """The load that answers state."""
        return f"{self._running},0,{self.slots}"

    def begin(self, request: Request) -> None:
        """Record that a request begins to run."""
        self.runs.setdefault(request.id, []).append(time.monotonic())
        self.record.write(f"{self.instance}: runs {request.id}")

    async def serve(self, request: Request, reader, writer) -> None:
        """Run a request and write its answer."""
        expected = request.headers.get("x-primroseglade-expected-instance")
        if expected not in (None, self.instance):
            writer.write(self.render_misdirected(request))
            return
        self.begin(request)
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self._running -= 1
        writer.write(self.render_success(request))

    def render_success(self, request: Request) -> bytes:
        """Return the answer to a request that has run."""
        body = hashlib.sha256(request.id.encode() + request.body).hexdigest().encode()
        return render(
            "200 OK",
            {
                "X-Primroseglade-Request-Id": request.id,
                "X-Primroseglade-Upstream-Seal": f"seal.{request.id}",
                "X-Primroseglade-Upstream-Load": self.load,
            },
            body,
        )

    def render_misdirected(self, request: Request) -> bytes:
        """Return the answer to a request for another instance."""
        headers = {
            "X-Primroseglade-Request-Id": request.id,
            "X-Primroseglade-Upstream-Instance": self.instance,
        }
        return render("421 Misdirected Request", headers)
