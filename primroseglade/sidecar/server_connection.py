"""HTTP/1.1 on one connection of a caller: requests are read, answered, and timed."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

import httptools

from .http_messages import (
    BODILESS_STATUS_LINES,
    RawHeaders,
    render_status_line,
    Reply,
    Request,
)
from .model import CallerLimits
from .pipeline import Exchange, Pipeline

# Requests read ahead on one connection before reading pauses.
MAX_PIPELINED_REQUESTS = 8
# Bytes that may wait unsent for a slow caller before its connection is not read.
WRITE_HIGH_WATER_BYTES = 256 * 1024
# How long a body may take beyond what the operator allows for the head, in seconds.
BODY_TIMEOUT_SECONDS = 30.0
# How long what a caller still sends is read after the last answer, in seconds: several
# round trips between zones.
LINGER_TIMEOUT_SECONDS = 1.0

Handler = Callable[[Request], Awaitable[Reply]]


class ConnectionOwner(Protocol):
    """What a connection needs of the server that accepted it.

    Attributes:
        stalled: Whether this process stood still, so that what it reads is old.
    """

    stalled: bool

    @property
    def stopping(self) -> bool:
        """Whether connections end with their next answer."""

    @property
    def limits(self) -> CallerLimits:
        """The bounds on callers in force."""

    @property
    def handler(self) -> Handler:
        """Answers one request."""

    def add(self, connection: "ServerConnection") -> None:
        """Note an open connection."""

    def discard(self, connection: "ServerConnection") -> None:
        """Forget a closed connection."""


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    __slots__ = (
        "_body",
        "_chunk_bytes",
        "_error_status",
        "_headers",
        "_is_new",
        "_lingering",
        "_loop",
        "_method",
        "_parser",
        "_paused",
        "_peer",
        "_pipeline",
        "_reading_request",
        "_received_bytes",
        "_server",
        "_target",
        "_timer_start",
        "_transport",
    )

    def __init__(self, server: ConnectionOwner):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pipeline = Pipeline()
        self._reading_request = False
        self._lingering = False
        self._paused = False
        self._is_new = True
        self._timer_start = time.monotonic()
        self._peer = ""
        self._error_status = 0
        self._chunk_bytes = 0
        self._reset_request()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return not self._lingering and (
            self._reading_request or self._pipeline.size > 0
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the connection's options."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        peer = transport.get_extra_info("peername")
        self._peer = peer[0] if peer else ""
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what the caller no longer waits for."""
        self._transport = None
        self._server.discard(self)
        self._pipeline.cancel()

    def eof_received(self) -> bool:
        """Treat a caller that stops sending as one that left."""
        self._pipeline.cancel()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._error_status or self._lingering:
            return
        if not self._reading_request and not self._pipeline.size:
            self._timer_start = time.monotonic()
        self._chunk_bytes = len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(self._error_status or 400)
            return
        if self._reading_request and not self._method:
            self._received_bytes += len(data)
            if self._received_bytes > self._server.limits.header_bytes:
                self._reject(431)

    def on_message_begin(self) -> None:
        """Parser callback."""
        self._reading_request = True
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        """Parser callback."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Parser callback."""
        if self._received_bytes + self._chunk_bytes > self._server.limits.header_bytes:
            # Only then are the headers worth adding up: a body may be in the chunk.
            self._check_head_size()
        self._received_bytes = 0
        self._method = self._parser.get_method()
        for name, value in self._headers:
            if len(name) == 6 and name.lower() == b"expect":
                if value.lower() == b"100-continue":
                    self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Parser callback."""
        self._body.append(body)
        self._received_bytes += len(body)
        if self._received_bytes > self._server.limits.body_bytes:
            self._error_status = 413
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
        self._reading_request = False
        self._body = []
        pipeline = self._pipeline
        if pipeline.size and pipeline.closes_connection:
            # The caller itself said that nothing follows.
            return
        pipeline.add(request)
        if pipeline.size >= MAX_PIPELINED_REQUESTS and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._start_requests()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if its caller took too long."""
        limits = self._server.limits
        if self._lingering:
            if now - self._timer_start > LINGER_TIMEOUT_SECONDS:
                self.close()
            return
        if self._pipeline.size:
            return
        if self._reading_request:
            # A body may take longer than a head, but not without end.
            timeout = limits.head_timeout + (
                BODY_TIMEOUT_SECONDS if self._method else 0.0
            )
            if now - self._timer_start > timeout:
                self._reject(408)
        elif now - self._timer_start > limits.idle_timeout:
            self.close()

    def close(self) -> None:
        """Close when all answers are written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Cut it."""
        if self._transport is not None:
            self._transport.abort()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: RawHeaders = []
        self._body: list[bytes] = []
        self._received_bytes = 0
        self._method = b""

    def _check_head_size(self) -> None:
        size = len(self._target)
        size += sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size > self._server.limits.header_bytes:
            self._error_status = 431
            raise ValueError("larger than callers may send")

    def _reject(self, status: int) -> None:
        """Answer bytes that are no acceptable request, and end the connection."""
        self._error_status = status
        if self._pipeline.size:
            # What was asked before is answered first; no further request is read.
            return
        head = render_status_line(status)
        self._write(head + b"Content-Length: 0\r\nConnection: close\r\n\r\n")
        self._close_after_reply()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _start_requests(self) -> None:
        """Start the work on what may be worked on now."""
        pipeline = self._pipeline
        while pipeline.started < pipeline.size:
            exchange = pipeline.start_next(closing=self._server.stopping)
            if exchange is None:
                return
            exchange.task = self._loop.create_task(self._handle_request(exchange))

    async def _handle_request(self, exchange: Exchange) -> None:
        if self._is_new or self._server.stalled:
            # Lets the loop read on first. Where a connection was accepted late, or
            # this process stood still, the caller's leaving may be the next thing to
            # be read, and its request must not be passed on.
            await asyncio.sleep(0)
        try:
            exchange.reply = await self._server.handler(exchange.request)
        except Exception:
            # The loop reports it; the caller must not wait for an answer.
            self.abort()
            raise
        self._send_ready_replies()

    def _send_ready_replies(self) -> None:
        """Send the answers whose turn it is."""
        pipeline = self._pipeline
        while pipeline.size:
            exchange = pipeline.pop_answered()
            if exchange is None:
                break
            self._is_new = False
            self._timer_start = time.monotonic()
            assert exchange.reply is not None
            if not self._send_reply(exchange.request, exchange.reply):
                self._close_after_reply()
                return
        if not pipeline.size and self._error_status:
            self._close_after_reply()
            return
        if pipeline.started < pipeline.size:
            self._start_requests()
        if (
            self._paused
            and pipeline.size < MAX_PIPELINED_REQUESTS
            and self._transport is not None
        ):
            self._paused = False
            self._transport.resume_reading()

    def _send_reply(self, request: Request, reply: Reply) -> bool:
        """Write an answer and return whether the connection goes on."""
        if not reply.framed:
            self._write(reply.head + reply.body)
            return not reply.close
        persistent = request.keep_alive and not reply.close
        if self._server.stopping and not self._pipeline.started:
            # What is at work behind this answer is answered before the end.
            persistent = False
        connection = b"" if persistent else b"Connection: close\r\n"
        length = b""
        if not reply.head.startswith(BODILESS_STATUS_LINES):
            length = b"Content-Length: %d\r\n" % len(reply.body)
        body = b"" if request.method == b"HEAD" else reply.body
        self._write(b"".join((reply.head, length, connection, b"\r\n", body)))
        return persistent

    def _close_after_reply(self) -> None:
        """End the connection so that the caller can read the last answer.

        Closed with bytes unread, a connection is reset, and the caller may lose the
        answer: some send further requests ahead. So only sending ends here; what
        still comes is read and dropped until the caller closes, or for a while.
        """
        self._pipeline.cancel()
        self._lingering = True
        self._timer_start = time.monotonic()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
            self._transport.write_eof()
