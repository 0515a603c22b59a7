"""Listens for callers, and closes the connections that stand idle."""

import asyncio
import time
from collections.abc import Callable

from ..addresses import parse_address
from .model import CallerLimits
from .server_connection import Handler, ServerConnection

# How often idle and unfinished connections are looked for, in seconds; limits on
# callers are whole seconds.
TIMEOUT_CHECK_SECONDS = 0.5
# The same at addresses that only the own machine uses.
LOCAL_TIMEOUT_CHECK_SECONDS = 3.0
# New connections that the kernel holds until they are accepted. A full queue drops
# opening packets, which callers send again only after seconds.
BACKLOG = 1024


class HttpServer:
    """Listens on one address.

    Args:
        address: ``IP:PORT``.
        handler: Answers one request; cancelled when the caller leaves.
        get_limits: Returns the bounds on callers in force.
        sweep_seconds: How often what stands idle is looked for.

    Attributes:
        stalled: Whether this process stood still a moment ago, so that what it reads is
            old.
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
        self.stalled = False
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._stopping = False

    @property
    def stopping(self) -> bool:
        """Whether answers ask callers to open no further request here."""
        return self._stopping

    @property
    def limits(self) -> CallerLimits:
        """The bounds on callers in force."""
        return self._get_limits()

    @property
    def handler(self) -> Handler:
        """Answers one request."""
        return self._handler

    @property
    def busy(self) -> int:
        """Connections on which a request is being read or answered."""
        return sum(connection.busy for connection in self._connections)

    async def run(self) -> None:
        """Listen and close what stands idle, until cancelled."""
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
        """Ask callers with each answer to go elsewhere: the process stops."""
        self._stopping = True

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in list(self._connections):
            if not connection.busy:
                connection.close()

    def abort(self) -> None:
        """Cut all connections."""
        for connection in list(self._connections):
            connection.abort()

    def add(self, connection: ServerConnection) -> None:
        """Note an open connection."""
        self._connections.add(connection)

    def discard(self, connection: ServerConnection) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)


def build_local_server(address: str, handler: Handler) -> HttpServer:
    """Return a server for what only the own machine and its operators ask."""
    return HttpServer(
        address, handler, timeout_check_seconds=LOCAL_TIMEOUT_CHECK_SECONDS
    )
