"""Queue that admits calls to a backend server."""

import asyncio
import collections
import random
import time
from collections.abc import Callable, Iterator

from ..calls.call import Context
from ..verdicts import not_run, Reason, Refusal
from .concurrency import ConcurrencyLimit
from .importance import Importance

MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 5.0
# Lower bound of the maximum wait, as a multiple of the latency: a shorter wait would
# expire every call before a slot becomes free.
MIN_WAIT_LATENCY_RATIO = 1.5
# With less than this fraction of the smoothed latency left, a call cannot meet its
# deadline. Below 1, since some calls are faster.
MIN_REMAINING_LATENCY_RATIO = 0.9

Refuse = Callable[[Context], Refusal | None]


class Waiter:
    """A queued call, and the future that completes when it gets a slot."""

    __slots__ = ("arrived_at", "context", "shed_order", "slot")

    def __init__(
        self, context: Context, slot: "asyncio.Future[None]", arrived_at: float
    ):
        self.context = context
        self.slot = slot
        self.arrived_at = arrived_at
        self.shed_order = hash_root(context.root)

    @property
    def is_waiting(self) -> bool:
        """Whether the call is still queued."""
        return not self.slot.done()


def hash_root(root: str) -> int:
    """Return a root call's position in the shedding order.

    Every hop sheds the calls with the highest value first. If each hop had an order of
    its own, a call over five hops that each shed one call in five would be served one
    time in three; the other two times it would have used slots for nothing.
    """
    return int(root[-8:], 16)


class AdmissionQueue:
    """Admits calls up to the concurrency limit; others are queued briefly or refused.

    Higher importance classes go first. Within a class, workspaces are served round
    robin, so that one with many calls cannot starve one with few. Within a workspace
    the oldest call goes first. Once the queue has been non-empty for longer than the
    maximum wait (a standing queue), the call that is last in the shedding order, which
    all hops share, goes first.

    Args:
        limit: Limits the calls in flight.
        capacity: Maximum number of queued calls.
        max_wait_seconds: Time in the queue after which a call is refused.
    """

    def __init__(self, limit: ConcurrencyLimit, capacity: int, max_wait_seconds: float):
        self._limit = limit
        self._capacity = capacity
        self._max_wait_seconds = max_wait_seconds
        self._in_flight = 0
        self._size = 0
        self._standing_since: float | None = None
        self._queues: dict[
            Importance, collections.OrderedDict[str, collections.deque[Waiter]]
        ] = {importance: collections.OrderedDict() for importance in Importance}

    @property
    def in_flight(self) -> int:
        """Number of admitted calls that have not completed."""
        return self._in_flight

    @property
    def size(self) -> int:
        """Number of queued calls."""
        return self._size

    @property
    def limit(self) -> ConcurrencyLimit:
        """The concurrency limit."""
        return self._limit

    def replace_limit(self, limit: ConcurrencyLimit) -> None:
        """Replace the concurrency limit, for example for a new backend server."""
        self._limit = limit
        self._admit_waiters()

    async def acquire(self, context: Context) -> float:
        """Wait for a slot.

        Returns:
            Seconds in the queue.

        Raises:
            Refusal: ``not run``: overloaded, or the deadline cannot be met.
        """
        if context.remaining <= 0:
            raise not_run(Reason.DEADLINE_EXCEEDED, "the deadline had passed")
        if self._in_flight < self._limit.value and not self._size:
            self._in_flight += 1
            return 0.0
        if self._size >= self._capacity:
            self._shed_one(context)
        return await self._wait(context)

    def release(self) -> None:
        """Release a slot."""
        self._in_flight -= 1
        self._admit_waiters()

    def refuse_where(self, refuse: Refuse) -> None:
        """Refuse the queued calls for which ``refuse`` returns a refusal."""
        for waiter in list(self._iterate_waiters()):
            refusal = refuse(waiter.context)
            if refusal is not None and waiter.is_waiting:
                self._remove(waiter)
                waiter.slot.set_exception(refusal)

    def estimate_retry_after(self) -> float:
        """Estimate seconds until the queue is empty, with jitter to spread retries."""
        seconds_per_call = self._limit.latency / self._limit.value
        drain_seconds = self._size * seconds_per_call
        base = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, drain_seconds))
        return base * random.uniform(1.0, 2.0)

    async def _wait(self, context: Context) -> float:
        loop = asyncio.get_running_loop()
        now = time.monotonic()
        max_wait = self._get_max_wait(context)
        waiter = Waiter(context, loop.create_future(), now)
        self._add(waiter)
        timer = loop.call_later(max_wait, self._expire, waiter)
        try:
            await waiter.slot
        except asyncio.CancelledError:
            self._handle_cancellation(waiter)
            raise
        finally:
            timer.cancel()
        return time.monotonic() - now

    def _get_max_wait(self, context: Context) -> float:
        """Return the maximum wait of a call in seconds.

        Most callers do better with an early refusal and a retry. Two kinds of calls
        wait as long as they can still meet their deadline: critical calls, which are
        few and queue only behind each other, and a workspace's only queued call, which
        goes next when the round robin reaches the workspace. With a shorter wait, a
        workspace with few calls would lose them while those with many are served.
        """
        is_only_call = context.workspace not in self._queues[context.importance]
        if is_only_call or context.importance is Importance.CRITICAL:
            return max(0.0, context.remaining - self._limit.latency)
        min_wait = MIN_WAIT_LATENCY_RATIO * self._limit.latency
        return min(max(self._max_wait_seconds, min_wait), context.remaining)

    def _handle_cancellation(self, waiter: Waiter) -> None:
        """Remove a call whose caller disconnected, or pass on its slot."""
        if waiter.slot.done() and not waiter.slot.cancelled():
            if waiter.slot.exception() is None:
                self.release()
        else:
            self._remove(waiter)

    def _expire(self, waiter: Waiter) -> None:
        if waiter.is_waiting:
            self._remove(waiter)
            waiter.slot.set_exception(self._build_refusal(waiter.context))

    def _build_refusal(self, context: Context) -> Refusal:
        if context.remaining <= 0:
            return not_run(Reason.DEADLINE_EXCEEDED, "the deadline passed in the queue")
        if self._is_doomed(context):
            return not_run(Reason.DEADLINE_EXCEEDED, "too little time was left")
        detail = f"{self._in_flight} calls in flight, {self._size} queued"
        return not_run(Reason.OVERLOADED, detail, self.estimate_retry_after())

    def _shed_one(self, context: Context) -> None:
        """Refuse the least important call, either a queued one or the new one."""
        victim = self._find_victim(context)
        if victim is None:
            raise self._build_refusal(context)
        self._remove(victim)
        victim.slot.set_exception(self._build_refusal(victim.context))

    def _find_victim(self, context: Context) -> Waiter | None:
        for importance in Importance:
            if importance > context.importance:
                return None
            queues = self._queues[importance]
            if not queues:
                continue
            largest = max(queues, key=lambda name: len(queues[name]))
            victim = max(queues[largest], key=lambda waiter: waiter.shed_order)
            if importance < context.importance:
                return victim
            own_calls = len(queues.get(context.workspace, ())) + 1
            if largest != context.workspace and len(queues[largest]) > own_calls:
                return victim
            if victim.shed_order > hash_root(context.root):
                return victim
            return None
        return None

    def _add(self, waiter: Waiter) -> None:
        if not self._size:
            self._standing_since = waiter.arrived_at
        queues = self._queues[waiter.context.importance]
        queue = queues.setdefault(waiter.context.workspace, collections.deque())
        queue.append(waiter)
        self._size += 1

    def _remove(self, waiter: Waiter) -> None:
        queues = self._queues[waiter.context.importance]
        queue = queues.get(waiter.context.workspace)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self._size -= 1
        if not queue:
            del queues[waiter.context.workspace]
        if not self._size:
            self._standing_since = None

    def _admit_waiters(self) -> None:
        while self._size and self._in_flight < self._limit.value:
            waiter = self._pop_next()
            if self._is_doomed(waiter.context):
                waiter.slot.set_exception(self._build_refusal(waiter.context))
                continue
            self._in_flight += 1
            waiter.slot.set_result(None)

    def _is_doomed(self, context: Context) -> bool:
        """Whether a call of usual latency would miss its deadline.

        Applies only while other calls are queued, which can make better use of the
        slot. With an empty queue every call is tried: otherwise the latency estimate
        would stay high after the service became fast again.
        """
        needed_seconds = (
            MIN_REMAINING_LATENCY_RATIO * self._limit.latency if self._size else 0.0
        )
        return context.remaining <= needed_seconds

    def _pop_next(self) -> Waiter:
        queues = next(
            self._queues[importance]
            for importance in reversed(Importance)
            if self._queues[importance]
        )
        workspace, queue = next(iter(queues.items()))
        waiter = (
            min(queue, key=lambda w: w.shed_order) if self._is_standing() else queue[0]
        )
        self._remove(waiter)
        if workspace in queues:
            queues.move_to_end(workspace)
        return waiter

    def _is_standing(self) -> bool:
        """Whether the queue has been non-empty for longer than the maximum wait."""
        standing_since = self._standing_since
        return (
            standing_since is not None
            and time.monotonic() - standing_since > self._max_wait_seconds
        )

    def _iterate_waiters(self) -> Iterator[Waiter]:
        for queues in self._queues.values():
            for queue in queues.values():
                yield from queue
