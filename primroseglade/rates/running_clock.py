"""A clock that stands still while this process does not run."""

import asyncio

from .clock import read_clock

TICK_SECONDS = 0.05
# A tick that comes later than this is taken for a pause; less is the delay of a timer.
MAX_TICK_DELAY_SECONDS = 0.05


class RunningClock:
    """Measures the time in which this process runs.

    A process that is suspended, or gets no processor time, cannot receive what others
    send meanwhile. The time for which it has waited for them does not include pauses.
    """

    def __init__(self) -> None:
        self._paused_seconds = 0.0
        self._next_tick_at: float | None = None

    def read(self) -> float:
        """Return seconds on a clock that leaves out pauses of this process."""
        return read_clock() - self._paused_seconds - self._measure_pause()

    async def run(self) -> None:
        """Look for pauses until cancelled; before, none are left out."""
        try:
            while True:
                self._next_tick_at = read_clock() + TICK_SECONDS
                await asyncio.sleep(TICK_SECONDS)
                self._paused_seconds += self._measure_pause()
        finally:
            self._next_tick_at = None

    def _measure_pause(self) -> float:
        """Return for how long the next tick is overdue; 0 if that is no pause."""
        if self._next_tick_at is None:
            return 0.0
        delay_seconds = read_clock() - self._next_tick_at
        return delay_seconds if delay_seconds > MAX_TICK_DELAY_SECONDS else 0.0
