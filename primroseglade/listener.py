"""One HTTP listener: uvicorn under the project's supervisor instead of its own."""

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

# uvicorn writes a traceback for every request whose task is cancelled, which here is
# how a caller that went away is told; what fails in a call is an event of its own.
logging.getLogger("uvicorn").setLevel(logging.CRITICAL + 1)

ACCEPT_BACKLOG = 1024
KEEP_ALIVE_TIMEOUT_SECONDS = 30


def as_handler(
    method: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    """Wrap a bound method, which blacksheep's router cannot mark as a handler."""

    async def handle(request: Request) -> Response:
        return await method(request)

    return handle


def build_application() -> Application:
    """Return an application with routes of its own.

    One process may run many nodes, and blacksheep's default router is the process's.
    """
    return Application(router=Router())


class _UvicornServer(uvicorn.Server):
    """A uvicorn server that leaves signals and the clock to its process."""

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self.stopping = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def main_loop(self) -> None:
        # The original wakes ten times a second for a Date header and signals; with
        # five listeners a node that alone would be a noticeable load when idle.
        await self.stopping.wait()


class Listener:
    """Serves an ASGI application at one address.

    Args:
        app: The application.
        address: ``IP:PORT``; port 0 lets the kernel choose.
        header_bytes: Largest request head that is read.
    """

    def __init__(self, app: Any, address: str, header_bytes: int = 32768):
        host, port = parse_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # With the protocol left to the kernel, asyncio does not see that accepted
        # sockets are TCP and leaves Nagle's algorithm on: each answer then waits
        # about 40 ms for the client's delayed acknowledgement.
        self._socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        self._address = join_address(host, self._socket.getsockname()[1])
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=build_protocol(header_bytes),
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
        """``IP:PORT`` that it listens on."""
        return self._address

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._server.server_state.connections)

    async def run(self) -> None:
        """Serve until ``stop`` is called and calls in flight are answered."""
        await self._server.serve(sockets=[self._socket])

    async def wait_started(self) -> None:
        """Wait until connections are accepted."""
        while not self._server.started:
            await asyncio.sleep(0.005)

    def stop(self, grace: float | None = None) -> None:
        """Stop accepting; wait up to ``grace`` seconds for calls in flight."""
        self._server.config.timeout_graceful_shutdown = grace
        self._server.should_exit = True
        self._server.stopping.set()

    def abort(self) -> None:
        """Drop every connection at once, as a killed process would."""
        for connection in list(self._server.server_state.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self._server.force_exit = True
        self.stop(0)
