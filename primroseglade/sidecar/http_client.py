"""Pool of HTTP/1.1 connections to one address."""

import asyncio
import collections
import time
from collections.abc import Callable

from ..addresses import parse_address
from .client_connection import (
    ClientConnection,
    ExchangeError,
    MAX_HELD_RESPONSE_BYTES,
    Response,
)
from .held_responses import HeldResponses

# Non-idempotent requests do not reuse a connection that was idle for longer: the server
# may be closing it, and it would be unknown whether the request ran.
NON_IDEMPOTENT_MAX_IDLE_SECONDS = 2.0
# A server's process has probably ended if it closes at least this many connections
# within this time, and none is left.
MIN_CONNECTIONS_LOST = 2
ALL_LOST_WITHIN_SECONDS = 0.05
# A connection to a process that is ending may be closed this long after it was opened.
PROBE_HOLD_SECONDS = 0.03


class ConnectionPool:
    """Pool of persistent connections to one address.

    Args:
        address: ``IP:PORT``.
        connect_timeout: Maximum time to open a connection, in seconds.
        on_all_lost: Called when the server has closed all open connections within a
            short time, as the end of its process does.

    Attributes:
        held_responses: Limits the bytes of incomplete responses.
    """

    def __init__(
        self,
        address: str,
        connect_timeout: float,
        on_all_lost: Callable[[], None] = lambda: None,
    ):
        self._host, self._port = parse_address(address)
        self._connect_timeout = connect_timeout
        self._on_all_lost = on_all_lost
        self.held_responses = HeldResponses(MAX_HELD_RESPONSE_BYTES)
        self._idle: list[ClientConnection] = []
        self._open_count = 0
        # When the server closed the last connections, the oldest first.
        self._lost_at: collections.deque[float] = collections.deque(
            maxlen=MIN_CONNECTIONS_LOST
        )

    async def acquire(self, non_idempotent: bool = False) -> ClientConnection:
        """Return an idle connection, or open one.

        A non-idempotent request gets no connection that the server may be closing,
        because the request could not be retried if it were lost.

        Args:
            non_idempotent: Whether the request must not run twice.

        Raises:
            ExchangeError: No connection could be opened; nothing was sent.
        """
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            idle = now - connection.idle_since
            if not connection.reusable or idle > connection.idle_timeout:
                connection.close()
                continue
            if non_idempotent and idle > NON_IDEMPOTENT_MAX_IDLE_SECONDS:
                self._idle.append(connection)
                break
            return connection
        return await self._dial()

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if connection.reusable:
            connection.idle_since = time.monotonic()
            self._idle.append(connection)
        else:
            connection.close()

    async def probe(self, request: bytes | None) -> Response | None:
        """Open a connection, and send a request on it.

        Args:
            request: The request; None to wait whether the connection stays open.

        Returns:
            The response; None without a request.

        Raises:
            ExchangeError: The connection was refused or lost.
        """
        connection = await self._dial()
        try:
            if request is not None:
                return await connection.exchange(request)
            await asyncio.sleep(PROBE_HOLD_SECONDS)
            if not connection.reusable:
                raise ExchangeError("connection closed", sent=False)
            return None
        finally:
            self.release(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _dial(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self._handle_lost, self.held_responses),
                    self._host,
                    self._port,
                )
        except (TimeoutError, OSError) as error:
            detail = f"cannot connect: {str(error) or 'timed out'}"
            refused = isinstance(error, ConnectionRefusedError)
            raise ExchangeError(detail, sent=False, refused=refused) from error
        self._open_count += 1
        return connection

    def _handle_lost(self, by_server: bool) -> None:
        self._open_count -= 1
        if not by_server:
            return
        now = time.monotonic()
        self._lost_at.append(now)
        if (
            not self._open_count
            and len(self._lost_at) == MIN_CONNECTIONS_LOST
            and now - self._lost_at[0] < ALL_LOST_WITHIN_SECONDS
        ):
            self._lost_at.clear()
            self._on_all_lost()
