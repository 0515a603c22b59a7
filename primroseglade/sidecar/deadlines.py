"""Cancels calls that exceed their deadline, with one timer for all of them.

`asyncio.timeout` creates a timer and three objects per call, although hardly any call
reaches its deadline. With one timer, a node wakes only for the earliest deadline.
"""

import asyncio
import math
import time

# Maximum delay from a call's deadline to the sweep that cancels it. The delay lets one
# sweep cancel several calls. Callers do not notice it: they measure in tenths of a
# second.
CANCEL_DELAY_SECONDS = 0.05


class Deadline:
    """The deadline of a task.

    Attributes:
        at: The deadline, in seconds on the loop's clock.
        task: The task that is canceled when the deadline has passed.
        expired: Whether the task was canceled because the deadline passed.
    """

    __slots__ = ("at", "expired", "task")

    def __init__(self, at: float, task: "asyncio.Task[object]"):
        self.at = at
        self.task = task
        self.expired = False

    def take_back_cancellation(self) -> bool:
        """Take back the cancellation of the task, if this deadline caused one.

        Returns:
            Whether the task was canceled by this deadline alone.
        """
        return self.expired and self.task.uncancel() <= 0


class Deadlines:
    """Tracks the deadlines of all calls in flight at a node."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._active: set[Deadline] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._next_sweep_at = math.inf

    def start(self, at: float) -> Deadline:
        """Cancel the current task at a deadline, unless `end` is called before.

        Args:
            at: The deadline, in seconds on the loop's clock.
        """
        task = asyncio.current_task(self._loop)
        assert task is not None
        deadline = Deadline(at, task)
        self._active.add(deadline)
        if at + CANCEL_DELAY_SECONDS < self._next_sweep_at:
            self._schedule_sweep(at + CANCEL_DELAY_SECONDS)
        return deadline

    def end(self, deadline: Deadline) -> None:
        """Stop tracking the deadline of a call that has ended."""
        self._active.discard(deadline)

    def close(self) -> None:
        """Cancel the timer; no call is canceled after this."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_sweep(self, sweep_at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._next_sweep_at = sweep_at
        wait = max(0.0, sweep_at - time.monotonic())
        self._timer = self._loop.call_later(wait, self._sweep)

    def _sweep(self) -> None:
        """Cancel the tasks whose deadline has passed, and schedule the next sweep."""
        now = time.monotonic()
        for deadline in [d for d in self._active if d.at <= now]:
            deadline.expired = True
            self._active.discard(deadline)
            deadline.task.cancel()
        self._next_sweep_at = math.inf
        self._timer = None
        if self._active:
            self._schedule_sweep(min(d.at for d in self._active) + CANCEL_DELAY_SECONDS)
