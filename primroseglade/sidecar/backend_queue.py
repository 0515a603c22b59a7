"""Queues calls to the backend server and refuses those that cannot be served in time.

The queue does no network I/O: tasks call `acquire` to wait for a slot, and then send
their calls themselves. A call is nested if a backend server makes it while serving
another call.
"""

import asyncio
import heapq
import itertools
import time
from collections.abc import Sequence, Set

from ..verdicts import not_run, Reason, Refusal
from .queue_order import compute_sort_time, get_urgency_level
from .queue_statistics import QueueStatistics
from .request_context import RequestContext
from .start_limit import StartLimit
from .workspace_shares import WorkspaceShares

# Concurrency limit, as a fraction of the backend server's slots. A backend server slows
# down when nearly all of its slots are taken: using the last ones reduces throughput.
CONCURRENCY_LIMIT_RATIO = 15 / 16
# Weight of a new service time in the moving averages, which cover about 30 calls.
SERVICE_TIME_SMOOTHING = 1 / 32
# Assumed service time before the first answer.
INITIAL_SERVICE_SECONDS = 0.03
# The slot of an unanswered call is given to the next queued call after this many times
# the average service time of answered calls: the answer may be lost and the backend
# server free. Few calls run that long; if one does, the backend server itself queues
# the next call. The unanswered call still waits for its answer. It counts as a failure
# only if it is canceled much later (`UNANSWERED_SERVICE_TIMES` in `backend.py`).
MAX_SLOT_SERVICE_TIMES = 2.0
# Queue length, as a multiple of the concurrency limit, at which calls that are not
# nested are refused: early, while another backend server or a retry can still serve
# them in time.
MAX_QUEUED_PER_SLOT = 3.0
# The same for nested calls. Refusing them wastes the work of the services above, so
# this value is higher and only bounds memory.
MAX_NESTED_QUEUED_PER_SLOT = 30.0
# Maximum response time of a nested call, its wait included: its latency target, or this
# many average service times if they are longer. A request makes several nested calls in
# sequence. If each of them waited nearly until its deadline, the request would miss its
# own, and a backend server with a long queue would only work on requests that fail.
MAX_NESTED_RESPONSE_SERVICE_TIMES = 2.0


# Maximum number of queued calls that are sampled to estimate how many precede a new
# one, and number of queued calls up to which all are compared.
MAX_SAMPLED_CALLS = 64
MAX_COMPARED_CALLS = 15


class BackendQueue:
    """Limits the calls that run on the backend server and queues the others.

    Queued calls are ordered by urgency and by the time left to their latency targets
    (`queue_order.py`). A call that cannot meet its deadline is refused on arrival,
    while another backend server may still serve it, instead of when its deadline is
    near.

    Args:
        slots: Calls that the backend server can run concurrently. The concurrency limit
            is a fraction of them (`CONCURRENCY_LIMIT_RATIO`).
        start_limits: Limits on the calls that start, all of which must be met.
    """

    def __init__(self, slots: int, start_limits: Sequence[StartLimit] = ()):
        self._start_limits = start_limits
        # uvloop returns no timer for a delay of less than a millisecond, so that the
        # time is kept here.
        self._start_timer: asyncio.Handle | None = None
        self._start_timer_at = 0.0
        self._concurrency_limit = 1
        self._running = 0
        # Heap of queued calls: sort time, entry ID, deadline, and the future that
        # receives the slot's ID.
        self._waiters: list[tuple[float, int, float, asyncio.Future[int]]] = []
        self._ids = itertools.count()
        self._queued = 0
        # Moving averages: the service time of all calls, the time for which a call
        # holds a slot, the part of that for which the backend server works on it, and
        # the service time of answered calls.
        self._service_seconds = INITIAL_SERVICE_SECONDS
        self._slot_seconds = INITIAL_SERVICE_SECONDS
        self._work_seconds = INITIAL_SERVICE_SECONDS
        self._completed_service_seconds = INITIAL_SERVICE_SECONDS
        # Time at which each slot was acquired, by ID, the oldest first; and IDs of
        # reclaimed slots whose calls still wait for an answer.
        self._slot_acquired_at: dict[int, float] = {}
        self._reclaimed_slots: set[int] = set()
        self._has_measurement = False
        self.statistics = QueueStatistics()
        self._shares = WorkspaceShares()
        # Integral of the calls in flight over time, since the start of the average.
        self._in_flight_integral = 0.0
        self._integrated_until = 0.0
        self._average_started_at = 0.0
        self.resize(slots)

    @property
    def concurrency_limit(self) -> int:
        """Maximum number of concurrent calls: a fraction of the slots."""
        return self._concurrency_limit

    @property
    def in_flight(self) -> int:
        """Number of running and queued calls."""
        return self._running + self._queued

    @property
    def queued(self) -> int:
        """Number of queued calls."""
        return self._queued

    @property
    def reclaimed_slots(self) -> Set[int]:
        """IDs of slots whose calls no longer count as running."""
        return self._reclaimed_slots

    @property
    def running(self) -> int:
        """Number of running calls, except those whose slot was reclaimed."""
        return self._running

    @property
    def has_measurement(self) -> bool:
        """Whether the service time of any call has been measured."""
        return self._has_measurement

    @property
    def service_seconds(self) -> float:
        """Average service time of a call, including calls without an answer."""
        return self._service_seconds

    @property
    def slot_seconds(self) -> float:
        """Average time for which a call holds a slot."""
        return self._slot_seconds

    @property
    def work_seconds(self) -> float:
        """Average time for which the backend server works on a call.

        This is the time for which the call holds a slot, less the time for which it
        waits for calls that the backend server makes for it.
        """
        return self._work_seconds

    def resize(self, slots: int) -> None:
        """Set the number of slots, and start queued calls on any that are added."""
        self._concurrency_limit = max(1, int(slots * CONCURRENCY_LIMIT_RATIO))
        self.start_queued_calls()

    def take_average_in_flight(self) -> float:
        """Return the average number of calls in flight, and start a new average.

        The average covers the time since the previous invocation of this method. Slots
        of calls whose answer is considered lost are reclaimed first.
        """
        now = time.monotonic()
        self._reclaim_unanswered_slots(now)
        self._integrate_in_flight(now)
        elapsed_seconds = now - self._average_started_at
        average = (
            self._in_flight_integral / elapsed_seconds
            if elapsed_seconds > 0
            else float(self.in_flight)
        )
        self._in_flight_integral = 0.0
        self._average_started_at = now
        return average

    async def acquire(
        self,
        latency_target: float,
        remaining: float,
        nested: bool,
        context: RequestContext | None = None,
        remaining_calls: int = 0,
    ) -> int:
        """Wait for a slot and return its ID.

        Args:
            latency_target: Seconds within which the answer should arrive.
            remaining: Seconds until the call's deadline.
            nested: Whether another backend server makes the call.
            context: The request that the call belongs to; None if unknown.
            remaining_calls: Expected number of further calls on the same route in the
                same run of a backend server.

        Raises:
            Refusal: The queue is full, or the call cannot meet its deadline; the
                verdict is `NOT_RUN`.
        """
        now = time.monotonic()
        self._integrate_in_flight(now)
        if (
            self._running < self._concurrency_limit
            and not self._queued
            and not self._get_start_delay()
        ):
            return self._take_slot(now)
        sort_time = compute_sort_time(now, latency_target, context, remaining_calls)
        if context is not None:
            sort_time += self._shares.get_delay(context.workspace, now)
        calls_ahead = self._count_ahead(sort_time)
        max_response_seconds = remaining
        if nested:
            max_response_seconds = self._limit_nested_response(
                latency_target, remaining
            )
        level = get_urgency_level(context.rank) if context is not None else None
        try:
            # Calls of less urgent requests must not fill the queue for more urgent
            # ones.
            self._check_length(
                nested, calls_ahead if context is not None else self._queued
            )
            self._check_wait(calls_ahead, max_response_seconds)
            if context is not None:
                self._shares.record_call(
                    context.workspace,
                    context.weight,
                    self._service_seconds / self._concurrency_limit,
                    now,
                )
            slot = await self._wait_for_slot(sort_time, now, remaining)
        except Refusal:
            self.statistics.record_refusal(level)
            raise
        self.statistics.record_start(level, time.monotonic() - now)
        return slot

    def _limit_nested_response(self, latency_target: float, remaining: float) -> float:
        """Return the seconds in which a nested call has to be answered."""
        max_nested_seconds = max(
            latency_target, MAX_NESTED_RESPONSE_SERVICE_TIMES * self._service_seconds
        )
        return min(remaining, max_nested_seconds)

    def _check_length(self, nested: bool, counted_calls: int) -> None:
        """Refuse a call if too many calls are queued.

        Args:
            nested: Whether another backend server makes the call.
            counted_calls: Queued calls that count against it.
        """
        max_queued_per_slot = (
            MAX_NESTED_QUEUED_PER_SLOT if nested else MAX_QUEUED_PER_SLOT
        )
        if counted_calls < self._concurrency_limit * max_queued_per_slot:
            return
        strictest_limit = self._find_strictest_limit(self._queued)
        raise not_run(
            strictest_limit.reason if strictest_limit else Reason.OVERLOADED,
            f"queue is full: {counted_calls} calls ahead",
        )

    def _check_wait(self, calls_ahead: int, max_response_seconds: float) -> None:
        """Refuse a call that would be answered too late.

        Args:
            calls_ahead: Queued calls that start before it.
            max_response_seconds: Seconds in which it has to be answered.
        """
        expected_wait = (
            (calls_ahead + 1) * self._service_seconds / self._concurrency_limit
        )
        strictest_limit = self._find_strictest_limit(calls_ahead)
        start_delay = (
            strictest_limit.get_start_delay(calls_ahead) if strictest_limit else 0.0
        )
        if (
            strictest_limit is not None
            and start_delay > expected_wait
            and start_delay + self._service_seconds > max_response_seconds
        ):
            raise not_run(
                strictest_limit.reason,
                f"{strictest_limit.describe()}: {calls_ahead} calls ahead, "
                f"start in {start_delay:.1f} s",
            )
        if expected_wait + self._service_seconds > max_response_seconds:
            raise not_run(
                Reason.OVERLOADED,
                f"cannot meet its deadline: {calls_ahead} calls ahead",
            )

    async def _wait_for_slot(
        self, sort_time: float, now: float, remaining: float
    ) -> int:
        """Queue a call until it gets a slot, and return the slot's ID.

        Raises:
            Refusal: There was no slot in time.
        """
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[int] = loop.create_future()
        entry = (sort_time, next(self._ids), now + remaining, waiter)
        heapq.heappush(self._waiters, entry)
        self._queued += 1
        self._schedule_start()
        # Before the caller times out: a timeout does not show whether the call ran.
        refuse_at = now + remaining - self._service_seconds / 2
        timer = loop.call_at(refuse_at, self._refuse_expired, waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
                # The slot was assigned just before the caller canceled.
                self.release(waiter.result(), 0.0, completed=False)
            elif waiter.cancelled() or not waiter.done():
                waiter.cancel()
                self._queued -= 1
            raise
        finally:
            timer.cancel()

    def record_start(self, slot: int | None = None) -> None:
        """Record that a request is sent to the backend server.

        Args:
            slot: ID of the call's slot; None for a request without one, which is not
                queued.
        """
        for limit in self._start_limits:
            limit.record_start(slot)

    def refuse_queued_calls(self, reason: Reason, detail: str) -> None:
        """Refuse all queued calls as not run, so that they are sent elsewhere."""
        waiters, self._waiters = self._waiters, []
        for _, _, _, waiter in waiters:
            if not waiter.done():
                self._queued -= 1
                waiter.set_exception(not_run(reason, detail))

    def release(
        self,
        slot: int,
        seconds: float,
        completed: bool = True,
        blocked_seconds: float = 0.0,
    ) -> None:
        """Release a slot and record the service time of its call.

        Args:
            slot: ID that `acquire` returned.
            seconds: Seconds since the call was started.
            completed: Whether the call got an answer. If not, its service time counts
                only if it is above the average. If such times never counted, a backend
                server that is slower than its callers' timeouts, and so answers no
                call, would look as fast as before.
            blocked_seconds: Time for which the call waited for calls that the backend
                server made for it.
        """
        self._integrate_in_flight(time.monotonic())
        del self._slot_acquired_at[slot]
        for limit in self._start_limits:
            limit.cancel_start(slot)
        self._record_service_time(seconds, completed, blocked_seconds)
        if slot in self._reclaimed_slots:
            self._reclaimed_slots.discard(slot)
            return
        self._running -= 1
        self.start_queued_calls()

    def _record_service_time(
        self, seconds: float, completed: bool, blocked_seconds: float
    ) -> None:
        if not completed and seconds <= self._service_seconds:
            return
        weight = SERVICE_TIME_SMOOTHING if self._has_measurement else 1.0
        self._service_seconds += weight * (seconds - self._service_seconds)
        if completed:
            self._completed_service_seconds += weight * (
                seconds - self._completed_service_seconds
            )
        held_seconds = min(
            seconds, MAX_SLOT_SERVICE_TIMES * self._completed_service_seconds
        )
        self._slot_seconds += weight * (held_seconds - self._slot_seconds)
        worked_seconds = min(held_seconds, max(0.0, seconds - blocked_seconds))
        self._work_seconds += weight * (worked_seconds - self._work_seconds)
        self._has_measurement = True

    def _get_start_delay(self, calls_ahead: int = 0) -> float:
        """Return the seconds until all limits let a call start."""
        delay = 0.0
        for limit in self._start_limits:
            delay = max(delay, limit.get_start_delay(calls_ahead))
        return delay

    def _find_strictest_limit(self, calls_ahead: int) -> StartLimit | None:
        """Return the limit that delays a call most, or None if none delays it."""
        strictest: StartLimit | None = None
        longest_delay = 0.0
        for limit in self._start_limits:
            delay = limit.get_start_delay(calls_ahead)
            if delay > longest_delay:
                strictest, longest_delay = limit, delay
        return strictest

    def _schedule_start(self) -> None:
        """Start the next queued call as soon as all limits let it start.

        Without a delay, the call starts when a slot is released.
        """
        delay = self._get_start_delay()
        if not delay:
            return
        start_at = time.monotonic() + delay
        if self._start_timer is not None:
            if self._start_timer_at <= start_at:
                return
            # A limit has been raised.
            self._start_timer.cancel()
        loop = asyncio.get_running_loop()
        self._start_timer = loop.call_later(delay, self._start_after_delay)
        self._start_timer_at = start_at

    def _start_after_delay(self) -> None:
        self._start_timer = None
        self.start_queued_calls()

    def _take_slot(self, now: float) -> int:
        slot = next(self._ids)
        for limit in self._start_limits:
            limit.reserve_start(slot)
        self._slot_acquired_at[slot] = now
        self._running += 1
        return slot

    def _reclaim_unanswered_slots(self, now: float) -> None:
        """Free the slots of calls whose answer is considered lost."""
        if not self._has_measurement:
            return
        acquired_before = now - MAX_SLOT_SERVICE_TIMES * self._completed_service_seconds
        for slot, acquired_at in self._slot_acquired_at.items():
            if acquired_at > acquired_before:
                break
            if slot not in self._reclaimed_slots:
                self._reclaimed_slots.add(slot)
                self._running -= 1
        self.start_queued_calls()

    def _refuse_expired(self, waiter: "asyncio.Future[int]") -> None:
        if not waiter.done():
            self._queued -= 1
            error = not_run(Reason.OVERLOADED, "no slot in time to meet the deadline")
            waiter.set_exception(error)

    def _count_ahead(self, sort_time: float) -> int:
        """Return about how many queued calls precede a call with this sort time."""
        if len(self._waiters) > 2 * self._queued + MAX_SAMPLED_CALLS:
            # Calls that were canceled or refused stay in the heap until they are
            # popped, those of less urgent requests for long.
            self._waiters = [entry for entry in self._waiters if not entry[3].done()]
            heapq.heapify(self._waiters)
        if self._queued <= MAX_COMPARED_CALLS:
            return sum(
                entry[0] <= sort_time for entry in self._waiters if not entry[3].done()
            )
        # Estimated from a sample: scanning a long queue for each call is too slow. The
        # whole heap is sampled, because the earliest times are near its beginning.
        step = len(self._waiters) // MAX_SAMPLED_CALLS + 1
        sample = [entry for entry in self._waiters[::step] if not entry[3].done()]
        calls_ahead = sum(entry[0] <= sort_time for entry in sample)
        return int(calls_ahead / max(1, len(sample)) * self._queued)

    def start_queued_calls(self) -> None:
        """Start the queued calls for which slots are free, in their order."""
        while self._waiters and self._running < self._concurrency_limit:
            if self._get_start_delay():
                self._schedule_start()
                break
            _, _, deadline, waiter = heapq.heappop(self._waiters)
            if waiter.done():
                continue
            self._queued -= 1
            now = time.monotonic()
            remaining = deadline - now
            if remaining < self._service_seconds / 2:
                error = not_run(
                    Reason.OVERLOADED, "no slot in time to meet the deadline"
                )
                waiter.set_exception(error)
                continue
            waiter.set_result(self._take_slot(now))

    def _integrate_in_flight(self, now: float) -> None:
        if not self._integrated_until:
            self._average_started_at = self._integrated_until = now
        self._in_flight_integral += self.in_flight * (now - self._integrated_until)
        self._integrated_until = now
