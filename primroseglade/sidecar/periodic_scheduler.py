"""A node's periodic duties, all in one wake.

An idle node of a large fleet does little but wake up, and a wake costs more than what
is done in it. So what can be done at the same moment is.
"""

import asyncio
import random
import time
from collections.abc import Callable

# Seconds from one step to the next; as often as levels of admission are set.
TICK_SECONDS = 0.25
# So much more or less, so that nodes started together do not wake together.
TICK_JITTER_RATIO = 0.05

# Called with seconds on the loop's clock.
PeriodicTask = Callable[[float], None]


class PeriodicScheduler:
    """Runs duties again and again, in the order in which they were added.

    Args:
        rng: Spreads the steps.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._tasks: list[tuple[int, PeriodicTask]] = []
        self._ticks = 0

    def add(self, task: PeriodicTask, interval_seconds: float = TICK_SECONDS) -> None:
        """Have a duty run every so many seconds, a multiple of the steps."""
        self._tasks.append((max(1, round(interval_seconds / TICK_SECONDS)), task))

    async def run(self) -> None:
        """Run the duties until cancelled.

        Raises:
            Exception: What the first of a step's failed duties raised, after all
                others of the step.
        """
        while True:
            jitter = self._rng.uniform(1.0 - TICK_JITTER_RATIO, 1.0 + TICK_JITTER_RATIO)
            await asyncio.sleep(TICK_SECONDS * jitter)
            self.tick(time.monotonic())

    def tick(self, now: float) -> None:
        """Run what is due."""
        self._ticks += 1
        first_error: Exception | None = None
        for tick_interval, task in self._tasks:
            if self._ticks % tick_interval:
                continue
            try:
                task(now)
            except Exception as error:
                first_error = first_error or error
        if first_error is not None:
            # The supervisor tells it and starts the ticker again.
            raise first_error
