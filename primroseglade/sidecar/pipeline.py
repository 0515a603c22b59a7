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
MAX_CONCURRENT_REQUESTS = 4


class Exchange:
    """A request, and its answer once there is one."""

    __slots__ = ("reply", "request", "task")

    def __init__(self, request: Request):
        self.request = request
        self.reply: Reply | None = None
        self.task: asyncio.Task[None] | None = None


class Pipeline:
    """What is to be started, what is under way, and what may be sent.

    Attributes:
        size: Requests that are not answered yet.
        started: Those of them that are worked on, or whose answer waits for an
            earlier one.
    """

    __slots__ = ("_exchanges", "size", "started")

    def __init__(self) -> None:
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self.size = 0
        self.started = 0

    @property
    def closes_connection(self) -> bool:
        """Whether the last request asked for the connection to end after it."""
        return bool(self._exchanges) and not self._exchanges[-1].request.keep_alive

    def add(self, request: Request) -> None:
        """Take in a request."""
        self._exchanges.append(Exchange(request))
        self.size += 1

    def start_next(self, closing: bool = False) -> Exchange | None:
        """Return a request to work on now, None if none may be started.

        Args:
            alone: Whether none may be started behind another: the connection is to
                end with the next answer, and callers take what was sent behind that
                answer as not read.
        """
        if self.started == self.size:
            return None
        if self.started and (closing or not self._may_run_concurrently()):
            return None
        exchange = self._exchanges[self.started]
        self.started += 1
        return exchange

    def pop_answered(self) -> Exchange | None:
        """Return the first request if it has its answer, and forget it."""
        if not self._exchanges or self._exchanges[0].reply is None:
            return None
        self.size -= 1
        self.started -= 1
        return self._exchanges.popleft()

    def cancel(self) -> None:
        """End the work on all requests, and forget them."""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self.size = 0
        self.started = 0

    def _may_run_concurrently(self) -> bool:
        """Whether the next request may be worked on beside those under way."""
        if self.started >= MAX_CONCURRENT_REQUESTS:
            return False
        last_started = self._exchanges[self.started - 1].request
        next_request = self._exchanges[self.started].request
        return (
            last_started.method in SAFE_METHODS and next_request.method in SAFE_METHODS
        )
