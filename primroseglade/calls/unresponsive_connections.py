"""Detects open connections on which no response arrives any more."""

import asyncio
import time
from collections.abc import Callable

from .connections import Connection
from .pool import Pool

# A connection is suspected only after this many times the usual latency of a call: a
# slow service must not look like a dead connection.
LATENCY_MULTIPLIER = 4.0
# The service itself counts as slow if a call on a new connection waits for longer than
# this fraction of the first-byte timeout.
NEW_CONNECTION_TIMEOUT_FRACTION = 0.5

OnUnresponsive = Callable[[Pool, int], None]


class PendingRequest:
    """A request whose first response byte has not arrived yet."""

    __slots__ = ("connection", "idempotent", "pool", "started", "timer")

    def __init__(self, connection: Connection, pool: Pool, idempotent: bool):
        self.connection = connection
        self.pool = pool
        self.idempotent = idempotent
        self.started = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether no byte of the response has arrived on the open connection."""
        return not self.connection.first_byte_received and not self.connection.closed


class UnresponsiveConnectionDetector:
    """Monitors the requests that wait for their first response byte.

    If a device between the two ends drops the state of a connection, what is sent on
    it is lost without an error, and so it is on other connections of that age. The
    symptom is that requests on reused connections time out while new connections
    work. If requests on new connections wait too, the service is slow, and closing
    connections would only double its work.

    Args:
        min_timeout: Minimum time to wait for a first byte, in seconds.
        get_latency: Returns the usual latency of a call in seconds.
        on_unresponsive: Called with the pool and the number of idle connections closed.
    """

    def __init__(
        self,
        min_timeout: float,
        get_latency: Callable[[], float],
        on_unresponsive: OnUnresponsive,
    ):
        self._min_timeout = min_timeout
        self._get_latency = get_latency
        self._on_unresponsive = on_unresponsive
        self._pending: set[PendingRequest] = set()
        self._probes: set[asyncio.Task[None]] = set()

    def start(
        self, connection: Connection, pool: Pool, idempotent: bool
    ) -> PendingRequest:
        """Start to monitor a request that is about to be sent."""
        pending = PendingRequest(connection, pool, idempotent)
        self._pending.add(pending)
        if connection.reused:
            self._schedule_probe(pending)
        return pending

    def end(self, pending: PendingRequest) -> None:
        """Stop monitoring a request: a response has arrived, or it was cancelled."""
        self._pending.discard(pending)
        if pending.timer is not None:
            pending.timer.cancel()

    def _schedule_probe(self, pending: PendingRequest) -> None:
        loop = asyncio.get_running_loop()
        pending.timer = loop.call_later(
            self._get_first_byte_timeout(), self._start_probe, pending
        )

    def _get_first_byte_timeout(self) -> float:
        return max(self._min_timeout, LATENCY_MULTIPLIER * self._get_latency())

    def _start_probe(self, pending: PendingRequest) -> None:
        if not pending.is_waiting:
            return
        task = asyncio.get_running_loop().create_task(self._probe_and_replace(pending))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe_and_replace(self, pending: PendingRequest) -> None:
        """Probe on a new connection, and close the old ones if only it gets a response.

        A non-idempotent call keeps waiting: its response may still arrive, and closing
        its connection would gain nothing, since it must not be retried.
        """
        answered = await pending.pool.probe()
        if pending not in self._pending or not pending.is_waiting:
            return
        if not answered or self._is_service_slow(pending.pool):
            self._schedule_probe(pending)
            return
        self._on_unresponsive(pending.pool, pending.pool.close_idle())
        if pending.idempotent:
            pending.connection.close()

    def _is_service_slow(self, pool: Pool) -> bool:
        """Return whether calls on new connections have to wait as well."""
        started_before = (
            time.monotonic()
            - NEW_CONNECTION_TIMEOUT_FRACTION * self._get_first_byte_timeout()
        )
        return any(
            pending.pool is pool
            and not pending.connection.reused
            and pending.is_waiting
            and pending.started < started_before
            for pending in self._pending
        )
