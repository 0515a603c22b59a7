"""Stand-in for a backend server, with limited slots, draining and injected faults."""

import asyncio
import collections
import json
import random
import time
from typing import Any

import aiohttp

from ..listener import Listener

ANNOUNCE_INTERVAL_SECONDS = 1.0
JSON_CONTENT_TYPE = (b"content-type", b"application/json")
NOT_RUN_HEADER = (b"primroseglade-verdict", b"not run")


class BackendBehavior:
    """Performance and faults of a backend server; may be changed while it runs.

    Args:
        processing_seconds: Processing time of a call in seconds.
        jitter_ratio: Jitter of the processing time, such as 0.2 for 20 % either way.
        slots: Maximum number of calls processed at once; further calls are queued.
        max_queued: Number of queued calls at which new calls are refused, so that 0
            refuses all; None for no limit.
        cold_start_seconds: Duration of the slow phase after the start.
        cold_start_factor: Factor of the processing time in that phase.
        response_bytes: Minimum size of a response body.
        nested: Paths of calls that each call makes first, such as ``/archive/x``.
        announced_slots: Number of slots that it announces, if other than ``slots``.

    Attributes:
        responses_to_truncate: Number of responses still to be cut off after half the
            body.
        never_responds: Whether calls in flight are held without a response.
    """

    def __init__(
        self,
        processing_seconds: float = 0.005,
        jitter_ratio: float = 0.2,
        slots: int = 20,
        max_queued: int | None = None,
        cold_start_seconds: float = 0.0,
        cold_start_factor: float = 5.0,
        response_bytes: int = 200,
        nested: tuple[str, ...] = (),
        announced_slots: int | None = None,
    ):
        self.processing_seconds = processing_seconds
        self.jitter_ratio = jitter_ratio
        self.slots = slots
        self.max_queued = max_queued
        self.cold_start_seconds = cold_start_seconds
        self.cold_start_factor = cold_start_factor
        self.response_bytes = response_bytes
        self.responses_to_truncate = 0
        self.never_responds = False
        self.nested = nested
        self.announced_slots = announced_slots


class ReceivedRequest:
    """A request that the backend server started to process."""

    __slots__ = (
        "cancelled",
        "finished",
        "headers",
        "operation_id",
        "received_at",
        "target",
    )

    def __init__(self, target: str, headers: dict[str, str]):
        self.received_at = time.monotonic()
        self.target = target
        self.headers = headers
        self.operation_id = headers.get("x-operation", "")
        self.finished = False
        self.cancelled = False

    @property
    def workspace(self) -> str:
        """Workspace in the header that the node sets, or an empty string."""
        return self.headers.get("primroseglade-workspace", "")


class BackendStandIn:
    """Backend server of one service, which announces itself to its node.

    Args:
        service: Name of the service.
        node: ``IP:PORT`` of its node's backend listener, or empty for none.
        behavior: Performance and faults.
        address: ``IP:PORT`` to listen on.
        connections: Connection limit that it announces.
        seed: Seed of the jitter of processing times.
        max_seen_requests: Number of latest requests that ``seen`` keeps; None for all.
    """

    def __init__(
        self,
        service: str,
        node: str = "",
        behavior: BackendBehavior | None = None,
        address: str = "127.0.0.1:0",
        connections: int = 100,
        seed: int = 0,
        max_seen_requests: int | None = None,
    ):
        self.service = service
        self.behavior = behavior or BackendBehavior()
        self.seen: collections.deque[ReceivedRequest] = collections.deque(
            maxlen=max_seen_requests
        )
        self.draining = False
        self.in_flight = 0
        self.queued = 0
        self._node = node
        self._connections = connections
        self._random = random.Random(seed)
        self._started_at = time.monotonic()
        self._slot_freed = asyncio.Condition()
        self._listener = Listener(self._handle, address)
        self._session: aiohttp.ClientSession | None = None
        self._stopping = asyncio.Event()

    @property
    def address(self) -> str:
        """Listening address, ``IP:PORT``."""
        return self._listener.address

    async def run(self) -> None:
        """Serve and announce until stopped."""
        timeout = aiohttp.ClientTimeout(total=30)
        self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._listener.run())
                if self._node:
                    group.create_task(self._keep_announcing())
        finally:
            await self._session.close()

    async def wait_started(self) -> None:
        """Wait until the listener accepts connections."""
        await self._listener.wait_started()

    async def drain(self) -> None:
        """Refuse new calls from now on, and announce the drain to the node."""
        self.draining = True
        await self.announce()

    def stop(self) -> None:
        """Stop gracefully: calls in flight have 5 s to finish."""
        self._stopping.set()
        self._listener.stop(5)

    def kill(self) -> None:
        """Stop at once and close all connections."""
        self._stopping.set()
        self._listener.abort()

    async def announce(self) -> bool:
        """Announce the backend server once and return whether the node accepted it."""
        assert self._session is not None
        fields = {
            "service": self.service,
            "address": self.address,
            "slots": self.behavior.announced_slots or self.behavior.slots,
            "connections": self._connections,
            "draining": self.draining,
        }
        url = f"http://{self._node}/-/backend-server"
        try:
            async with self._session.put(url, json=fields) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False

    async def _keep_announcing(self) -> None:
        while not self._stopping.is_set():
            accepted = await self.announce()
            interval = ANNOUNCE_INTERVAL_SECONDS if accepted else 0.1
            try:
                await asyncio.wait_for(self._stopping.wait(), interval)
            except TimeoutError:
                continue

    async def _handle(self, scope: Any, receive: Any, send: Any) -> None:
        task = asyncio.current_task()
        assert task is not None
        scope["on_disconnect"] = task.cancel
        if scope["method"] == "OPTIONS":
            # A node's health check is not a call, so that it occupies no slot.
            await _send_json(send, 200, {})
            return
        target = scope["raw_path"].decode("latin-1")
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode("latin-1")
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        body = await _read_all(receive)
        refusal = self._get_refusal()
        if refusal is not None:
            await _send_json(send, 503, {"error": refusal}, [NOT_RUN_HEADER])
            return
        request = ReceivedRequest(target, headers)
        self.seen.append(request)
        try:
            await self._process(headers)
        except asyncio.CancelledError:
            request.cancelled = True
            return
        except (TimeoutError, _NestedCallError, aiohttp.ClientError) as error:
            request.finished = True
            await _send_json(send, 500, {"error": f"a nested call failed: {error}"})
            return
        request.finished = True
        await self._send_response(scope, send, request, body)

    def _get_refusal(self) -> str | None:
        if self.draining:
            return "draining"
        limit = self.behavior.max_queued
        if limit is not None and self.queued >= limit:
            return "overloaded"
        return None

    async def _process(self, headers: dict[str, str]) -> None:
        self.queued += 1
        try:
            async with self._slot_freed:
                await self._slot_freed.wait_for(
                    lambda: self.in_flight < self.behavior.slots
                )
                self.in_flight += 1
        finally:
            self.queued -= 1
        try:
            while self.behavior.never_responds:
                await asyncio.sleep(0.05)
            for path in self.behavior.nested:
                await self._make_nested_call(path, headers)
            await asyncio.sleep(self._draw_processing_seconds())
        finally:
            self.in_flight -= 1
            async with self._slot_freed:
                self._slot_freed.notify()

    def _draw_processing_seconds(self) -> float:
        behavior = self.behavior
        factor = 1 + self._random.uniform(-behavior.jitter_ratio, behavior.jitter_ratio)
        if time.monotonic() - self._started_at < behavior.cold_start_seconds:
            factor *= behavior.cold_start_factor
        return behavior.processing_seconds * factor

    async def _make_nested_call(self, path: str, headers: dict[str, str]) -> None:
        assert self._session is not None
        forwarded = {
            name: headers[name]
            for name in ("primroseglade-call", "traceparent")
            if name in headers
        }
        url = f"http://{self._node}{path}"
        async with self._session.get(url, headers=forwarded) as response:
            await response.read()
            if response.status >= 400:
                raise _NestedCallError(response.status)

    async def _send_response(
        self, scope: Any, send: Any, request: ReceivedRequest, body: bytes
    ) -> None:
        fields = {
            "service": self.service,
            "target": request.target,
            "workspace": request.workspace,
            "echo": request.headers.get("x-echo", ""),
            "received": len(body),
        }
        text = json.dumps(fields).encode()
        text += b" " * max(0, self.behavior.response_bytes - len(text))
        headers = [JSON_CONTENT_TYPE, (b"content-length", b"%d" % len(text))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        if self.behavior.responses_to_truncate > 0:
            self.behavior.responses_to_truncate -= 1
            first_half = text[: len(text) // 2]
            await send(
                {"type": "http.response.body", "body": first_half, "more_body": True}
            )
            scope["cut_connection"]()
            return
        await send({"type": "http.response.body", "body": text})


class _NestedCallError(Exception):
    """A nested call got an error status."""


async def _read_all(receive: Any) -> bytes:
    chunks = []
    more = True
    while more:
        message = await receive()
        chunks.append(message.get("body", b""))
        more = message.get("more_body", False)
    return b"".join(chunks)


async def _send_json(
    send: Any, status: int, value: Any, extra_headers: Any = ()
) -> None:
    body = json.dumps(value).encode()
    headers = [
        JSON_CONTENT_TYPE,
        (b"content-length", b"%d" % len(body)),
        *extra_headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
