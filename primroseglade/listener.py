"""HTTP listeners: uvicorn servers that run as tasks of the supervisor."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import uvicorn
from blacksheep import Application, Request, Response, Router

from .addresses import join_address, parse_address
from .http_guard import build_protocol

# uvicorn logs a traceback for every request whose task is cancelled, which happens
# whenever a caller disconnects. Failures of calls are logged as events instead.
logging.getLogger("uvicorn").setLevel(logging.CRITICAL + 1)

ACCEPT_BACKLOG = 1024
KEEP_ALIVE_TIMEOUT_SECONDS = 30


def as_handler(
    method: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    """Wrap a bound method in a function, on which blacksheep can set attributes."""

    async def handle(request: Request) -> Response:
        return await method(request)

    return handle


def build_application() -> Application:
    """Return an application with its own router.

    One process may run many nodes, and they would share blacksheep's default router.
    """
    return Application(router=Router())


class _UvicornServer(uvicorn.Server):
    """A uvicorn server without signal handlers and without a periodic timer."""

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self.stopping = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def main_loop(self) -> None:
        # uvicorn's main loop wakes up 10 times a second to update the Date header and
        # check for signals: noticeable CPU time in an idle node with five listeners.
        await self.stopping.wait()


class Listener:
    """Serves an ASGI application at one address.

    Args:
        app: The ASGI application.
        address: ``IP:PORT``; with port 0 the kernel chooses a free port.
        max_header_bytes: Maximum size of a request's head in bytes.
    """

    def __init__(self, app: Any, address: str, max_header_bytes: int = 32768):
        host, port = parse_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # Without an explicit protocol, asyncio does not recognize accepted sockets as
        # TCP and leaves Nagle's algorithm on: each response then waits about 40 ms for
        # the client's delayed acknowledgement.
        self._socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        self._address = join_address(host, self._socket.getsockname()[1])
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=build_protocol(max_header_bytes),
            ws="none",
            lifespan="off",
            interface="asgi3",
            proxy_headers=False,
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            backlog=ACCEPT_BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_SECONDS,
        )
        self._server = _UvicornServer(config)

    @property
    def address(self) -> str:
        """Address that the listener is bound to, ``IP:PORT``."""
        return self._address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.server_state.connections)

    async def run(self) -> None:
        """Serve until ``stop`` is called and calls in flight have completed."""
        await self._server.serve(sockets=[self._socket])

    async def wait_started(self) -> None:
        """Wait until the listener accepts connections."""
        while not self._server.started:
            await asyncio.sleep(0.005)

    def stop(self, grace: float | None = None) -> None:
        """Stop accepting connections and let calls in flight finish.

        Args:
            grace: Seconds after which remaining calls are cancelled; None for no limit.
        """
        self._server.config.timeout_graceful_shutdown = grace
        self._server.should_exit = True
        self._server.stopping.set()

    def abort(self) -> None:
        """Reset all connections and stop, like a killed process."""
        for connection in list(self._server.server_state.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self._server.force_exit = True
        self.stop(0)
