"""Stand-in for a backend server that reports to the control listener of its node."""

import asyncio
import json
from collections.abc import Callable

from ..sidecar.http_client import ConnectionPool
from ..sidecar.http_messages import render_status_line, Reply, Request
from ..sidecar.http_server import HttpServer

REPORT_INTERVAL_SECONDS = 0.3


class MeshBackend:
    """Serves requests after a fixed processing time and reports its status.

    Args:
        instance: Instance id of the backend server.
        service: Name of the service.
        address: ``IP:PORT`` to listen on.
        control: ``IP:PORT`` of the node's control listener.
        slots: Number of slots that it reports.
        processing_seconds: Processing time of a request in seconds.
        start_time_ms: Reported start time in Unix milliseconds.
        reported_address: ``IP:PORT`` that it reports, if other than ``address``.

    Attributes:
        state: State that it reports, such as ``ready`` or ``draining``.
        executed_request_ids: Ids of the requests that began to run.
        cancelled: Number of requests that were cancelled while they ran.
        seen_headers: Headers of all requests, also of those refused as misdirected.
        answer: Function that builds the responses, or None for the usual ones.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        address: str,
        control: str,
        slots: int = 20,
        processing_seconds: float = 0.005,
        start_time_ms: int = 1,
        reported_address: str = "",
    ):
        self.instance = instance
        self.service = service
        self.address = reported_address or address
        self.slots = slots
        self.processing_seconds = processing_seconds
        self.start_time_ms = start_time_ms
        self.state = "ready"
        self.executed_request_ids: list[str] = []
        self.cancelled = 0
        self.seen_headers: list[dict[str, str]] = []
        self.answer: Callable[[Request, dict[str, str]], Reply] | None = None
        self._sequence = 0
        self._control = ConnectionPool(control, 1.0)
        self._server = HttpServer(address, self._handle)

    async def run(self) -> None:
        """Serve and report until cancelled."""
        server = asyncio.create_task(self._server.run())
        try:
            while True:
                await self.report_status()
                await asyncio.sleep(REPORT_INTERVAL_SECONDS)
        finally:
            server.cancel()

    async def report_status(self) -> int:
        """Send a status report and return the response status, 0 for no response."""
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
        return await self.send_control_request("PUT", json.dumps(body).encode())

    async def deregister(self) -> int:
        """Deregister from the node; return the response status, 0 for no response."""
        return await self.send_control_request("DELETE", b"")

    async def send_control_request(self, method: str, body: bytes) -> int:
        """Send a control request and return the response status, 0 for no response."""
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
            # The node may be down, which the caller sees as status 0.
            return 0
        return answer.status

    async def _handle(self, request: Request) -> Reply:
        headers = {
            name.decode().lower(): value.decode() for name, value in request.headers
        }
        self.seen_headers.append(headers)
        expected = headers.get("x-primroseglade-expected-instance", self.instance)
        if expected != self.instance:
            return Reply(render_status_line(421), b"")
        request_id = headers.get("x-primroseglade-request-id", "")
        self.executed_request_ids.append(request_id)
        try:
            await asyncio.sleep(self.processing_seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if self.answer is not None:
            return self.answer(request, headers)
        return self.build_response(request_id, b"served by " + self.instance.encode())

    def build_response(self, request_id: str, body: bytes) -> Reply:
        """Return a response with the request id and signature that nodes check."""
        head = (
            render_status_line(200)
            + f"X-Primroseglade-Request-Id: {request_id}\r\n".encode()
            + b"X-Primroseglade-Upstream-Seal: s1\r\n"
        )
        return Reply(head, body)
