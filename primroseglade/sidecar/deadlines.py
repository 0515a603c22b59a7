"""Ends calls whose time is up, with one timer for all of them.

`asyncio.timeout` makes a timer and three objects for each call, and hardly any call
lasts until its time is up. A node wakes only for the call whose time is up first.
"""

import asyncio
import math
import time

# How late a call may be ended; callers measure in tenths of a second.
CANCEL_DELAY_SECONDS = 0.05


class Deadline:
    """The time at which a task is to end.

    Attributes:
        expired: Whether the task was cancelled for it.
    """

    __slots__ = ("at", "expired", "task")

    def __init__(self, at: float, task: "asyncio.Task[object]"):
        self.at = at
        self.task = task
        self.expired = False

    def caused_cancellation(self) -> bool:
        """Whether a cancellation of the task comes from here and from nobody else."""
        return self.expired and self.task.uncancel() <= 0


class Deadlines:
    """The calls that are under way at a node."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._active: set[Deadline] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._next_sweep_at = math.inf

    def start(self, at: float) -> Deadline:
        """Have the running task cancelled at a time on the loop's clock."""
        task = asyncio.current_task(self._loop)
        assert task is not None
        deadline = Deadline(at, task)
        self._active.add(deadline)
        if at + CANCEL_DELAY_SECONDS < self._next_sweep_at:
            self._schedule_sweep(at + CANCEL_DELAY_SECONDS)
        return deadline

    def end(self, deadline: Deadline) -> None:
        """Note that the call has ended."""
        self._active.discard(deadline)

    def close(self) -> None:
        """End no call any more."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_sweep(self, sweep_at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._next_sweep_at = sweep_at
        wait = max(0.0, sweep_at - time.monotonic())
        self._timer = self._loop.call_later(wait, self._sweep)

    def _sweep(self) -> None:
        """Cancel what is over its time."""
        now = time.monotonic()
        for deadline in [d for d in self._active if d.at <= now]:
            deadline.expired = True
            self._active.discard(deadline)
            deadline.task.cancel()
        self._next_sweep_at = math.inf
        self._timer = None
        if self._active:
            self._schedule_sweep(min(d.at for d in self._active) + CANCEL_DELAY_SECONDS)
