"""Which call goes next to the backend server, and which is told that there is no room.

It needs no network: callers of `acquire` are tasks, and time comes from the loop.
"""

import asyncio
import heapq
import itertools
import time

from ..verdicts import not_run, Reason

# Backend servers slow down when nearly all of their slots are taken: the last ones cost
# more than they bring.
USED_SLOT_RATIO = 15 / 16
# Calls go in the order in which they came, with a handicap of so many times their
# target: one with a short target goes before another that has not waited for long.
LATENCY_TARGET_WEIGHT = 3.0
# Weight of a new measurement of the usual time of work, about the last 30 calls.
SERVICE_TIME_SMOOTHING = 1 / 32
# Before the first answer, in seconds.
INITIAL_SERVICE_SECONDS = 0.03
# Times the usual work after which a call without an answer holds its turn no longer.
# An answer that got lost leaves its backend server free. Few calls work for so long,
# and backend servers queue those.
MAX_SLOT_SERVICE_TIMES = 2.0
# Calls of callers that wait for one that is at work, at the most. They are refused
# early, while they may still be served elsewhere or come back in time.
MAX_QUEUED_PER_SLOT = 3.0
# Calls of other backend servers, likewise: refused, they waste the work above them, so
# that more of them wait; this bounds memory.
MAX_NESTED_QUEUED_PER_SLOT = 30.0
# They wait until their answer would be late, or for so many times the usual work. A
# request makes several calls one after the other: where each waits for all of its own
# time, their sum is more than the request has, and a backend server with a long queue
# works for requests that all fail.
MAX_NESTED_WAIT_SERVICE_TIMES = 2.0


class BackendQueue:
    """Lets as many calls through as the backend server works on well.

    The one whose answer would be late first goes first. What cannot be
    served in time is refused when it comes, not when its time is up: its caller may
    still be served elsewhere.

    Args:
        slots: Calls that the backend server works on at once.
    """

    def __init__(self, slots: int):
        self._concurrency_limit = 1
        self._running = 0
        self._waiters: list[tuple[float, int, float, asyncio.Future[int]]] = []
        self._ids = itertools.count()
        self._queued = 0
        self._service_seconds = INITIAL_SERVICE_SECONDS
        self._slot_seconds = INITIAL_SERVICE_SECONDS
        self._completed_service_seconds = INITIAL_SERVICE_SECONDS
        # When the calls that are at work got their turn, the oldest first, and those of
        # them that hold it no longer.
        self._slot_acquired_at: dict[int, float] = {}
        self._reclaimed_slots: set[int] = set()
        self._has_measurement = False
        self._in_flight_integral = 0.0
        self._integrated_until = 0.0
        self._average_started_at = 0.0
        self.resize(slots)

    @property
    def concurrency_limit(self) -> int:
        """Calls at work at once."""
        return self._concurrency_limit

    @property
    def in_flight(self) -> int:
        """Calls at work and waiting."""
        return self._running + self._queued

    @property
    def running(self) -> int:
        """Calls at work."""
        return self._running

    @property
    def has_measurement(self) -> bool:
        """Whether any call has ended, so that the time of work is known."""
        return self._has_measurement

    @property
    def service_seconds(self) -> float:
        """Usual time of work of a call."""
        return self._service_seconds

    @property
    def slot_seconds(self) -> float:
        """Usual time for which a call holds its turn."""
        return self._slot_seconds

    def resize(self, slots: int) -> None:
        """Take another number of slots."""
        self._concurrency_limit = max(1, int(slots * USED_SLOT_RATIO))
        self._start_queued_calls()

    def take_average_in_flight(self) -> float:
        """Return the calls at work and waiting since the last time, on average."""
        now = time.monotonic()
        self._reclaim_unanswered_slots(now)
        self._integrate_in_flight(now)
        span = now - self._average_started_at
        average = self._in_flight_integral / span if span > 0 else float(self.in_flight)
        self._in_flight_integral = 0.0
        self._average_started_at = now
        return average

    async def acquire(
        self, latency_target: float, remaining: float, nested: bool
    ) -> int:
        """Wait for a turn, and return its number.

        Args:
            target: Seconds until the answer is late.
            remaining: Seconds in which the call must be done.
            nested: Whether another backend server makes the call.

        Raises:
            Refusal: ``not run``: no room in time.
        """
        now = time.monotonic()
        self._integrate_in_flight(now)
        if self._running < self._concurrency_limit and not self._queued:
            return self._take_slot(now)
        max_queued_per_slot = (
            MAX_NESTED_QUEUED_PER_SLOT if nested else MAX_QUEUED_PER_SLOT
        )
        if self._queued >= self._concurrency_limit * max_queued_per_slot:
            raise not_run(Reason.OVERLOADED, f"{self._queued} calls wait already")
        sort_time = now + LATENCY_TARGET_WEIGHT * max(0.0, latency_target)
        calls_ahead = self._count_ahead(sort_time)
        expected_wait = (
            (calls_ahead + 1) * self._service_seconds / self._concurrency_limit
        )
        max_response_seconds = remaining
        if nested:
            max_nested_seconds = max(
                latency_target, MAX_NESTED_WAIT_SERVICE_TIMES * self._service_seconds
            )
            max_response_seconds = min(remaining, max_nested_seconds)
        if expected_wait + self._service_seconds > max_response_seconds:
            raise not_run(Reason.OVERLOADED, f"{calls_ahead} calls go before it")
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[int] = loop.create_future()
        entry = (sort_time, next(self._ids), now + remaining, waiter)
        heapq.heappush(self._waiters, entry)
        self._queued += 1
        # Ahead of the caller's own timeout, which would not know whether it ran.
        refuse_at = now + remaining - self._service_seconds / 2
        timer = loop.call_at(refuse_at, self._refuse_expired, waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
                # Its turn came in the moment in which its caller left.
                self.release(waiter.result(), 0.0, completed=False)
            elif waiter.cancelled() or not waiter.done():
                waiter.cancel()
                self._queued -= 1
            raise
        finally:
            timer.cancel()

    def release(self, slot: int, seconds: float, completed: bool = True) -> None:
        """Give a turn back.

        Args:
            number: Of the turn.
            seconds: Time of work so far.
            completed: Whether the call ended; otherwise its work would have taken
                longer. A backend server that is slower than its callers' timeouts ends
                none, and would look as fast as it was before.
        """
        self._integrate_in_flight(time.monotonic())
        del self._slot_acquired_at[slot]
        self._record_service_time(seconds, completed)
        if slot in self._reclaimed_slots:
            self._reclaimed_slots.discard(slot)
            return
        self._running -= 1
        self._start_queued_calls()

    def _record_service_time(self, seconds: float, completed: bool) -> None:
        if not completed and seconds <= self._service_seconds:
            return
        weight = SERVICE_TIME_SMOOTHING if self._has_measurement else 1.0
        self._service_seconds += weight * (seconds - self._service_seconds)
        if completed:
            self._completed_service_seconds += weight * (
                seconds - self._completed_service_seconds
            )
        held = min(seconds, MAX_SLOT_SERVICE_TIMES * self._completed_service_seconds)
        self._slot_seconds += weight * (held - self._slot_seconds)
        self._has_measurement = True

    def _take_slot(self, now: float) -> int:
        slot = next(self._ids)
        self._slot_acquired_at[slot] = now
        self._running += 1
        return slot

    def _reclaim_unanswered_slots(self, now: float) -> None:
        """Let others go in place of calls that wait for an answer in vain."""
        if not self._has_measurement:
            return
        acquired_before = now - MAX_SLOT_SERVICE_TIMES * self._completed_service_seconds
        for slot, acquired_at in self._slot_acquired_at.items():
            if acquired_at > acquired_before:
                break
            if slot not in self._reclaimed_slots:
                self._reclaimed_slots.add(slot)
                self._running -= 1
        self._start_queued_calls()

    def _refuse_expired(self, waiter: "asyncio.Future[int]") -> None:
        if not waiter.done():
            self._queued -= 1
            error = not_run(Reason.OVERLOADED, "its time passed in the queue")
            waiter.set_exception(error)

    def _count_ahead(self, sort_time: float) -> int:
        if self._queued < 16:
            return sum(entry[0] <= sort_time for entry in self._waiters)
        # Good enough, and cheaper than walking a long queue for each call.
        sample = self._waiters[:64]
        fraction_ahead = sum(entry[0] <= sort_time for entry in sample) / len(sample)
        return int(fraction_ahead * self._queued)

    def _start_queued_calls(self) -> None:
        while self._waiters and self._running < self._concurrency_limit:
            _, _, deadline, waiter = heapq.heappop(self._waiters)
            if waiter.done():
                continue
            self._queued -= 1
            now = time.monotonic()
            remaining = deadline - now
            if remaining < self._service_seconds / 2:
                error = not_run(Reason.OVERLOADED, "its time passed in the queue")
                waiter.set_exception(error)
                continue
            waiter.set_result(self._take_slot(now))

    def _integrate_in_flight(self, now: float) -> None:
        if not self._integrated_until:
            self._average_started_at = self._integrated_until = now
        self._in_flight_integral += self.in_flight * (now - self._integrated_until)
        self._integrated_until = now
