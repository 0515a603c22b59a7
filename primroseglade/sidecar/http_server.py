"""HTTP/1.1 towards callers: one task for each connection, one request at a time."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import httptools

from ..addresses import parse_address
from .http_messages import RawHeaders, render_status_line, Reply, Request, WITHOUT_BODY
from .model import CallerLimits

# How often idle and unfinished connections are looked for, in seconds; limits on
# callers are whole seconds.
SWEEP_SECONDS = 0.5
# Requests read ahead on one connection before reading pauses.
READ_AHEAD = 4
# Bytes that may wait unsent for a slow caller before its connection is not read.
WRITE_HIGH_WATER = 256 * 1024

# New connections that the kernel holds until they are accepted. A full queue drops
# opening packets, which callers send again only after seconds.
BACKLOG = 1024

Handler = Callable[[Request], Awaitable[Reply]]


class HttpServer:
    """Listens on one address.

    Args:
        address: ``IP:PORT``.
        handler: Answers one request; cancelled when the caller leaves.
        get_limits: Returns the bounds on callers in force.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        get_limits: Callable[[], CallerLimits] = CallerLimits,
    ):
        self._address = address
        self._handler = handler
        self._get_limits = get_limits
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
                await asyncio.sleep(SWEEP_SECONDS)
                now = time.monotonic()
                for connection in list(self._connections):
                    connection.sweep(now)
        finally:
            self._server.close()

    def ask_to_close(self) -> None:
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

    def add(self, connection: "ServerConnection") -> None:
        """Note an open connection."""
        self._connections.add(connection)

    def discard(self, connection: "ServerConnection") -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    __slots__ = (
        "_body",
        "_chunk",
        "_current",
        "_headers",
        "_method",
        "_parser",
        "_peer",
        "_ready",
        "_requests",
        "_server",
        "_since",
        "_size",
        "_target",
        "_task",
        "_too_large",
        "_transport",
        "_working",
    )

    def __init__(self, server: HttpServer):
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._requests: list[Request] = []
        self._ready: asyncio.Future[None] | None = None
        self._working = False
        self._current = False
        self._since = time.monotonic()
        self._peer = ""
        self._too_large = 0
        self._chunk = 0
        self._reset()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._working or self._current or bool(self._requests)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the connection's task."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        peer = transport.get_extra_info("peername")
        self._peer = peer[0] if peer else ""
        self._server.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what the caller no longer waits for."""
        self._transport = None
        self._server.discard(self)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat a caller that stops sending as one that left."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._too_large:
            return
        if not self._current and not self._working:
            self._since = time.monotonic()
        self._chunk = len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse_malformed(400)
        except httptools.HttpParserError:
            self._refuse_malformed(self._too_large or 400)
            return
        if self._current and not self._method:
            self._size += len(data)
            if self._size > self._server.limits.header_bytes:
                self._refuse_malformed(431)

    def on_message_begin(self) -> None:
        """Parser callback."""
        self._current = True
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Parser callback."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Parser callback."""
        if self._size + self._chunk > self._server.limits.header_bytes:
            # Only then are the headers worth adding up: a body may be in the chunk.
            self._check_head_size()
        self._size = 0
        self._method = self._parser.get_method()
        for name, value in self._headers:
            if len(name) == 6 and name.lower() == b"expect":
                if value.lower() == b"100-continue":
                    self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Parser callback."""
        self._body.append(body)
        self._size += len(body)
        if self._size > self._server.limits.body_bytes:
            self._too_large = 413
            # Raised through the parser, which stops at it.
            raise ValueError("larger than callers may send")

    def on_message_complete(self) -> None:
        """Parser callback."""
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        request = Request(
            self._method,
            self._target,
            self._headers,
            body,
            self._parser.should_keep_alive(),
            self._peer,
            time.monotonic(),
        )
        self._current = False
        self._body = []
        self._requests.append(request)
        if self._ready is not None and not self._ready.done():
            self._ready.set_result(None)
        if len(self._requests) >= READ_AHEAD and self._transport is not None:
            self._transport.pause_reading()

    def sweep(self, now: float) -> None:
        """Close the connection if its caller took too long."""
        limits = self._server.limits
        if self._working or self._requests:
            return
        if self._current:
            # A body may take longer than a head, but not without end.
            longest = limits.head_timeout + (30.0 if self._method else 0.0)
            if now - self._since > longest:
                self._refuse_malformed(408)
        elif now - self._since > limits.idle_timeout:
            self.close()

    def close(self) -> None:
        """Close when all answers are written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Cut it."""
        if self._transport is not None:
            self._transport.abort()

    def _reset(self) -> None:
        self._target = b""
        self._headers: RawHeaders = []
        self._body: list[bytes] = []
        self._size = 0
        self._method = b""

    def _check_head_size(self) -> None:
        size = len(self._target)
        size += sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size > self._server.limits.header_bytes:
            self._too_large = 431
            raise ValueError("larger than callers may send")

    def _refuse_malformed(self, status: int) -> None:
        """Answer bytes that are no acceptable request, and end the connection."""
        self._too_large = status
        if self._working or self._requests:
            # What was asked before is answered first; no further request is read.
            return
        head = render_status_line(status)
        self._write(head + b"Content-Length: 0\r\nConnection: close\r\n\r\n")
        self.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if not self._requests:
                self._ready = loop.create_future()
                await self._ready
            request = self._requests.pop(0)
            self._working = True
            reply = await self._server.handler(request)
            self._working = False
            self._since = time.monotonic()
            stays = self._send(request, reply)
            if not stays or (self._too_large and not self._requests):
                self.close()
                return
            if self._transport is not None and not self._requests:
                self._transport.resume_reading()

    def _send(self, request: Request, reply: Reply) -> bool:
        """Write an answer and return whether the connection goes on."""
        if not reply.framed:
            self._write(reply.head + reply.body)
            return not reply.close
        stays = request.keep_alive and not reply.close and not self._server.stopping
        connection = b"" if stays else b"Connection: close\r\n"
        length = b""
        if not reply.head.startswith(WITHOUT_BODY):
            length = b"Content-Length: %d\r\n" % len(reply.body)
        body = b"" if request.method == b"HEAD" else reply.body
        self._write(b"".join((reply.head, length, connection, b"\r\n", body)))
        return stays
