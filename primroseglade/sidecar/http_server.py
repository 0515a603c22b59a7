"""HTTP/1.1 server that closes idle and timed-out connections."""

import asyncio
import time
from collections.abc import Callable

from ..addresses import parse_address
from .model import CallerLimits
from .server_connection import Handler, ServerConnection

# Interval of timeout checks: short enough for timeouts of whole seconds.
TIMEOUT_CHECK_SECONDS = 0.5
# Interval of timeout checks of servers for processes on this machine and operators.
LOCAL_TIMEOUT_CHECK_SECONDS = 3.0
# Connections that the kernel queues until they are accepted. A full queue drops SYN
# packets, which callers retransmit only after seconds.
BACKLOG = 1024


class HttpServer:
    """Accepts connections on one address and tracks them.

    Args:
        address: ``IP:PORT``.
        handler: Answers one request; cancelled when the caller disconnects.
        get_limits: Returns the current limits on requests and idle connections.
        timeout_check_seconds: Interval of timeout checks.

    Attributes:
        recently_stalled: Whether the event loop was blocked a moment ago, so that the
            input it reads now may be old.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        get_limits: Callable[[], CallerLimits] = CallerLimits,
        timeout_check_seconds: float = TIMEOUT_CHECK_SECONDS,
    ):
        self._address = address
        self._handler = handler
        self._get_limits = get_limits
        self._timeout_check_seconds = timeout_check_seconds
        self.recently_stalled = False
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._stopping = False

    @property
    def stopping(self) -> bool:
        """Whether connections are to be closed after the requests in flight."""
        return self._stopping

    @property
    def limits(self) -> CallerLimits:
        """The current limits on requests and idle connections."""
        return self._get_limits()

    @property
    def handler(self) -> Handler:
        """The coroutine function that answers one request."""
        return self._handler

    @property
    def busy_connection_count(self) -> int:
        """Number of connections on which a request is being read or answered.

        A response counts until the caller has taken all that this process holds of it.
        """
        return sum(connection.busy for connection in self._connections)

    async def run(self) -> None:
        """Accept connections and check their timeouts, until cancelled."""
        loop = asyncio.get_running_loop()
        host, port = parse_address(self._address)
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        try:
            while True:
                await asyncio.sleep(self._timeout_check_seconds)
                now = time.monotonic()
                for connection in list(self._connections):
                    connection.check_timeouts(now)
        finally:
            self._server.close()

    def request_connection_close(self) -> None:
        """Close connections after the requests in flight, for graceful shutdown."""
        self._stopping = True

    def stop_accepting(self) -> None:
        """Refuse new connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for connection in list(self._connections):
            if not connection.busy:
                connection.close()

    def abort(self) -> None:
        """Close all connections at once, dropping unsent bytes."""
        for connection in list(self._connections):
            connection.abort()

    def add(self, connection: ServerConnection) -> None:
        """Register an open connection."""
        self._connections.add(connection)

    def discard(self, connection: ServerConnection) -> None:
        """Unregister a closed connection."""
        self._connections.discard(connection)


def build_local_server(address: str, handler: Handler) -> HttpServer:
    """Return a server for processes on this machine and its operators."""
    return HttpServer(
        address, handler, timeout_check_seconds=LOCAL_TIMEOUT_CHECK_SECONDS
    )
