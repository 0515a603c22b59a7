"""The limit on requests that the local backend server states in its answers.

A backend server that is short of resources states how many requests per second it takes
from all nodes together. This module does no network I/O.
"""

import time
from collections.abc import Callable


class StatedLimit:
    """A limit that an answer states.

    Args:
        calls_per_second: The limit; None if the stated value is invalid.
        error: What is wrong with the stated value; empty if it is valid.
    """

    __slots__ = ("calls_per_second", "error")

    def __init__(self, calls_per_second: float | None, error: str = ""):
        self.calls_per_second = calls_per_second
        self.error = error


class RequestLimit:
    """Tracks the limit that the local backend server states.

    Args:
        clock: Returns monotonic seconds.
    """

    __slots__ = ("_clock", "_named_at", "_rate", "_sent_count")

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._rate = 0.0
        # When the last answer that stated a limit arrived.
        self._named_at = 0.0
        self._sent_count = 0

    @property
    def rate(self) -> float:
        """Calls per second that the backend server takes; 0 for no limit."""
        return self._rate

    @property
    def sent_count(self) -> int:
        """Number of requests that were sent to the backend server."""
        return self._sent_count

    def reset(self) -> None:
        """Forget the limit of a former incarnation of the backend server."""
        self._rate = 0.0

    def record_statement(self, stated: StatedLimit | None, sent_at: float) -> bool:
        """Record what an answer states, and return whether the limit has changed.

        An answer without a limit ends the limit only if its call was sent after the
        last limit was stated: other answers may be older than that statement.

        Args:
            stated: The stated limit; None if the answer states none.
            sent_at: Time at which the answered call was sent, on this object's clock.
        """
        previous_rate = self._rate
        if stated is None:
            if sent_at > self._named_at:
                self._rate = 0.0
        else:
            self._named_at = self._clock()
            if stated.calls_per_second is not None:
                self._rate = stated.calls_per_second
        return self._rate != previous_rate

    def record_start(self) -> None:
        """Record that a request is sent."""
        self._sent_count += 1
