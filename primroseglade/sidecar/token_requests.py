"""Pending requests for tokens on the stream to another node."""

import asyncio

from .frames import TokenGrant
from .token_broker import GrantHandler

REQUEST_TIMEOUT_SECONDS = 0.1


class TokenRequests:
    """Matches requests for tokens sent to one node with their answers."""

    __slots__ = ("_loop", "_pending")

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._pending: dict[int, tuple[GrantHandler, asyncio.TimerHandle]] = {}

    def add(self, request_id: int, done: GrantHandler) -> None:
        """Add a request; it fails after `REQUEST_TIMEOUT_SECONDS` without an answer."""
        timer = self._loop.call_later(
            REQUEST_TIMEOUT_SECONDS, self._complete, request_id, None
        )
        self._pending[request_id] = (done, timer)

    def answer(self, grant: TokenGrant) -> None:
        """Complete a request; if it has timed out, the granted tokens are lost."""
        self._complete(grant.id, grant)

    def fail_all(self) -> None:
        """Fail all pending requests, because the stream was lost."""
        for request_id in list(self._pending):
            self._complete(request_id, None)

    def _complete(self, request_id: int, grant: TokenGrant | None) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        done, timer = pending
        timer.cancel()
        done(grant)
