"""Ends calls whose time is up, with one timer for all of them.

`asyncio.timeout` makes a timer and three objects for each call, and hardly any call
lasts until its time is up.
"""

import asyncio
import time

# How late a call may be ended. Callers measure in tenths of a second, and more wakes of
# idle nodes would cost a large fleet as much as the timers.
SWEEP_SECONDS = 0.05


class Deadline:
    """The time at which a task is to end.

    Attributes:
        passed: Whether the task was cancelled for it.
    """

    __slots__ = ("at", "passed", "task")

    def __init__(self, at: float, task: "asyncio.Task[object]"):
        self.at = at
        self.task = task
        self.passed = False

    def is_reason(self) -> bool:
        """Whether a cancellation of the task comes from here and from nobody else."""
        return self.passed and self.task.uncancel() <= 0


class Deadlines:
    """The calls that are under way at a node."""

    def __init__(self) -> None:
        self._open: set[Deadline] = set()
        self._any = asyncio.Event()

    def start(self, at: float) -> Deadline:
        """Have the running task cancelled at a time on the loop's clock."""
        task = asyncio.current_task()
        assert task is not None
        deadline = Deadline(at, task)
        self._open.add(deadline)
        self._any.set()
        return deadline

    def end(self, deadline: Deadline) -> None:
        """Note that the call has ended."""
        self._open.discard(deadline)

    async def run(self) -> None:
        """Cancel what is over its time, until cancelled."""
        while True:
            if not self._open:
                self._any.clear()
                await self._any.wait()
            await asyncio.sleep(SWEEP_SECONDS)
            now = time.monotonic()
            for deadline in [d for d in self._open if d.at <= now]:
                deadline.passed = True
                self._open.discard(deadline)
                deadline.task.cancel()
