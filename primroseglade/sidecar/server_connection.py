"""The server side of one HTTP/1.1 connection: parsing, pipelining and timeouts."""

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

# Unanswered requests on one connection at which reading pauses.
MAX_PIPELINED_REQUESTS = 8
# High-water mark of a connection's write buffer, which fills if a caller reads slowly.
WRITE_HIGH_WATER_BYTES = 256 * 1024
# Time to receive a body, on top of the operator's limit for the head.
BODY_TIMEOUT_SECONDS = 30.0
# How long input is read and dropped after the last response: several round trips
# between zones.
LINGER_TIMEOUT_SECONDS = 1.0

Handler = Callable[[Request], Awaitable[Reply]]


class ConnectionOwner(Protocol):
    """The part of the server that its connections use.

    Attributes:
        recently_stalled: Whether the event loop was blocked a moment ago, so that the
            input it reads now may be old.
    """

    recently_stalled: bool

    @property
    def stopping(self) -> bool:
        """Whether connections are to be closed after the requests in flight."""

    @property
    def limits(self) -> CallerLimits:
        """The current limits on requests and idle connections."""

    @property
    def handler(self) -> Handler:
        """The coroutine function that answers one request."""

    def add(self, connection: "ServerConnection") -> None:
        """Register an open connection."""

    def discard(self, connection: "ServerConnection") -> None:
        """Unregister a closed connection."""


class ServerConnection(asyncio.Protocol):
    """The server side of one connection.

    Args:
        server: The server that accepted the connection.
    """

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
        "_peer",
        "_pipeline",
        "_reading_paused",
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
        self._reading_paused = False
        self._is_new = True
        self._timer_start = time.monotonic()
        self._peer = ""
        self._error_status = 0
        self._chunk_bytes = 0
        self._reset_request()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered, or a response being sent."""
        return self._has_unsent_bytes or (
            not self._lingering and (self._reading_request or self._pipeline.size > 0)
        )

    @property
    def _has_unsent_bytes(self) -> bool:
        """Whether this process still holds bytes that the caller is slow to read."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set socket options and register with the server."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        peer = transport.get_extra_info("peername")
        self._peer = peer[0] if peer else ""
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister, and cancel all requests: the caller no longer waits for them."""
        self._transport = None
        self._server.discard(self)
        self._pipeline.cancel()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a caller that disconnected."""
        self._pipeline.cancel()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and reject a head over the size limit."""
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
            if self._received_bytes > self._server.limits.max_header_bytes:
                self._reject(431)

    def on_message_begin(self) -> None:
        """Start a new request (httptools callback)."""
        self._reading_request = True
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        """Append to the request target (httptools callback)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (httptools callback)."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head's size and answer ``Expect: 100-continue``.

        This is an httptools callback.
        """
        if (
            self._received_bytes + self._chunk_bytes
            > self._server.limits.max_header_bytes
        ):
            # The chunk may also hold body bytes: count the bytes of the head alone.
            self._check_head_size()
        self._received_bytes = 0
        self._method = self._parser.get_method()
        for name, value in self._headers:
            if len(name) == 6 and name.lower() == b"expect":
                if value.lower() == b"100-continue":
                    self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body (httptools callback).

        Raises:
            ValueError: The body exceeds the size limit.
        """
        self._body.append(body)
        self._received_bytes += len(body)
        if self._received_bytes > self._server.limits.max_body_bytes:
            self._error_status = 413
            # The parser stops and raises HttpParserError in data_received.
            raise ValueError("request body exceeds the size limit")

    def on_message_complete(self) -> None:
        """Queue a complete request, and start it if possible (httptools callback)."""
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
            # An earlier request asked to close the connection: ignore later ones.
            return
        pipeline.add(request)
        if pipeline.size >= MAX_PIPELINED_REQUESTS and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()
        self._start_requests()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if the caller exceeded a timeout.

        Args:
            now: Current ``time.monotonic()``.
        """
        limits = self._server.limits
        if self._has_unsent_bytes:
            self._timer_start = now
        if self._lingering:
            if now - self._timer_start > LINGER_TIMEOUT_SECONDS:
                self.close()
            return
        if self._pipeline.size:
            return
        if self._reading_request:
            # The head has been read if the method is known.
            timeout = limits.head_timeout + (
                BODY_TIMEOUT_SECONDS if self._method else 0.0
            )
            if now - self._timer_start > timeout:
                self._reject(408)
        elif now - self._timer_start > limits.idle_timeout:
            self.close()

    def close(self) -> None:
        """Close the connection after buffered responses are written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, dropping unsent bytes."""
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
        if size > self._server.limits.max_header_bytes:
            self._error_status = 431
            raise ValueError("request head exceeds the size limit")

    def _reject(self, status: int) -> None:
        """Respond with an error to a request that cannot be read, and close.

        If earlier requests are unanswered, the connection closes after the responses
        to these, and the error is not sent.

        Args:
            status: HTTP status of the error.
        """
        self._error_status = status
        if self._pipeline.size:
            # Earlier requests are answered first; no further request is read.
            return
        head = render_status_line(status)
        self._write(head + b"Content-Length: 0\r\nConnection: close\r\n\r\n")
        self._close_after_reply()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _start_requests(self) -> None:
        """Start handlers for all requests that may run now."""
        pipeline = self._pipeline
        while pipeline.started < pipeline.size:
            exchange = pipeline.start_next(closing=self._server.stopping)
            if exchange is None:
                return
            exchange.task = self._loop.create_task(self._handle_request(exchange))

    async def _handle_request(self, exchange: Exchange) -> None:
        if self._is_new or self._server.recently_stalled:
            # Let the loop read once more before the request is forwarded. If the
            # connection was accepted late or the process was stalled, the caller may
            # have disconnected already, and then the request must not run.
            await asyncio.sleep(0)
        try:
            exchange.reply = await self._server.handler(exchange.request)
        except Exception:
            # The loop logs the exception; the caller must not wait for a response.
            self.abort()
            raise
        self._send_ready_replies()

    def _send_ready_replies(self) -> None:
        """Send responses in request order, up to the first that is not ready."""
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
            self._reading_paused
            and pipeline.size < MAX_PIPELINED_REQUESTS
            and self._transport is not None
        ):
            self._reading_paused = False
            self._transport.resume_reading()

    def _send_reply(self, request: Request, reply: Reply) -> bool:
        """Write a response, and return whether the connection stays open."""
        if not reply.framed:
            self._write(reply.head + reply.body)
            return not reply.close
        persistent = request.keep_alive and not reply.close
        if self._server.stopping and not self._pipeline.started:
            # Close after the response to the last started request.
            persistent = False
        connection = b"" if persistent else b"Connection: close\r\n"
        length = b""
        if not reply.head.startswith(BODILESS_STATUS_LINES):
            length = b"Content-Length: %d\r\n" % len(reply.body)
        body = b"" if request.method == b"HEAD" else reply.body
        self._write(b"".join((reply.head, length, connection, b"\r\n", body)))
        return persistent

    def _close_after_reply(self) -> None:
        """Shut down sending, so that the caller can still read the last response.

        The kernel resets a connection that is closed with unread input, and the caller
        may lose the response; this happens with pipelined requests. Input is therefore
        read and dropped until the caller closes or ``LINGER_TIMEOUT_SECONDS`` have
        passed since the response was sent.
        """
        self._pipeline.cancel()
        self._lingering = True
        self._timer_start = time.monotonic()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
            self._transport.write_eof()
