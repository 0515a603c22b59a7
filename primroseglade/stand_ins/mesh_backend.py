"""Stand-in for a backend server that reports to the control listener of its node."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from ..sidecar.http_client import ConnectionPool
from ..sidecar.http_messages import render_status_line, Reply, Request
from ..sidecar.http_server import HttpServer

REPORT_INTERVAL_SECONDS = 0.3
HEALTH_PATH = b"/health"


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
        reporting: Whether it sends status reports.
        cold_until: ``time.monotonic()`` until which it says that it is cold.
        executed_request_ids: Ids of the requests that began to run.
        executed_at: ``time.monotonic()`` at which each of them began.
        request_limit: Limit on requests per second that its answers state; empty for
            none.
        leaving: How its answers state that it leaves; empty if they do not.
        load: Load that its answers state; empty for none.
        health_checks: Number of health checks.
        cancelled: Number of requests that were cancelled while they ran.
        seen_headers: Headers of all requests, also of those refused as misdirected.
        answer: Function that builds the responses, or None for the usual ones.
        fatal_target: Part of the target of requests under which the process ends;
            empty for none.
        make_calls: Coroutine function that makes the calls that a request needs before
            it is answered, or None. The result is the status of the answer.
        restart_seconds: Time from the end of the process to the next; None to stay
            away.
        ends: Number of times that the process has ended.
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
        self.reporting = True
        self.cold_until = 0.0
        self.executed_request_ids: list[str] = []
        self.executed_at: list[float] = []
        self.request_limit = ""
        self.leaving = ""
        self.load = ""
        self.health_checks = 0
        self.cancelled = 0
        self.seen_headers: list[dict[str, str]] = []
        self.answer: Callable[[Request, dict[str, str]], Reply] | None = None
        self.fatal_target = b""
        self.make_calls: Callable[[Request, str], Awaitable[int]] | None = None
        self.restart_seconds: float | None = 0.4
        self.ends = 0
        self._sequence = 0
        self._control = ConnectionPool(control, 1.0)
        self._listen_address = address
        self._server = HttpServer(address, self._handle)
        self._ended = asyncio.Event()

    @property
    def _cold_ms(self) -> int:
        return int(max(0.0, self.cold_until - time.monotonic()) * 1000)

    async def run(self) -> None:
        """Serve and report until cancelled; start again after the process has ended."""
        while True:
            serving = asyncio.create_task(self._server.run())
            reporting = asyncio.create_task(self._report_repeatedly())
            try:
                await self._ended.wait()
            finally:
                serving.cancel()
                reporting.cancel()
            if self.restart_seconds is None:
                return
            await asyncio.sleep(self.restart_seconds)
            self._begin_lifetime()

    def end(self) -> None:
        """End the process as a crash does: all its connections are closed."""
        if self._ended.is_set():
            return
        self.ends += 1
        self._ended.set()
        self._server.stop_accepting()
        self._server.abort()

    def reset_connections(self) -> None:
        """Close all connections; the process runs on."""
        self._server.abort()

    def _begin_lifetime(self) -> None:
        self.start_time_ms += 1000
        self._sequence = 0
        self._ended = asyncio.Event()
        self._server = HttpServer(self._listen_address, self._handle)

    async def _report_repeatedly(self) -> None:
        while True:
            if self.reporting:
                await self.report_status()
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    async def report_status(self, cold_ms: int | None = None) -> int:
        """Send a status report and return the response status, 0 for no response.

        Args:
            cold_ms: Milliseconds for which it says that it is cold, if not the true
                ones, as in a report that was sent earlier.
        """
        return await self.send_control_request("PUT", self.build_report(cold_ms))

    def build_report(self, cold_ms: int | None = None) -> bytes:
        """Return the body of the next status report, which may be sent later."""
        self._sequence += 1
        if cold_ms is None:
            cold_ms = self._cold_ms
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "capacity_slots": self.slots,
            "state": self.state,
            "cold_remaining": f"{cold_ms}ms",
            "sequence": self._sequence,
            "born": self.start_time_ms,
        }
        return json.dumps(body).encode()

    async def deregister(self) -> int:
        """Deregister from the node; return the response status, 0 for no response."""
        body = json.dumps({"born": self.start_time_ms}).encode()
        return await self.send_control_request("DELETE", body)

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
        if request.target == HEALTH_PATH:
            return self._answer_health_check()
        self.seen_headers.append(headers)
        expected = headers.get("x-primroseglade-expected-instance", self.instance)
        if expected != self.instance:
            return Reply(render_status_line(421), b"")
        request_id = headers.get("x-primroseglade-request-id", "")
        self.executed_request_ids.append(request_id)
        self.executed_at.append(time.monotonic())
        try:
            await asyncio.sleep(self.processing_seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if self.fatal_target and self.fatal_target in request.target:
            self.end()
            # Its connection is closed, which cancels it.
            await asyncio.Event().wait()
        if self.make_calls is not None:
            status = await self.make_calls(request, request_id)
            if status != 200:
                return Reply(render_status_line(status), b"")
        if self.answer is not None:
            return self.answer(request, headers)
        return self.build_response(request_id, b"served by " + self.instance.encode())

    def _answer_health_check(self) -> Reply:
        self.health_checks += 1
        head = (
            render_status_line(200)
            + f"X-Primroseglade-Upstream-Instance: {self.instance}\r\n".encode()
        )
        if self._cold_ms:
            head += f"X-Primroseglade-Cold-Ms: {self._cold_ms}\r\n".encode()
        return Reply(head, b"")

    def build_response(self, request_id: str, body: bytes) -> Reply:
        """Return a response with the request id and signature that nodes check."""
        head = (
            render_status_line(200)
            + f"X-Primroseglade-Request-Id: {request_id}\r\n".encode()
            + b"X-Primroseglade-Upstream-Seal: s1\r\n"
            + self._render_statements()
        )
        return Reply(head, body)

    def _render_statements(self) -> bytes:
        """Return the headers that state something about the backend server."""
        statements = {
            "Server-Limit": self.request_limit,
            "Server-Leaving": self.leaving,
            "X-Primroseglade-Upstream-Load": self.load,
        }
        return b"".join(
            f"{name}: {value}\r\n".encode()
            for name, value in statements.items()
            if value
        )
