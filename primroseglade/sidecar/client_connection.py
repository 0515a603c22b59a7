"""The client side of one HTTP/1.1 connection.

Unlike common client libraries, it distinguishes a complete response from a truncated
one, the response to this request from a late response to another, and a request that
was not sent from one that the server may have received.
"""

import asyncio
from collections.abc import Callable

import httptools

from ..response_checks import contains_status_line, is_framing_excessive
from ..sockets import set_dead_peer_options, set_unacknowledged_limit, was_reset
from .held_responses import HeldResponses

RawHeaders = list[tuple[bytes, bytes]]

# How long sent data may stay unacknowledged before the kernel closes the connection as
# dead. Longer than two retransmissions within a site, shorter than most callers'
# deadlines.
MAX_UNACKNOWLEDGED_MS = 1500
# Larger requests may fill the receive window of a server that is slow to read. They are
# bounded by their deadlines alone.
MAX_WINDOW_REQUEST_BYTES = 4096
KEEP_ALIVE_IDLE_SECONDS = 1
# Used for servers that send no Keep-Alive header; common servers close idle connections
# after 5 s or more.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# A server closes an idle connection when the timeout that it announced expires. Reuse
# stops one second earlier, to allow for the transit of a request.
IDLE_TIMEOUT_MARGIN_SECONDS = 1.0
# Incomplete responses, in sum over the connections to one address.
MAX_HELD_RESPONSE_BYTES = 48 * 1024 * 1024
MIN_BODY_PART_BYTES = 64 * 1024
MAX_SEARCHED_BYTES = 16 * 1024
# Interim responses and responses to other requests that may precede the response.
MAX_SKIPPED_RESPONSES = 32


class ExchangeError(Exception):
    """A request that got no complete response.

    Args:
        detail: Description of the failure.
        sent: Whether the request may have reached the server.
        refused: Whether the connection was refused: no process listens there.
    """

    def __init__(self, detail: str, sent: bool, refused: bool = False):
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
        self.refused = refused


class MalformedResponseError(ExchangeError):
    """A server sent bytes that are no valid response; the request may have run.

    Args:
        detail: Description of the failure.
    """

    def __init__(self, detail: str):
        super().__init__(f"malformed response: {detail}", sent=True)


class Response:
    """A complete response of a server."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: RawHeaders):
        self.status = status
        self.headers = headers
        self.body = b""


ResponseFilter = Callable[[Response], bool]


class ClientConnection(asyncio.Protocol):
    """The client side of one connection; carries one request at a time.

    Args:
        on_lost: Called once the connection is closed, with whether the server closed
            it.
        held_responses: Limits the bytes that all connections hold.

    Attributes:
        idle_since: ``time.monotonic()`` of the last return to the pool.
        idle_timeout: Idle seconds after which the connection must not be reused.
    """

    __slots__ = (
        "_accept",
        "_body_bytes",
        "_body_parts",
        "_checks_lines",
        "_closed_here",
        "_delimited_by_close",
        "_head_complete",
        "_head_only",
        "_held_responses",
        "_is_held",
        "_loop",
        "_on_lost",
        "_parser",
        "_pending",
        "_reason_phrase",
        "_received_body_bytes",
        "_received_bytes",
        "_response",
        "_reusable",
        "_skipped_responses",
        "_transport",
        "idle_since",
        "idle_timeout",
    )

    def __init__(
        self, on_lost: Callable[[bool], None], held_responses: HeldResponses
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_lost = on_lost
        self._held_responses = held_responses
        self._is_held = False
        self._closed_here = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: Response | None = None
        self._reason_phrase = b""
        self._body_parts: list[bytes | bytearray] = []
        self._body_bytes = 0
        # Since the request was sent.
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._skipped_responses = 0
        self._pending: asyncio.Future[Response] | None = None
        self._accept: ResponseFilter | None = None
        self._reusable = True
        self._checks_lines = True
        self._head_complete = False
        self._head_only = False
        self._delimited_by_close = False
        self.idle_since = 0.0
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT_SECONDS

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        transport = self._transport
        return (
            self._reusable
            and transport is not None
            and not transport.is_closing()
            and not transport.get_write_buffer_size()
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket options that detect a dead peer."""
        self._transport = transport
        set_dead_peer_options(transport, KEEP_ALIVE_IDLE_SECONDS, MAX_UNACKNOWLEDGED_MS)

    def eof_received(self) -> bool:
        """Complete or fail a response that is delimited by the connection's end."""
        if self._delimited_by_close and self._response is not None:
            self._reusable = False
            if self._transport is not None and was_reset(self._transport):
                # Only an orderly close marks the end of such a response.
                detail = "connection reset before the end of the response"
                self._fail(ExchangeError(detail, sent=True))
            else:
                self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits for a response."""
        self._transport = None
        self._release()
        reason = str(exc) if exc else "closed by the server"
        self._fail(ExchangeError(f"connection lost: {reason}", sent=True))
        self._on_lost(not self._closed_here)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        pending = self._pending
        if pending is None or pending.done():
            # Unsolicited bytes could be mistaken for the response to the next request.
            self.close()
            return
        # Checking each line is slow; a head that comes in one piece, without a second
        # status line in it, needs no check.
        self._checks_lines = (
            self._received_bytes > 0
            or len(data) > MAX_SEARCHED_BYTES
            or data.find(b"HTTP/", 1) > 0
        )
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._reject(str(error))
            return
        if not pending.done():
            self._check_size()

    def on_message_begin(self) -> None:
        """Start a new response (httptools callback)."""
        if self._pending is None or self._pending.done():
            # A response that no request is waiting for. It may be truncated: the parser
            # would take the next response for the rest of it.
            self._reusable = False
        self._response = Response(0, [])
        self._head_complete = False
        self._reason_phrase = b""
        if self._body_parts:
            self._drop_body()
        self._delimited_by_close = False

    def on_status(self, reason_phrase: bytes) -> None:
        """Add a part of the reason phrase (httptools callback)."""
        self._reason_phrase += reason_phrase

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, but no trailer (httptools callback).

        Trailers must not be taken for headers (RFC 9110, section 6.5.1): they could add
        a signature, or the statement that the request was not executed.
        """
        assert self._response is not None
        if not self._head_complete:
            self._response.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine framing and reuse of the connection (httptools callback)."""
        assert self._response is not None
        self._head_complete = True
        self._response.status = self._parser.get_status_code()
        if self._checks_lines and self._contains_status_line(self._response):
            self._reject("a status line within a line of the head")
            return
        framed = self._response.status in (204, 304) or self._response.status < 200
        for name, value in self._response.headers:
            lower = name.lower()
            if lower in (b"content-length", b"transfer-encoding"):
                framed = True
            elif lower == b"keep-alive":
                self._apply_keep_alive(value)
        self._delimited_by_close = not framed
        if not framed or not self._parser.should_keep_alive():
            self._reusable = False
        if self._head_only and self._response.status >= 200:
            # The parser waits for a body, which a response to HEAD does not have.
            self._reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body (httptools callback)."""
        self._received_body_bytes += len(body)
        self._body_bytes += len(body)
        parts = self._body_parts
        if not parts or len(parts[-1]) >= MIN_BODY_PART_BYTES:
            parts.append(body)
            return
        if isinstance(parts[-1], bytes):
            # Many small parts would take several times the memory of their bytes.
            parts[-1] = bytearray(parts[-1])
        parts[-1] += body

    def on_message_complete(self) -> None:
        """Deliver a complete final response (httptools callback)."""
        if self._response is not None and self._response.status >= 200:
            self._complete()
        else:
            self._skip_response()

    async def exchange(
        self,
        request: bytes,
        accept: ResponseFilter | None = None,
        head_only: bool = False,
    ) -> Response:
        """Send a request and return its complete response.

        Responses that ``accept`` rejects are skipped, and the connection is not reused
        after them.

        Args:
            request: Head and body.
            accept: Returns whether a response belongs to this request; raises
                ``MalformedResponseError`` if that cannot be told.
            head_only: Whether the request is a HEAD, whose response has no body.

        Raises:
            ExchangeError: No complete response was received.
        """
        if self._transport is None or self._transport.is_closing():
            raise ExchangeError("connection closed before the request", sent=False)
        pending = self._pending = self._loop.create_future()
        self._accept = accept
        self._head_only = head_only
        self._received_bytes = self._received_body_bytes = 0
        self._skipped_responses = 0
        is_large = len(request) > MAX_WINDOW_REQUEST_BYTES
        if is_large:
            set_unacknowledged_limit(self._transport, 0)
        self._transport.write(request)
        try:
            return await pending
        except asyncio.CancelledError:
            # Bytes still in transit would mix with the next request. The server takes
            # the closed connection as a cancellation.
            self.close()
            raise
        finally:
            self._pending = None
            if self._body_parts:
                self._drop_body()
            if self._is_held:
                self._release()
            if is_large and self._transport is not None:
                set_unacknowledged_limit(self._transport, MAX_UNACKNOWLEDGED_MS)

    def give_up(self, detail: str) -> None:
        """Fail the request that waits, and close the connection."""
        self._reject(detail)

    def close(self) -> None:
        """Close the connection at once, dropping unsent bytes."""
        self._reusable = False
        self._closed_here = True
        if self._transport is not None:
            self._transport.abort()

    def _apply_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.idle_timeout = max(0.0, int(seconds) - IDLE_TIMEOUT_MARGIN_SECONDS)

    def _check_size(self) -> None:
        """Give up a response that does not end.

        A response that is complete after the first read needs no check.
        """
        received_bytes, body_bytes = self._received_bytes, self._received_body_bytes
        if is_framing_excessive(received_bytes, body_bytes):
            self._reject(f"{received_bytes - body_bytes} bytes outside bodies")
        elif self._body_bytes:
            self._is_held = True
            self._held_responses.update(self, self._body_bytes)

    def _skip_response(self) -> None:
        self._skipped_responses += 1
        self._release()
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            self._reject(f"{self._skipped_responses} responses before the final one")

    def _contains_status_line(self, response: Response) -> bool:
        values = [value for _, value in response.headers]
        return any(map(contains_status_line, [self._reason_phrase, *values]))

    def _release(self) -> None:
        self._is_held = False
        self._held_responses.release(self)

    def _drop_body(self) -> None:
        self._body_parts = []
        self._body_bytes = 0

    def _reject(self, detail: str) -> None:
        self._fail(MalformedResponseError(detail))
        self._drop_body()
        self.close()

    def _complete(self) -> None:
        response = self._response
        assert response is not None
        self._response = None
        pending = self._pending
        if pending is None or pending.done():
            # A second response to one request, or the request has already failed.
            self._reusable = False
            return
        parts = self._body_parts
        response.body = bytes(parts[0]) if len(parts) == 1 else b"".join(parts)
        self._drop_body()
        try:
            is_own = self._accept is None or self._accept(response)
        except MalformedResponseError as error:
            self._fail(error)
            self.close()
            return
        if not is_own:
            # Not the response to this request; keep waiting for that one.
            self._reusable = False
            self._skip_response()
            return
        pending.set_result(response)

    def _fail(self, error: ExchangeError) -> None:
        self._reusable = False
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(error)
