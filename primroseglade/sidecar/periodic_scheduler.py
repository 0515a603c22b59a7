"""Runs all periodic tasks of a node from one timer.

In an idle node of a large fleet, a wake-up costs more than the work done in it, so
tasks share wake-ups.
"""

import asyncio
import random
import time
from collections.abc import Callable

# Length of a tick: the interval of the most frequent task, the update of the admission
# levels.
TICK_SECONDS = 0.25
# Random deviation of each tick, so that nodes started together do not wake together.
TICK_JITTER_RATIO = 0.05

# A periodic task; called with the current time in monotonic seconds.
PeriodicTask = Callable[[float], None]


class PeriodicScheduler:
    """Runs each task at its interval, in the order in which tasks were added.

    Args:
        rng: Source of the jitter.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        # Each task with its interval in ticks.
        self._tasks: list[tuple[int, PeriodicTask]] = []
        self._tick_count = 0

    def add(self, task: PeriodicTask, interval_seconds: float = TICK_SECONDS) -> None:
        """Add a task; its interval is rounded to whole ticks, and at least one tick."""
        self._tasks.append((max(1, round(interval_seconds / TICK_SECONDS)), task))

    async def run(self) -> None:
        """Run the tasks until cancelled.

        Raises:
            Exception: A task failed. The first error of a tick is raised after all
                tasks of that tick have run.
        """
        while True:
            jitter_factor = self._rng.uniform(
                1.0 - TICK_JITTER_RATIO, 1.0 + TICK_JITTER_RATIO
            )
            await asyncio.sleep(TICK_SECONDS * jitter_factor)
            self.tick(time.monotonic())

    def tick(self, now: float) -> None:
        """Count a tick and run the tasks due in it; ``now`` in monotonic seconds."""
        self._tick_count += 1
        first_error: Exception | None = None
        for interval_ticks, task in self._tasks:
            if self._tick_count % interval_ticks:
                continue
            try:
                task(now)
            except Exception as error:
                first_error = first_error or error
        if first_error is not None:
            # The supervisor logs the error and restarts the scheduler.
            raise first_error
