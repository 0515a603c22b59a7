"""HTTP/1.1 pipelining: the unanswered requests of one connection, in order of arrival.

Callers may send further requests before the first is answered (RFC 9112, section
9.3.2). Requests with safe methods are handled concurrently; responses are sent in the
order of the requests. This module does no I/O.
"""

import asyncio
import collections

from .http_messages import Reply, Request

# Methods without side effects: consecutive requests with them may run concurrently.
SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"TRACE"})
# Per connection, so that a caller with one connection cannot use the capacity of many.
MAX_CONCURRENT_REQUESTS = 4


class Exchange:
    """A request, and its response once it is ready."""

    __slots__ = ("reply", "request", "task")

    def __init__(self, request: Request):
        self.request = request
        self.reply: Reply | None = None
        self.task: asyncio.Task[None] | None = None


class Pipeline:
    """The queue of unanswered requests of one connection.

    Attributes:
        size: Number of requests whose response has not been sent.
        started: Number of these requests that have been started: their handlers are
            running, or their responses wait for the response to an earlier request.
    """

    __slots__ = ("_exchanges", "size", "started")

    def __init__(self) -> None:
        self._exchanges: collections.deque[Exchange] = collections.deque()
        self.size = 0
        self.started = 0

    @property
    def closes_connection(self) -> bool:
        """Whether the last request asked to close the connection after its response."""
        return bool(self._exchanges) and not self._exchanges[-1].request.keep_alive

    def add(self, request: Request) -> None:
        """Append a request that has been read."""
        self._exchanges.append(Exchange(request))
        self.size += 1

    def start_next(self, closing: bool = False) -> Exchange | None:
        """Mark the next request as started and return it, or None if none may start.

        On a connection that is to be closed, no request starts while another is in
        flight: the connection closes after the responses to started requests, and
        callers treat later requests as not read.

        Args:
            closing: Whether the connection is to be closed.
        """
        if self.started == self.size:
            return None
        if self.started and (closing or not self._may_run_concurrently()):
            return None
        exchange = self._exchanges[self.started]
        self.started += 1
        return exchange

    def pop_answered(self) -> Exchange | None:
        """Remove and return the first request if its response is ready, else None."""
        if not self._exchanges or self._exchanges[0].reply is None:
            return None
        self.size -= 1
        self.started -= 1
        return self._exchanges.popleft()

    def cancel(self) -> None:
        """Cancel the handlers of all requests and remove the requests."""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self.size = 0
        self.started = 0

    def _may_run_concurrently(self) -> bool:
        """Whether the next request may run beside those already started."""
        if self.started >= MAX_CONCURRENT_REQUESTS:
            return False
        last_started = self._exchanges[self.started - 1].request
        next_request = self._exchanges[self.started].request
        return (
            last_started.method in SAFE_METHODS and next_request.method in SAFE_METHODS
        )
