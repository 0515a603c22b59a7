"""A stand-in for a backend server as the platform runs it, with ways to fail."""

import asyncio
import json
from collections.abc import Callable

from ..sidecar.http_client import ConnectionPool
from ..sidecar.http_messages import render_status_line, Reply, Request
from ..sidecar.http_server import HttpServer

REPORT_INTERVAL_SECONDS = 0.3


class MeshBackend:
    """Serves requests after some work, and reports to the node beside it.

    Args:
        instance: Its id.
        service: What it serves.
        address: ``IP:PORT``.
        control: Address of the node's control listener.
        slots: That it reports.
        work: Seconds of work of a request.
        born: Unix milliseconds of its start.
        reached: ``IP:PORT`` that it reports, where that is not its own.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        address: str,
        control: str,
        slots: int = 20,
        work: float = 0.005,
        start_time_ms: int = 1,
        reached: str = "",
    ):
        self.instance = instance
        self.service = service
        self.address = reached or address
        self.slots = slots
        self.work = work
        self.start_time_ms = start_time_ms
        self.state = "ready"
        self.ran: list[str] = []
        self.cancelled = 0
        self.seen: list[dict[str, str]] = []
        self.answer: Callable[[Request, dict[str, str]], Reply] | None = None
        self._sequence = 0
        self._control = ConnectionPool(control, 1.0)
        self._server = HttpServer(address, self._handle)

    async def run(self) -> None:
        """Serve and report until cancelled."""
        server = asyncio.create_task(self._server.run())
        try:
            while True:
                await self.report()
                await asyncio.sleep(REPORT_INTERVAL_SECONDS)
        finally:
            server.cancel()

    async def report(self) -> int:
        """Send one status report and return the status of its answer, 0 for none."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "capacity_slots": self.slots,
            "state": self.state,
            "cold_remaining": "0ms",
            "sequence": self._sequence,
            "born": self.start_time_ms,
        }
        return await self.call_control("PUT", json.dumps(body).encode())

    async def leave(self) -> int:
        """Say that it leaves, without a report before."""
        return await self.call_control("DELETE", b"")

    async def call_control(self, method: str, body: bytes) -> int:
        """Call the node and return the status of its answer, 0 for none."""
        head = (
            f"{method} /instances/{self.instance} HTTP/1.1\r\nHost: node\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(1.0):
                connection = await self._control.acquire()
                try:
                    answer = await connection.exchange(head.encode() + body)
                finally:
                    self._control.release(connection)
        except Exception:
            # The node may be down; its absence shows in the status.
            return 0
        return answer.status

    async def _handle(self, request: Request) -> Reply:
        headers = {
            name.decode().lower(): value.decode() for name, value in request.headers
        }
        self.seen.append(headers)
        expected = headers.get("x-primroseglade-expected-instance", self.instance)
        if expected != self.instance:
            return Reply(render_status_line(421), b"")
        request_id = headers.get("x-primroseglade-request-id", "")
        self.ran.append(request_id)
        try:
            await asyncio.sleep(self.work)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if self.answer is not None:
            return self.answer(request, headers)
        return self.build_answer(request_id, b"served by " + self.instance.encode())

    def build_answer(self, request_id: str, body: bytes) -> Reply:
        """Return a whole answer with the signature."""
        head = (
            render_status_line(200)
            + f"X-Primroseglade-Request-Id: {request_id}\r\n".encode()
            + b"X-Primroseglade-Upstream-Seal: s1\r\n"
        )
        return Reply(head, body)
