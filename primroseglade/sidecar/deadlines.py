"""Ends calls whose time is up, with one timer for all of them.

`asyncio.timeout` makes a timer and three objects for each call, and hardly any call
lasts until its time is up. A node wakes only for the call whose time is up first.
"""

import asyncio
import math
import time

# How late a call may be ended; callers measure in tenths of a second.
SWEEP_SECONDS = 0.05


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
        self._open: set[Deadline] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._wakes_at = math.inf

    def start(self, at: float) -> Deadline:
        """Have the running task cancelled at a time on the loop's clock."""
        task = asyncio.current_task(self._loop)
        assert task is not None
        deadline = Deadline(at, task)
        self._open.add(deadline)
        if at + SWEEP_SECONDS < self._wakes_at:
            self._wake_at(at + SWEEP_SECONDS)
        return deadline

    def end(self, deadline: Deadline) -> None:
        """Note that the call has ended."""
        self._open.discard(deadline)

    def close(self) -> None:
        """End no call any more."""
        if self._timer is not None:
            self._timer.cancel()

    def _wake_at(self, moment: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._wakes_at = moment
        wait = max(0.0, moment - time.monotonic())
        self._timer = self._loop.call_later(wait, self._sweep)

    def _sweep(self) -> None:
        """Cancel what is over its time."""
        now = time.monotonic()
        for deadline in [d for d in self._open if d.at <= now]:
            deadline.expired = True
            self._open.discard(deadline)
            deadline.task.cancel()
        self._wakes_at = math.inf
        self._timer = None
        if self._open:
            self._wake_at(min(d.at for d in self._open) + SWEEP_SECONDS)
