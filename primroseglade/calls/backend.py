"""The local backend server of this node: its state, admission, and calls to it."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from ..limits.admission import AdmissionQueue
from ..limits.concurrency import ConcurrencyLimit
from ..observe.events import (
    BACKEND_ANNOUNCED,
    BACKEND_DRAINING,
    BACKEND_REFUSED,
    BACKEND_UNRESPONSIVE,
    BACKEND_WITHDRAWN,
    Journal,
)
from ..observe.metrics import Metrics
from ..settings.node import NodeSettings
from ..verdicts import not_run, Reason, Refusal, Verdict
from .call import Call, InFlight, Reply
from .connections import build_head, Connection, iterate_until_deadline, Response
from .handles import build_key_refusal, Handles
from .headers import (
    DEADLINE_MS,
    filter_response_headers,
    find_header,
    HANDLE,
    TRACEPARENT,
    WORKSPACE,
)
from .pool import Pool
from .unresponsive_connections import UnresponsiveConnectionDetector

VERDICT_HEADER = b"primroseglade-verdict"


class Announcement:
    """What a backend server announces to its local node.

    Args:
        service: Name of the service.
        address: ``IP:PORT``.
        slots: Maximum number of concurrent calls, or None if not stated.
        connections: Maximum number of connections, or None if not stated.
        draining: Whether it accepts no new calls.
    """

    __slots__ = ("address", "connections", "draining", "service", "slots")

    def __init__(
        self,
        service: str,
        address: str,
        slots: int | None = None,
        connections: int | None = None,
        draining: bool = False,
    ):
        self.service = service
        self.address = address
        self.slots = slots
        self.connections = connections
        self.draining = draining


class BackendServer:
    """Admits calls to the backend server and sends them.

    Args:
        settings: Limits and timeouts.
        is_trusted: Returns whether the configuration document trusts an address for a
            service.
        is_key_valid: Returns whether a key of a workspace is valid.
        on_change: Called when the backend server starts or stops serving.
        handles: Issues handles for nested calls.
        journal: Logs changes of its state.
        metrics: Records queueing times and unresponsive connections.
    """

    def __init__(
        self,
        settings: NodeSettings,
        is_trusted: Callable[[str, str], bool],
        is_key_valid: Callable[[str, str], bool],
        on_change: Callable[[], None],
        handles: Handles,
        journal: Journal,
        metrics: Metrics,
    ):
        self._settings = settings
        self._is_trusted = is_trusted
        self._is_key_valid = is_key_valid
        self._on_change = on_change
        self._handles = handles
        self._journal = journal
        self._metrics = metrics
        self._announcement: Announcement | None = None
        self._pool: Pool | None = None
        self._stopping = False
        self._in_flight = InFlight()
        self._queue = AdmissionQueue(
            ConcurrencyLimit(settings.limits.slots),
            settings.limits.queue,
            settings.timeouts.queue,
        )
        self._unresponsive_detector = UnresponsiveConnectionDetector(
            settings.timeouts.silence,
            lambda: self._queue.limit.latency,
            self._report_unresponsive,
        )

    @property
    def announcement(self) -> Announcement | None:
        """The last announcement, or None if there is none."""
        return self._announcement

    @property
    def serving(self) -> bool:
        """Whether it accepts new calls."""
        announced = self._announcement
        return announced is not None and not announced.draining and not self._stopping

    @property
    def queue(self) -> AdmissionQueue:
        """The queue of calls that wait for a slot."""
        return self._queue

    @property
    def in_flight(self) -> InFlight:
        """The count of calls that it is processing."""
        return self._in_flight

    @property
    def load(self) -> bytes:
        """Calls in flight, limit and queue length, as reported to other nodes."""
        queue = self._queue
        return b"%d,%d,%d" % (queue.in_flight, queue.limit.value, queue.size)

    def announce(self, announcement: Announcement) -> bool:
        """Apply an announcement; return False if its address is not trusted."""
        previous = self._announcement
        if not self._is_trusted(announcement.service, announcement.address):
            if previous is None or previous.address != announcement.address:
                self._journal.emit(
                    BACKEND_REFUSED,
                    service=announcement.service,
                    address=announcement.address,
                )
            return False
        was_serving = self.serving
        is_new = previous is None or previous.address != announcement.address
        self._announcement = announcement
        if is_new:
            self._replace_pool(announcement)
        elif previous is not None and previous.slots != announcement.slots:
            self._queue.replace_limit(self._build_limit(announcement))
        if is_new or was_serving != self.serving:
            event = BACKEND_ANNOUNCED if self.serving else BACKEND_DRAINING
            self._journal.emit(
                event, service=announcement.service, address=announcement.address
            )
            self._on_change()
        return True

    def deregister(self) -> None:
        """Stop serving, as the server has deregistered or is no longer trusted."""
        self._announcement = None
        if self._pool is not None:
            self._pool.close_idle()
        self._queue.refuse_where(lambda _: _build_draining_refusal())
        self._on_change()

    def stop_serving(self) -> None:
        """Accept no new calls, as this node is stopping."""
        self._stopping = True
        self._on_change()

    def apply_document(self) -> None:
        """Refuse queued calls of withdrawn keys; deregister the server if untrusted."""
        self._queue.refuse_where(
            lambda context: build_key_refusal(self._is_key_valid, context)
        )
        announced = self._announcement
        if announced and not self._is_trusted(announced.service, announced.address):
            self._journal.emit(
                BACKEND_WITHDRAWN, service=announced.service, address=announced.address
            )
            self.deregister()

    async def serve(self, call: Call) -> Reply:
        """Admit a call, send it to the backend server and return the reply.

        Raises:
            Refusal: Not admitted, or no complete response in time.
        """
        self._check_serving(call)
        waited = await self._queue.acquire(call.context)
        self._metrics.queue_seconds.observe(waited)
        slot_transferred = False
        try:
            # While the call was queued, its key may have been withdrawn or the server
            # have begun to drain.
            refusal = build_key_refusal(self._is_key_valid, call.context)
            if refusal is not None:
                raise refusal
            self._check_serving(call)
            reply, slot_transferred = await self._send(call)
            return reply
        finally:
            if not slot_transferred:
                self._queue.release()

    def _check_serving(self, call: Call) -> None:
        announced = self._announcement
        if announced is None or announced.service != call.service:
            raise not_run(
                Reason.NO_BACKEND_SERVER, f"no backend server of {call.service} here"
            )
        if not self.serving:
            raise _build_draining_refusal()

    async def _send(self, call: Call) -> tuple[Reply, bool]:
        """Return the reply, and whether its ``close`` will release the slot."""
        assert self._pool is not None
        pool = self._pool
        started = time.monotonic()
        handle = self._handles.issue(call.context)
        is_streamed = False
        self._in_flight.__enter__()
        connection: Connection | None = None
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + call.context.remaining
            ):
                connection = await pool.acquire()
                response = await self._exchange(call, connection, pool, handle)
            self._record_latency(response, started)
            headers = filter_response_headers(response.headers)
            if response.complete:
                reply = Reply(response.status, headers, connection.take_buffered())
                reply.shed = call.context.shed and response.status >= 500
                return reply, False
            is_streamed = True
            stream = iterate_until_deadline(connection, call.context)

            def close() -> None:
                self._release(connection, pool, handle)
                self._queue.release()

            reply = Reply(
                response.status, headers, None, response.length, stream, close
            )
            return reply, True
        except TimeoutError as error:
            raise self._build_timeout_refusal(connection) from error
        finally:
            if not is_streamed:
                self._release(connection, pool, handle)

    async def _exchange(
        self, call: Call, connection: Connection, pool: Pool, handle: bytes
    ) -> Response:
        context = call.context
        remaining_ms = max(0, int(context.remaining * 1000))
        headers = [
            *call.headers,
            (HANDLE, handle),
            (WORKSPACE, context.workspace.encode()),
            (DEADLINE_MS, b"%d" % remaining_ms),
            (TRACEPARENT, context.traceparent),
        ]
        head = build_head(call.method, call.target, pool.address, headers, call.body)
        watch = self._unresponsive_detector.start(connection, pool, context.idempotent)
        try:
            response = await connection.exchange(head, call.body, call.method == "HEAD")
        finally:
            self._unresponsive_detector.end(watch)
        verdict = find_header(response.headers, VERDICT_HEADER)
        if response.status in (429, 503) and verdict == b"not run":
            self._queue.limit.record_shed(time.monotonic())
            raise not_run(
                Reason.OVERLOADED,
                "the backend server refused the call without running it",
                self._queue.estimate_retry_after(),
            )
        return response

    def _report_unresponsive(self, pool: Pool, idle_closed_count: int) -> None:
        self._metrics.silent_connections.inc()
        self._journal.emit(
            BACKEND_UNRESPONSIVE, address=pool.address, idle_closed=idle_closed_count
        )

    def _record_latency(self, response: Response, started: float) -> None:
        now = time.monotonic()
        in_flight = self._queue.in_flight
        self._queue.limit.record_served(now - started, in_flight, now)

    def _release(
        self, connection: Connection | None, pool: Pool, handle: bytes
    ) -> None:
        if connection is not None:
            pool.release(connection)
        self._handles.revoke(handle)
        self._in_flight.__exit__()

    def _build_timeout_refusal(self, connection: Connection | None) -> Refusal:
        detail = "no complete response before the deadline"
        if connection is None:
            return not_run(
                Reason.DEADLINE_EXCEEDED,
                "no connection became available before the deadline",
            )
        return Refusal(Reason.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN, detail)

    def _replace_pool(self, announced: Announcement) -> None:
        if self._pool is not None:
            self._pool.close_idle()
        self._pool = Pool(
            announced.address,
            announced.connections or self._settings.limits.connections,
            self._settings.timeouts.connect,
            self._settings.limits.body_buffer,
        )
        self._queue.replace_limit(self._build_limit(announced))

    def _build_limit(self, announced: Announcement) -> ConcurrencyLimit:
        return ConcurrencyLimit(self._settings.limits.slots, announced.slots)

    def to_dict(self) -> dict[str, Any]:
        """Return its state for the operator pages."""
        announced = self._announcement
        return {
            "service": announced.service if announced else "",
            "address": announced.address if announced else "",
            "serving": self.serving,
            "in_flight": self._queue.in_flight,
            "limit": self._queue.limit.value,
            "queued": self._queue.size,
            "latency": round(self._queue.limit.latency, 6),
            "connections": self._pool.open_count if self._pool else 0,
        }


def _build_draining_refusal() -> Refusal:
    return not_run(
        Reason.DRAINING, "the backend server accepts no new calls", retry_after=1.0
    )
