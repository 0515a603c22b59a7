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
SLOW_SERVICE_TIMEOUT_FRACTION = 0.5

OnUnresponsive = Callable[[Pool, int], None]


class Watch:
    """A request whose first response byte has not arrived yet."""

    __slots__ = ("connection", "idempotent", "pool", "started", "timer")

    def __init__(self, connection: Connection, pool: Pool, idempotent: bool):
        self.connection = connection
        self.pool = pool
        self.idempotent = idempotent
        self.started = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> bool:
        """Whether no byte of the response has arrived on the open connection."""
        return not self.connection.first_byte_received and not self.connection.closed


class UnresponsiveConnectionDetector:
    """Monitors the requests that wait for their first response byte.

    If a device between the two ends drops the state of a connection, what is sent on
    it is lost without an error, and usually on other connections of its age, too. The
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
        self._watches: set[Watch] = set()
        self._probes: set[asyncio.Task[None]] = set()

    def start(self, connection: Connection, pool: Pool, idempotent: bool) -> Watch:
        """Start to monitor a request that is about to be sent."""
        watch = Watch(connection, pool, idempotent)
        self._watches.add(watch)
        if connection.reused:
            self._schedule_probe(watch)
        return watch

    def end(self, watch: Watch) -> None:
        """Stop monitoring a request: a response has arrived, or it was cancelled."""
        self._watches.discard(watch)
        if watch.timer is not None:
            watch.timer.cancel()

    def _schedule_probe(self, watch: Watch) -> None:
        loop = asyncio.get_running_loop()
        watch.timer = loop.call_later(
            self._get_first_byte_timeout(), self._start_probe, watch
        )

    def _get_first_byte_timeout(self) -> float:
        return max(self._min_timeout, LATENCY_MULTIPLIER * self._get_latency())

    def _start_probe(self, watch: Watch) -> None:
        if not watch.waiting:
            return
        task = asyncio.get_running_loop().create_task(self._probe_and_replace(watch))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe_and_replace(self, watch: Watch) -> None:
        """Probe on a new connection; close the idle ones if only the probe succeeds.

        A non-idempotent call keeps waiting: its response may still arrive, and closing
        its connection would gain nothing, since it must not be retried.
        """
        answered = await watch.pool.probe()
        if watch not in self._watches or not watch.waiting:
            return
        if not answered or self._is_service_slow(watch.pool):
            self._schedule_probe(watch)
            return
        self._on_unresponsive(watch.pool, watch.pool.close_idle())
        if watch.idempotent:
            watch.connection.close()

    def _is_service_slow(self, pool: Pool) -> bool:
        """Return whether calls on new connections have to wait as well."""
        oldest = (
            time.monotonic()
            - SLOW_SERVICE_TIMEOUT_FRACTION * self._get_first_byte_timeout()
        )
        return any(
            watch.pool is pool
            and not watch.connection.reused
            and watch.waiting
            and watch.started < oldest
            for watch in self._watches
        )
