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
USED_SLOTS = 15 / 16
# Calls go in the order in which they came, with a handicap of so many times their
# target: one with a short target goes before another that has not waited for long.
TARGET_WEIGHT = 3.0
# Weight of a new measurement of the usual time of work, about the last 30 calls.
SMOOTHING = 1 / 32
# Before the first answer, in seconds.
FIRST_SERVICE_SECONDS = 0.03
# Times the usual work after which a call without an answer holds its turn no longer.
# An answer that got lost leaves its backend server free. Few calls work for so long,
# and backend servers queue those.
HOLD_FACTOR = 2.0
# Calls of callers that wait for one that is at work, at the most. They are refused
# early, while they may still be served elsewhere or come back in time.
WAITING_A_SLOT = 3.0
# Calls of other backend servers, likewise: refused, they waste the work above them, so
# that more of them wait; this bounds memory.
NESTED_WAITING_A_SLOT = 30.0
# They wait until their answer would be late, or for so many times the usual work. A
# request makes several calls one after the other: where each waits for all of its own
# time, their sum is more than the request has, and a backend server with a long queue
# works for requests that all fail.
NESTED_WORK_FACTOR = 2.0


class BackendQueue:
    """Lets as many calls through as the backend server works on well.

    The one whose answer would be late first goes first. What cannot be
    served in time is refused when it comes, not when its time is up: its caller may
    still be served elsewhere.

    Args:
        slots: Calls that the backend server works on at once.
    """

    def __init__(self, slots: int):
        self._limit = 1
        self._running = 0
        self._waiting: list[tuple[float, int, float, asyncio.Future[int]]] = []
        self._numbers = itertools.count()
        self._live = 0
        self._service_seconds = FIRST_SERVICE_SECONDS
        self._turn_seconds = FIRST_SERVICE_SECONDS
        self._whole_seconds = FIRST_SERVICE_SECONDS
        # When the calls that are at work got their turn, the oldest first, and those of
        # them that hold it no longer.
        self._turns: dict[int, float] = {}
        self._silent: set[int] = set()
        self._measured = False
        self._area = 0.0
        self._measured_at = 0.0
        self._started = 0.0
        self.resize(slots)

    @property
    def concurrency_limit(self) -> int:
        """Calls at work at once."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Calls at work and waiting."""
        return self._running + self._live

    @property
    def running(self) -> int:
        """Calls at work."""
        return self._running

    @property
    def measured(self) -> bool:
        """Whether any call has ended, so that the time of work is known."""
        return self._measured

    @property
    def service_seconds(self) -> float:
        """Usual time of work of a call."""
        return self._service_seconds

    @property
    def slot_seconds(self) -> float:
        """Usual time for which a call holds its turn."""
        return self._turn_seconds

    def resize(self, slots: int) -> None:
        """Take another number of slots."""
        self._limit = max(1, int(slots * USED_SLOTS))
        self._let_go()

    def take_average_in_flight(self) -> float:
        """Return the calls at work and waiting since the last time, on average."""
        now = time.monotonic()
        self._end_silent_turns(now)
        self._note_change(now)
        span = now - self._started
        average = self._area / span if span > 0 else float(self.in_flight)
        self._area = 0.0
        self._started = now
        return average

    async def acquire(self, target: float, remaining: float, nested: bool) -> int:
        """Wait for a turn, and return its number.

        Args:
            target: Seconds until the answer is late.
            remaining: Seconds in which the call must be done.
            nested: Whether another backend server makes the call.

        Raises:
            Refusal: ``not run``: no room in time.
        """
        now = time.monotonic()
        self._note_change(now)
        if self._running < self._limit and not self._live:
            return self._start_turn(now)
        most = NESTED_WAITING_A_SLOT if nested else WAITING_A_SLOT
        if self._live >= self._limit * most:
            raise not_run(Reason.OVERLOADED, f"{self._live} calls wait already")
        late_at = now + TARGET_WEIGHT * max(0.0, target)
        ahead = self._count_ahead(late_at)
        wait = (ahead + 1) * self._service_seconds / self._limit
        longest = remaining
        if nested:
            worth_waiting = max(target, NESTED_WORK_FACTOR * self._service_seconds)
            longest = min(remaining, worth_waiting)
        if wait + self._service_seconds > longest:
            raise not_run(Reason.OVERLOADED, f"{ahead} calls go before it")
        loop = asyncio.get_running_loop()
        slot: asyncio.Future[int] = loop.create_future()
        entry = (late_at, next(self._numbers), now + remaining, slot)
        heapq.heappush(self._waiting, entry)
        self._live += 1
        # Ahead of the caller's own timeout, which would not know whether it ran.
        latest = now + remaining - self._service_seconds / 2
        timer = loop.call_at(latest, self._expire, slot)
        try:
            return await slot
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled() and slot.exception() is None:
                # Its turn came in the moment in which its caller left.
                self.release(slot.result(), 0.0, completed=False)
            elif slot.cancelled() or not slot.done():
                slot.cancel()
                self._live -= 1
            raise
        finally:
            timer.cancel()

    def release(self, number: int, seconds: float, completed: bool = True) -> None:
        """Give a turn back.

        Args:
            number: Of the turn.
            seconds: Time of work so far.
            completed: Whether the call ended; otherwise its work would have taken
                longer. A backend server that is slower than its callers' timeouts ends
                none, and would look as fast as it was before.
        """
        self._note_change(time.monotonic())
        del self._turns[number]
        self._measure(seconds, completed)
        if number in self._silent:
            self._silent.discard(number)
            return
        self._running -= 1
        self._let_go()

    def _measure(self, seconds: float, completed: bool) -> None:
        if not completed and seconds <= self._service_seconds:
            return
        weight = SMOOTHING if self._measured else 1.0
        self._service_seconds += weight * (seconds - self._service_seconds)
        if completed:
            self._whole_seconds += weight * (seconds - self._whole_seconds)
        held = min(seconds, HOLD_FACTOR * self._whole_seconds)
        self._turn_seconds += weight * (held - self._turn_seconds)
        self._measured = True

    def _start_turn(self, now: float) -> int:
        number = next(self._numbers)
        self._turns[number] = now
        self._running += 1
        return number

    def _end_silent_turns(self, now: float) -> None:
        """Let others go in place of calls that wait for an answer in vain."""
        if not self._measured:
            return
        latest = now - HOLD_FACTOR * self._whole_seconds
        for number, started in self._turns.items():
            if started > latest:
                break
            if number not in self._silent:
                self._silent.add(number)
                self._running -= 1
        self._let_go()

    def _expire(self, slot: "asyncio.Future[int]") -> None:
        if not slot.done():
            self._live -= 1
            error = not_run(Reason.OVERLOADED, "its time passed in the queue")
            slot.set_exception(error)

    def _count_ahead(self, late_at: float) -> int:
        if self._live < 16:
            return sum(entry[0] <= late_at for entry in self._waiting)
        # Good enough, and cheaper than walking a long queue for each call.
        sample = self._waiting[:64]
        share = sum(entry[0] <= late_at for entry in sample) / len(sample)
        return int(share * self._live)

    def _let_go(self) -> None:
        while self._waiting and self._running < self._limit:
            _, _, latest, slot = heapq.heappop(self._waiting)
            if slot.done():
                continue
            self._live -= 1
            now = time.monotonic()
            left = latest - now
            if left < self._service_seconds / 2:
                error = not_run(Reason.OVERLOADED, "its time passed in the queue")
                slot.set_exception(error)
                continue
            slot.set_result(self._start_turn(now))

    def _note_change(self, now: float) -> None:
        if not self._measured_at:
            self._started = self._measured_at = now
        self._area += self.in_flight * (now - self._measured_at)
        self._measured_at = now
