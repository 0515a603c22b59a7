"""Runs coroutines in virtual time: sleeps and timers take no real time.

The outcome does not depend on the load of the machine. Network I/O does not work here.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock


class VirtualTimeSelector(selectors.SelectSelector):
    """Advances a clock instead of waiting.

    Args:
        advance: Advances the clock by some seconds.
    """

    def __init__(self, advance: Callable[[float], None]):
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the timeout; return the files that are ready."""
        if timeout is None:
            raise AssertionError("nothing is scheduled, and no I/O happens here")
        self._advance(timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer whenever nothing is ready."""

    def __init__(self) -> None:
        self._now = 1000.0
        super().__init__(VirtualTimeSelector(self._advance))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def _advance(self, seconds: float) -> None:
        self._now += max(0.0, seconds)


def run_in_virtual_time(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine; ``time.monotonic`` returns the virtual time meanwhile."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        with mock.patch("time.monotonic", runner.get_loop().time):
            runner.run(coroutine)
