"""A pool of persistent connections to one address, with a limit."""

import asyncio

from ..addresses import parse_address
from ..network import Network
from ..verdicts import Reason, Refusal, Verdict
from .connections import Connection

# Connections that were idle for longer are closed instead of reused.
MAX_IDLE_SECONDS = 20.0
PROBE_TIMEOUT_SECONDS = 1.0
PROBE_REQUEST = b"OPTIONS * HTTP/1.1\r\nhost: probe\r\ncontent-length: 0\r\n\r\n"


class Pool:
    """Opens, keeps and reuses connections to one address.

    Args:
        address: ``IP:PORT``.
        limit: Maximum number of open connections.
        connect_timeout: Seconds to open a connection.
        max_buffered_bytes: Maximum size of a response body that is buffered completely.
        network: Injects network partitions in tests.
    """

    def __init__(
        self,
        address: str,
        limit: int,
        connect_timeout: float,
        max_buffered_bytes: int,
        network: Network | None = None,
    ):
        self._network = network or Network()
        self._address = address
        self._host, self._port = parse_address(address)
        self._limit = limit
        self._connect_timeout = connect_timeout
        self._max_buffered_bytes = max_buffered_bytes
        self._idle: list[Connection] = []
        self._open = 0
        self._freed = asyncio.Condition()

    @property
    def address(self) -> str:
        """Address to which the connections are opened."""
        return self._address

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return self._open

    async def acquire(self) -> Connection:
        """Return an idle or new connection; wait for one if the limit is reached.

        Raises:
            Refusal: ``not run``: no connection could be opened.
        """
        # In a test's network partition, idle connections must not be used either.
        if self._network.is_cut(self._address):
            return await self._open_connection()
        connection = self._pop_idle()
        if connection is not None:
            return connection
        if self._open >= self._limit:
            async with self._freed:
                await self._freed.wait_for(
                    lambda: self._idle or self._open < self._limit
                )
            connection = self._pop_idle()
            if connection is not None:
                return connection
        self._open += 1
        try:
            return await self._open_connection()
        except BaseException:
            self._open -= 1
            raise

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if connection.reusable:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            self._discard(connection)
        if self._open >= self._limit:
            asyncio.get_running_loop().create_task(self._notify_waiter())

    def close_idle(self) -> int:
        """Close the idle connections and return their number."""
        count = len(self._idle)
        while self._idle:
            self._discard(self._idle.pop())
        return count

    async def probe(self) -> bool:
        """Return whether the address responds on a new connection within a second."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(self._host, self._port)
                try:
                    writer.write(PROBE_REQUEST)
                    return bool(await reader.read(1))
                finally:
                    writer.transport.abort()
        except (TimeoutError, OSError):
            return False

    def _pop_idle(self) -> Connection | None:
        min_idle_since = asyncio.get_running_loop().time() - MAX_IDLE_SECONDS
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and connection.idle_since > min_idle_since:
                return connection
            self._discard(connection)
        return None

    def _discard(self, connection: Connection) -> None:
        connection.close()
        self._open -= 1

    async def _notify_waiter(self) -> None:
        async with self._freed:
            self._freed.notify()

    async def _open_connection(self) -> Connection:
        loop = asyncio.get_running_loop()
        try:
            await self._network.wait_if_cut(self._address, self._connect_timeout)
            async with asyncio.timeout(self._connect_timeout):
                _, connection = await loop.create_connection(
                    lambda: Connection(self._max_buffered_bytes), self._host, self._port
                )
        except (TimeoutError, OSError) as error:
            reason = str(error) or "timed out"
            detail = f"no connection to {self._address}: {reason}"
            raise Refusal(
                Reason.CONNECTION_LOST, Verdict.NOT_RUN, detail, retry_after=1.0
            ) from error
        return connection
