"""Persistent HTTP/1.1 client connections, based on the parser of httptools.

Client libraries do not report whether any byte of a request was sent, whether a first
byte of the response arrived, and whether the response is complete: they fold these
into one error, and some retry requests by themselves.
"""

import asyncio
from collections.abc import AsyncIterator

import httptools

from ..response_checks import contains_status_line, is_framing_excessive
from ..sockets import set_dead_peer_options
from ..verdicts import may_have_run, not_run, Reason, Refusal
from .call import Body, Context
from .headers import Headers

# Amount of unread body at which reading from the connection pauses.
READ_HIGH_WATER_BYTES = 256 * 1024
# With these times the kernel detects a peer that vanished without closing the
# connection, but not a device in between that dropped the connection's state.
TCP_KEEPALIVE_IDLE_SECONDS = 2
TCP_USER_TIMEOUT_MS = 4000


class Response:
    """Status and headers of a response, and whether its body is complete."""

    __slots__ = ("complete", "headers", "length", "status")

    def __init__(self, status: int, headers: Headers, length: int | None):
        self.status = status
        self.headers = headers
        self.length = length
        self.complete = False


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Args:
        max_buffered_bytes: Maximum size of a response body that is buffered completely.
    """

    def __init__(self, max_buffered_bytes: int):
        self._max_buffered_bytes = max_buffered_bytes
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._reason_phrase = b""
        self._headers: Headers = []
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._chunks: list[bytes] = []
        self._size = 0
        self._response: Response | None = None
        self._ready: asyncio.Future[None] | None = None
        self._body_event: asyncio.Event | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._head_only = False
        self._reusable = True
        self._error: Refusal | None = None
        self.first_byte_received = False
        self.idle_since = 0.0

    @property
    def reused(self) -> bool:
        """Whether it has carried a request before the current one."""
        return bool(self.idle_since)

    @property
    def closed(self) -> bool:
        """Whether it is closed or closing, so that nothing can be sent."""
        return self._transport is None or self._transport.is_closing()

    @property
    def reusable(self) -> bool:
        """Whether it may carry another request."""
        done = self._response is None or self._response.complete
        return self._reusable and done and not self.closed

    @property
    def _is_complete(self) -> bool:
        """Whether the whole response was received."""
        return self._response is not None and self._response.complete

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect a dead peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_dead_peer_options(
            transport, TCP_KEEPALIVE_IDLE_SECONDS, TCP_USER_TIMEOUT_MS
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight, if any."""
        self._transport = None
        self._writable.set()
        if self._response is not None and self._response.complete:
            return
        self._fail(
            may_have_run(
                Reason.CONNECTION_LOST,
                "the connection was lost before the response was complete",
            )
        )

    def pause_writing(self) -> None:
        """Pause sending of a request body that the other end does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume sending of the request body."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._parser is None:
            # Bytes without a request in flight: the next request on this connection
            # would take them for its response.
            self.close()
            return
        self.first_byte_received = True
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject_response("the response switches protocols")
        except httptools.HttpParserError as error:
            self._reject_response(f"invalid HTTP/1.1 response: {error}")
        received_bytes, body_bytes = self._received_bytes, self._received_body_bytes
        if not self._is_complete and is_framing_excessive(received_bytes, body_bytes):
            size = received_bytes - body_bytes
            self._reject_response(f"{size} bytes outside the response's body")

    def on_message_begin(self) -> None:
        """Handle the start of a response; called by the parser."""
        if self._parser is None:
            self._reusable = False
        self._reason_phrase = b""
        self._headers = []

    def on_status(self, reason_phrase: bytes) -> None:
        """Handle a part of the reason phrase; called by the parser."""
        self._reason_phrase += reason_phrase

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header or a trailer, which is dropped; called by the parser."""
        if self._response is not None:
            return
        self._headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Handle the end of the headers; called by the parser."""
        if self._parser is None:
            # A second response to one request; the connection will not be reused.
            return
        lines = [self._reason_phrase, *(value for _, value in self._headers)]
        if any(map(contains_status_line, lines)):
            self._reject_response("a line of the head holds another status line")
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        length: int | None = None
        chunked = False
        for name, value in self._headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
        self._response = Response(status, self._headers, length)
        if not self._parser.should_keep_alive():
            self._reusable = False
        if self._head_only:
            # The parser waits for a body, which a response to HEAD does not have.
            self._reusable = False
            self._complete()
        elif length is None and not chunked and status not in (204, 304):
            # The body would end where the connection ends, so that a complete response
            # could not be told apart from a lost connection.
            self._reject_response(
                "the response has no content-length and is not chunked"
            )
        elif length is not None and length > self._max_buffered_bytes:
            self._resolve_ready()

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body; called by the parser."""
        self._received_body_bytes += len(body)
        if self._response is None:
            return
        self._chunks.append(body)
        self._size += len(body)
        if self._size > self._max_buffered_bytes:
            self._resolve_ready()
        if self._size > READ_HIGH_WATER_BYTES and self._transport is not None:
            self._transport.pause_reading()
        if self._body_event is not None:
            self._body_event.set()

    def on_message_complete(self) -> None:
        """Handle the end of a response; called by the parser."""
        if self._response is not None and not self._response.complete:
            self._complete()

    async def exchange(self, head: bytes, body: Body, head_only: bool) -> Response:
        """Send a request and wait for its response.

        Returns once the body is complete, or exceeds the size that is buffered.

        Raises:
            Refusal: The connection was closed or lost, or the response is invalid.
        """
        self._begin(head_only)
        assert self._ready is not None and self._transport is not None
        try:
            if body.content is not None:
                self._transport.write(head + body.content)
            else:
                await self._send_stream(head, body)
            await self._ready
        except BaseException:
            # The deadline passed or the caller disconnected. What the other end still
            # reads or sends would be mixed up with the next call.
            self._reusable = False
            raise
        assert self._response is not None
        return self._response

    def take_buffered(self) -> bytes:
        """Return the part of the body that has been received, and clear the buffer."""
        content = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks = []
        self._size = 0
        return content

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the body as it is received.

        Raises:
            Refusal: The body is truncated.
        """
        assert self._response is not None
        self._body_event = asyncio.Event()
        while True:
            if self._chunks:
                yield self.take_buffered()
                if self._transport is not None:
                    self._transport.resume_reading()
                continue
            if self._response.complete:
                return
            if self._error is not None:
                raise self._error
            self._body_event.clear()
            await self._body_event.wait()

    def close(self) -> None:
        """Abort the connection, which the other end takes as a cancellation."""
        if self._transport is not None:
            self._transport.abort()

    def _begin(self, head_only: bool) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._received_bytes = self._received_body_bytes = 0
        self._chunks = []
        self._size = 0
        self._response = None
        self._body_event = None
        self._error = None
        self._head_only = head_only
        self.first_byte_received = False
        self._ready = asyncio.get_running_loop().create_future()
        if self.closed:
            raise not_run(
                Reason.CONNECTION_LOST,
                "the connection was closed before the request was sent",
            )

    async def _send_stream(self, head: bytes, body: Body) -> None:
        assert body.stream is not None and self._transport is not None
        body.started = True
        self._transport.write(head)
        async for chunk in body.stream:
            if self.closed or (self._ready is not None and self._ready.done()):
                # A response arrived, or the connection was lost, before the body ended.
                self._reusable = False
                return
            if not chunk:
                continue
            if body.length is None:
                chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
            self._transport.write(chunk)
            await self._writable.wait()
        if body.length is None and not self.closed:
            self._transport.write(b"0\r\n\r\n")

    def _complete(self) -> None:
        assert self._response is not None
        self._response.complete = True
        self._parser = None if self._reusable else self._parser
        self._resolve_ready()
        if self._body_event is not None:
            self._body_event.set()

    def _reject_response(self, detail: str) -> None:
        self._fail(may_have_run(Reason.ANSWER_BROKEN, detail))
        self.close()

    def _fail(self, error: Refusal) -> None:
        self._error = error
        self._reusable = False
        if self._ready is not None and not self._ready.done():
            self._ready.set_exception(error)
            # Marks the error as retrieved, since a cancelled request is not awaited.
            self._ready.exception()
        if self._body_event is not None:
            self._body_event.set()

    def _resolve_ready(self) -> None:
        if self._ready is not None and not self._ready.done():
            self._ready.set_result(None)


async def iterate_until_deadline(
    connection: Connection, context: Context
) -> AsyncIterator[bytes]:
    """Yield the body of a response as it is received, until the call's deadline.

    Raises:
        Refusal: The body is truncated, or the deadline passed before its end.
    """
    body = connection.iterate_body()
    while True:
        try:
            async with asyncio.timeout(context.remaining):
                chunk = await anext(body, None)
        except TimeoutError as error:
            detail = "the deadline passed while the response was received"
            raise may_have_run(Reason.DEADLINE_EXCEEDED, detail) from error
        if chunk is None:
            return
        yield chunk


def build_head(
    method: str, target: bytes, host: str, headers: Headers, body: Body
) -> bytes:
    """Return the head of a request, with headers that the listener has validated."""
    lines = [b"%b %b HTTP/1.1" % (method.encode(), target), b"host: " + host.encode()]
    lines += [b"%b: %b" % header for header in headers]
    if body.length is not None:
        if body.length or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(b"content-length: %d" % body.length)
    else:
        lines.append(b"transfer-encoding: chunked")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)
