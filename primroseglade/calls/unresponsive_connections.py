"""Finds open connections on which nothing comes back any more."""

import asyncio
import time
from collections.abc import Callable

from .connections import Connection
from .pool import Pool

# A call is taken for stuck only when it waits this many times longer than calls
# usually take: a slow service must not look like a dead link.
LATENCY_MULTIPLIER = 4.0
# A call on a new connection that waits this share of the patience is a sign that the
# service itself is slow.
NEW_CONNECTION_TIMEOUT_FRACTION = 0.5

OnUnresponsive = Callable[[Pool, int], None]


class PendingRequest:
    """A request without a first byte so far."""

    __slots__ = ("connection", "idempotent", "pool", "started", "timer")

    def __init__(self, connection: Connection, pool: Pool, idempotent: bool):
        self.connection = connection
        self.pool = pool
        self.idempotent = idempotent
        self.started = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether nothing came back yet."""
        return not self.connection.first_byte_received and not self.connection.closed


class UnresponsiveConnectionDetector:
    """Watches the requests that wait for their first byte.

    Something between the two ends has forgotten a connection: what is sent on it
    vanishes without a sign, and so does what is sent on others as old. It shows as
    silence on reused connections while new ones are answered. When new ones wait as
    well, the service is slow, and cutting would only double its work.

    Args:
        silence: Seconds without a first byte before anything is suspected.
        get_latency: Returns the usual time of a call in seconds.
        on_silent: Told the pool, and how many idle connections were closed.
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
        """Watch a request that is about to be sent."""
        pending = PendingRequest(connection, pool, idempotent)
        self._pending.add(pending)
        if connection.reused:
            self._schedule_probe(pending)
        return pending

    def end(self, pending: PendingRequest) -> None:
        """Stop watching: the request was answered or given up."""
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
        """Replace connections that are silent while a new one is answered.

        A call that must not run twice goes on waiting: its answer may yet come, and
        nothing would be won by giving up.
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
        """Whether calls on new connections wait as well."""
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
