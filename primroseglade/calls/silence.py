"""Finds open connections on which nothing comes back any more."""

import asyncio
import time
from collections.abc import Callable

from .connections import Connection
from .pool import Pool

# A call is taken for stuck only when it waits this many times longer than calls
# usually take: a slow service must not look like a dead link.
SLOWER_THAN_USUAL = 4.0
# A call on a new connection that waits this share of the patience is a sign that the
# service itself is slow.
FRESH_SHARE = 0.5

OnSilent = Callable[[Pool, int], None]


class Watch:
    """A request without a first byte so far."""

    __slots__ = ("connection", "idempotent", "pool", "started", "timer")

    def __init__(self, connection: Connection, pool: Pool, idempotent: bool):
        self.connection = connection
        self.pool = pool
        self.idempotent = idempotent
        self.started = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> bool:
        """Whether nothing came back yet."""
        return not self.connection.first_byte and not self.connection.closed


class SilenceWatch:
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
        self, silence: float, get_latency: Callable[[], float], on_silent: OnSilent
    ):
        self._silence = silence
        self._get_latency = get_latency
        self._on_silent = on_silent
        self._watches: set[Watch] = set()
        self._probes: set[asyncio.Task[None]] = set()

    def start(self, connection: Connection, pool: Pool, idempotent: bool) -> Watch:
        """Watch a request that is about to be sent."""
        watch = Watch(connection, pool, idempotent)
        self._watches.add(watch)
        if connection.reused:
            self._wait(watch)
        return watch

    def end(self, watch: Watch) -> None:
        """Stop watching: the request was answered or given up."""
        self._watches.discard(watch)
        if watch.timer is not None:
            watch.timer.cancel()

    def _wait(self, watch: Watch) -> None:
        loop = asyncio.get_running_loop()
        watch.timer = loop.call_later(self._get_patience(), self._suspect, watch)

    def _get_patience(self) -> float:
        return max(self._silence, SLOWER_THAN_USUAL * self._get_latency())

    def _suspect(self, watch: Watch) -> None:
        if not watch.waiting:
            return
        task = asyncio.get_running_loop().create_task(self._probe(watch))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe(self, watch: Watch) -> None:
        """Replace connections that are silent while a new one is answered.

        A call that must not run twice goes on waiting: its answer may yet come, and
        nothing would be won by giving up.
        """
        answered = await watch.pool.probe()
        if watch not in self._watches or not watch.waiting:
            return
        if not answered or self._is_slow(watch.pool):
            self._wait(watch)
            return
        self._on_silent(watch.pool, watch.pool.close_idle())
        if watch.idempotent:
            watch.connection.close()

    def _is_slow(self, pool: Pool) -> bool:
        """Whether calls on new connections wait as well."""
        oldest = time.monotonic() - FRESH_SHARE * self._get_patience()
        return any(
            watch.pool is pool
            and not watch.connection.reused
            and watch.waiting
            and watch.started < oldest
            for watch in self._watches
        )
