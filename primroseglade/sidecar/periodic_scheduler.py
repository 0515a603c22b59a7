"""A node's periodic duties, all in one wake.

An idle node of a large fleet does little but wake up, and a wake costs more than what
is done in it. So what can be done at the same moment is.
"""

import asyncio
import random
import time
from collections.abc import Callable

# Seconds from one step to the next; as often as levels of admission are set.
STEP_SECONDS = 0.25
# So much more or less, so that nodes started together do not wake together.
STEP_JITTER_RATIO = 0.05

# Called with seconds on the loop's clock.
Duty = Callable[[float], None]


class PeriodicScheduler:
    """Runs duties again and again, in the order in which they were added.

    Args:
        rng: Spreads the steps.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._duties: list[tuple[int, Duty]] = []
        self._steps = 0

    def add(self, duty: Duty, seconds: float = STEP_SECONDS) -> None:
        """Have a duty run every so many seconds, a multiple of the steps."""
        self._duties.append((max(1, round(seconds / STEP_SECONDS)), duty))

    async def run(self) -> None:
        """Run the duties until cancelled.

        Raises:
            Exception: What the first of a step's failed duties raised, after all
                others of the step.
        """
        while True:
            spread = self._rng.uniform(1.0 - STEP_JITTER_RATIO, 1.0 + STEP_JITTER_RATIO)
            await asyncio.sleep(STEP_SECONDS * spread)
            self.step(time.monotonic())

    def step(self, now: float) -> None:
        """Run what is due."""
        self._steps += 1
        failure: Exception | None = None
        for every, duty in self._duties:
            if self._steps % every:
                continue
            try:
                duty(now)
            except Exception as error:
                failure = failure or error
        if failure is not None:
            # The supervisor tells it and starts the ticker again.
            raise failure
