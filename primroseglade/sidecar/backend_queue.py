"""Which call goes next to the backend server, and which is told that there is no room.

It needs no network: callers of `acquire` are tasks, and time comes from the loop.
"""

import asyncio
import heapq
import itertools

from ..verdicts import not_run, Reason

# Some backend servers slow down by a third when more than 95 in 100 of their slots
# are taken: the last slots cost more than they bring. One in sixteen is left free.
USED_SLOTS = 15 / 16
# Weight of a new measurement of the usual time of work, about the last 30 calls.
SMOOTHING = 1 / 32
# Before the first answer, in seconds.
FIRST_SERVICE_SECONDS = 0.03
# Calls that wait for one that is at work, at the most. With more, the last would
# wait for four times the usual work, which urgent routes do not allow.
WAITING_A_SLOT = 4.0


class BackendQueue:
    """Lets as many calls through as the backend server works on well.

    The most urgent go first, among equals the one that came first. What cannot be
    served in time is refused when it comes, not when its time is up: its caller may
    still be served elsewhere.

    Args:
        slots: Calls that the backend server works on at once.
    """

    def __init__(self, slots: int):
        self._limit = 1
        self._running = 0
        self._waiting: list[tuple[int, int, float, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._live = 0
        self._service_seconds = FIRST_SERVICE_SECONDS
        self._area = 0.0
        self._measured_at = 0.0
        self._started = 0.0
        self.resize(slots)

    @property
    def limit(self) -> int:
        """Calls at work at once."""
        return self._limit

    @property
    def occupied(self) -> int:
        """Calls at work and waiting."""
        return self._running + self._live

    @property
    def running(self) -> int:
        """Calls at work."""
        return self._running

    @property
    def service_seconds(self) -> float:
        """Usual time of work of a call."""
        return self._service_seconds

    def resize(self, slots: int) -> None:
        """Take another number of slots."""
        self._limit = max(1, int(slots * USED_SLOTS))
        self._let_go()

    def take_average(self) -> float:
        """Return the calls at work and waiting since the last time, on average."""
        now = asyncio.get_running_loop().time()
        self._note_change()
        span = now - self._started
        average = self._area / span if span > 0 else float(self.occupied)
        self._area = 0.0
        self._started = now
        return average

    async def acquire(self, priority: int, remaining: float) -> None:
        """Wait for a turn.

        Args:
            priority: 0 is the most urgent.
            remaining: Seconds in which the call must be done.

        Raises:
            Refusal: ``not run``: no room in time.
        """
        self._note_change()
        if self._running < self._limit and not self._live:
            self._running += 1
            return
        if self._live >= self._limit * WAITING_A_SLOT:
            raise not_run(Reason.OVERLOADED, f"{self._live} calls wait already")
        ahead = self._count_ahead(priority)
        wait = (ahead + 1) * self._service_seconds / self._limit
        if wait + self._service_seconds > remaining:
            raise not_run(Reason.OVERLOADED, f"{ahead} calls go before it")
        turn = asyncio.get_running_loop().create_future()
        latest = asyncio.get_running_loop().time() + remaining
        heapq.heappush(self._waiting, (priority, next(self._numbers), latest, turn))
        self._live += 1
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled() and turn.exception() is None:
                # Its turn came in the moment in which its caller left.
                self.release(None)
            elif turn.cancelled() or not turn.done():
                turn.cancel()
                self._live -= 1
            raise

    def release(self, seconds: float | None) -> None:
        """Give a turn back.

        Args:
            seconds: Time of work, None where the call did not end.
        """
        self._note_change()
        if seconds is not None:
            self._service_seconds += SMOOTHING * (seconds - self._service_seconds)
        self._running -= 1
        self._let_go()

    def _count_ahead(self, priority: int) -> int:
        if self._live < 16:
            return sum(entry[0] <= priority for entry in self._waiting)
        # Good enough, and cheaper than walking a long queue for each call.
        sample = self._waiting[:64]
        share = sum(entry[0] <= priority for entry in sample) / len(sample)
        return int(share * self._live)

    def _let_go(self) -> None:
        while self._waiting and self._running < self._limit:
            _, _, latest, turn = heapq.heappop(self._waiting)
            if turn.done():
                continue
            self._live -= 1
            left = latest - asyncio.get_running_loop().time()
            if left < self._service_seconds / 2:
                error = not_run(Reason.OVERLOADED, "its time passed in the queue")
                turn.set_exception(error)
                continue
            self._running += 1
            turn.set_result(None)

    def _note_change(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self._measured_at:
            self._started = self._measured_at = now
        self._area += self.occupied * (now - self._measured_at)
        self._measured_at = now
