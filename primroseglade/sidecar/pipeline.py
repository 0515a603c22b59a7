"""The requests of one connection that wait for an answer, in the order they came.

Callers may send further requests before the first is answered (RFC 9112, section
9.3.2). Those that change nothing are worked on at the same time; answers go back in the
order of the requests. It needs no network.
"""

import asyncio
import collections

from .http_messages import Reply, Request

# Methods that change nothing, so that several requests may be worked on at once.
SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"TRACE"})
# Requests of one connection worked on at once. More would let a caller with one
# connection take the place of many.
AT_ONCE = 4


class Exchange:
    """A request, and its answer once there is one."""

    __slots__ = ("reply", "request", "task")

    def __init__(self, request: Request):
        self.request = request
        self.reply: Reply | None = None
        self.task: asyncio.Task[None] | None = None


class Pipeline:
    """What is to be started, what is under way, and what may be sent."""

    def __init__(self) -> None:
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self._started = 0

    def __len__(self) -> int:
        """Requests that are not answered yet."""
        return len(self._exchanges)

    @property
    def started(self) -> int:
        """Requests that are worked on, or whose answer waits for an earlier one."""
        return self._started

    @property
    def ends(self) -> bool:
        """Whether the last request asked for the connection to end after it."""
        return bool(self._exchanges) and not self._exchanges[-1].request.keep_alive

    def add(self, request: Request) -> None:
        """Take in a request."""
        self._exchanges.append(Exchange(request))

    def start_next(self, alone: bool = False) -> Exchange | None:
        """Return a request to work on now, None if none may be started.

        Args:
            alone: Whether none may be started behind another: the connection is to
                end with the next answer, and callers take what was sent behind that
                answer as not read.
        """
        if self._started == len(self._exchanges):
            return None
        if self._started and (alone or not self._may_join()):
            return None
        exchange = self._exchanges[self._started]
        self._started += 1
        return exchange

    def take_answered(self) -> Exchange | None:
        """Return the first request if it has its answer, and forget it."""
        if not self._exchanges or self._exchanges[0].reply is None:
            return None
        self._started -= 1
        return self._exchanges.popleft()

    def cancel(self) -> None:
        """End the work on all requests, and forget them."""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self._started = 0

    def _may_join(self) -> bool:
        """Whether the next request may be worked on beside those under way."""
        if self._started >= AT_ONCE:
            return False
        last = self._exchanges[self._started - 1].request
        following = self._exchanges[self._started].request
        return last.method in SAFE_METHODS and following.method in SAFE_METHODS
