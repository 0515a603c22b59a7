"""The admission queue in front of a backend server."""

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
# A call may wait for so many calls to be served before it.
MAX_WAIT_LATENCY_RATIO = 1.5
# Calls differ: one that has less than this share of the usual time left is given up.
MIN_REMAINING_LATENCY_RATIO = 0.9

Refuse = Callable[[Context], Refusal | None]


class Waiter:
    """A call that waits, and the future that lets it go."""

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
        """Whether it was neither let go nor refused."""
        return not self.slot.done()


def hash_root(root: str) -> int:
    """Return a root call's place in the order in which calls are shed.

    Every hop sheds the calls with the highest value first. With an order of its own
    at each hop, a call of five hops that each shed one in five would be served one
    time in three, and the other two would have used slots for nothing.
    """
    return int(root[-8:], 16)


class AdmissionQueue:
    """Lets calls through up to the limit; more wait a short time or are refused.

    Higher classes go first. Inside a class workspaces take turns, so that one with
    many calls cannot push out one with few. Inside a workspace the oldest call goes
    first while the queue empties now and then; once it stands, the call that the
    other hops favour too.

    Args:
        limit: How many calls go at once.
        capacity: How many may wait.
        longest_wait: Seconds after which a waiting call is refused.
    """

    def __init__(self, limit: ConcurrencyLimit, capacity: int, max_wait_seconds: float):
        self._limit = limit
        self._capacity = capacity
        self._max_wait_seconds = max_wait_seconds
        self._in_flight = 0
        self._size = 0
        self._standing_since: float | None = None
        self._classes: dict[
            Importance, collections.OrderedDict[str, collections.deque[Waiter]]
        ] = {level: collections.OrderedDict() for level in Importance}

    @property
    def in_flight(self) -> int:
        """Calls that were let through and are not done."""
        return self._in_flight

    @property
    def size(self) -> int:
        """Calls that wait."""
        return self._size

    @property
    def limit(self) -> ConcurrencyLimit:
        """The limit."""
        return self._limit

    def replace_limit(self, limit: ConcurrencyLimit) -> None:
        """Go on with another limit, for another backend server."""
        self._limit = limit
        self._admit_waiters()

    async def acquire(self, context: Context) -> float:
        """Wait for a turn.

        Returns:
            Seconds waited.

        Raises:
            Refusal: ``not run``: overloaded, or nobody waits for the call any more.
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
        """Give a turn back."""
        self._in_flight -= 1
        self._admit_waiters()

    def refuse_where(self, refuse: Refuse) -> None:
        """Refuse waiting calls at once, by what ``refuse`` returns for each."""
        for waiter in list(self._iterate_waiters()):
            refusal = refuse(waiter.context)
            if refusal is not None and waiter.is_waiting:
                self._remove(waiter)
                waiter.slot.set_exception(refusal)

    def estimate_retry_after(self) -> float:
        """Return seconds after which a turn may be free, spread over callers."""
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
        """Return how long a call may wait.

        Most are better told at once to come back than kept. Two kinds wait as long as
        they can still be answered in time. Before the critical class stand only the
        few of its own kind. And a workspace's only waiting call is the next to go when
        its turn comes round: refused by the clock, a workspace with few calls would
        lose them to the turns of those with many.
        """
        alone = context.workspace not in self._classes[context.importance]
        if alone or context.importance is Importance.CRITICAL:
            return max(0.0, context.remaining - self._limit.latency)
        # A queue of which no call lives to see its turn would be of no use.
        min_wait = MAX_WAIT_LATENCY_RATIO * self._limit.latency
        return min(max(self._max_wait_seconds, min_wait), context.remaining)

    def _handle_cancellation(self, waiter: Waiter) -> None:
        """Take out a call whose caller went away, or give its turn to the next."""
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
        detail = f"{self._in_flight} calls at work, {self._size} waiting"
        return not_run(Reason.OVERLOADED, detail, self.estimate_retry_after())

    def _shed_one(self, context: Context) -> None:
        """Refuse the waiting call that matters least, or the new one if that is it."""
        victim = self._find_victim(context)
        if victim is None:
            raise self._build_refusal(context)
        self._remove(victim)
        victim.slot.set_exception(self._build_refusal(victim.context))

    def _find_victim(self, context: Context) -> Waiter | None:
        for level in Importance:
            if level > context.importance:
                return None
            queues = self._classes[level]
            if not queues:
                continue
            largest = max(queues, key=lambda name: len(queues[name]))
            victim = max(queues[largest], key=lambda waiter: waiter.shed_order)
            if level < context.importance:
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
        queues = self._classes[waiter.context.importance]
        queue = queues.setdefault(waiter.context.workspace, collections.deque())
        queue.append(waiter)
        self._size += 1

    def _remove(self, waiter: Waiter) -> None:
        queues = self._classes[waiter.context.importance]
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
        """Whether the deadline will pass before a call as usual is done.

        Only asked while others wait: the slot is better used by one of them. With
        free slots any call is let try, or a service that has become fast again
        would never be seen to be.
        """
        needed = (
            MIN_REMAINING_LATENCY_RATIO * self._limit.latency if self._size else 0.0
        )
        return context.remaining <= needed

    def _pop_next(self) -> Waiter:
        queues = next(
            self._classes[level]
            for level in reversed(Importance)
            if self._classes[level]
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
        """Whether the queue has not been empty for as long as a call waits."""
        since = self._standing_since
        return since is not None and time.monotonic() - since > self._max_wait_seconds

    def _iterate_waiters(self) -> Iterator[Waiter]:
        for queues in self._classes.values():
            for queue in queues.values():
                yield from queue
