"""Requests for tokens that wait for an answer on a stream."""

import asyncio

from .frames import TokenGrant
from .token_broker import GrantHandler

REQUEST_TIMEOUT_SECONDS = 0.1


class TokenRequests:
    """Requests for tokens sent to one node."""

    __slots__ = ("_loop", "_waiting")

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._waiting: dict[int, tuple[GrantHandler, asyncio.TimerHandle]] = {}

    def add(self, number: int, done: GrantHandler) -> None:
        """Wait for the answer to a request for `REQUEST_TIMEOUT_SECONDS`."""
        timer = self._loop.call_later(REQUEST_TIMEOUT_SECONDS, self._end, number, None)
        self._waiting[number] = (done, timer)

    def answer(self, grant: TokenGrant) -> None:
        """Hand on an answer; one that comes too late is dropped with its tokens."""
        self._end(grant.id, grant)

    def fail_all(self) -> None:
        """End all requests: the stream is lost."""
        for number in list(self._waiting):
            self._end(number, None)

    def _end(self, number: int, grant: TokenGrant | None) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return
        done, timer = waiting
        timer.cancel()
        done(grant)
