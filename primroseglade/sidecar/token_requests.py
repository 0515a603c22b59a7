"""Requests for tokens that wait for an answer on a stream."""

import asyncio

from .frames import TokenGrant
from .token_broker import GrantHandler

REQUEST_TIMEOUT_SECONDS = 0.1


class TokenRequests:
    """Requests for tokens sent to one node."""

    __slots__ = ("_loop", "_pending")

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._pending: dict[int, tuple[GrantHandler, asyncio.TimerHandle]] = {}

    def add(self, request_id: int, done: GrantHandler) -> None:
        """Wait for the answer to a request for `REQUEST_TIMEOUT_SECONDS`."""
        timer = self._loop.call_later(
            REQUEST_TIMEOUT_SECONDS, self._complete, request_id, None
        )
        self._pending[request_id] = (done, timer)

    def answer(self, grant: TokenGrant) -> None:
        """Hand on an answer; one that comes too late is dropped with its tokens."""
        self._complete(grant.id, grant)

    def fail_all(self) -> None:
        """End all requests: the stream is lost."""
        for request_id in list(self._pending):
            self._complete(request_id, None)

    def _complete(self, request_id: int, grant: TokenGrant | None) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        done, timer = pending
        timer.cancel()
        done(grant)
