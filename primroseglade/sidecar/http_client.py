"""HTTP/1.1 towards one address: an exchange that tells what may have happened.

It is the project's own because of what it must tell apart: an answer that is whole
from one that broke off, and the answer to this request from a late one to another.
"""

import asyncio
import time
from collections.abc import Callable

import httptools

from ..addresses import parse_address
from ..sockets import set_dead_peer_options, was_reset

RawHeaders = list[tuple[bytes, bytes]]

# A connection whose other end lost track of it takes data without acknowledging.
# Longer than two retransmissions in one site, shorter than most callers wait.
UNACKNOWLEDGED_MS = 1500
KEEP_ALIVE_IDLE_SECONDS = 1
# Idle seconds after which a connection is not used again where its server did not
# say how long it keeps one; usual servers close after 5 s or more.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# A server closes at the second that it told: one second for what is on the way.
IDLE_TIMEOUT_MARGIN_SECONDS = 1.0
# What may run only once is not sent on a connection that was idle for longer: the
# server may be closing it, and the loss would be known neither way.
NON_IDEMPOTENT_MAX_IDLE_SECONDS = 2.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class ExchangeError(Exception):
    """No whole answer came.

    Args:
        detail: What happened.
        sent: Whether the request may have reached the other end.
        refused: Whether nobody listens at the address.
    """

    def __init__(self, detail: str, sent: bool, refused: bool = False):
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
        self.refused = refused


class Answer:
    """A whole answer."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: RawHeaders):
        self.status = status
        self.headers = headers
        self.body = b""


ResponseFilter = Callable[[Answer], bool]


class ClientConnection(asyncio.Protocol):
    """One connection, one request at a time."""

    __slots__ = (
        "_accept",
        "_body_bytes",
        "_chunks",
        "_delimited_by_close",
        "_head_only",
        "_loop",
        "_parser",
        "_pending",
        "_response",
        "_reusable",
        "_transport",
        "idle_since",
        "idle_timeout",
    )

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: Answer | None = None
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._pending: asyncio.Future[Answer] | None = None
        self._accept: ResponseFilter | None = None
        self._reusable = True
        self._head_only = False
        self._delimited_by_close = False
        self.idle_since = 0.0
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT_SECONDS

    @property
    def reusable(self) -> bool:
        """Whether it may carry another request."""
        transport = self._transport
        return (
            self._reusable
            and transport is not None
            and not transport.is_closing()
            and not transport.get_write_buffer_size()
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the options that find a dead peer."""
        self._transport = transport
        set_dead_peer_options(transport, KEEP_ALIVE_IDLE_SECONDS, UNACKNOWLEDGED_MS)

    def eof_received(self) -> bool:
        """End an answer that has no length, and close."""
        if self._delimited_by_close and self._response is not None:
            self._reusable = False
            if self._transport is not None and was_reset(self._transport):
                # Not whole: only the end of the connection tells its length, and the
                # other end broke off.
                detail = "the connection was reset within an answer"
                self._fail(ExchangeError(detail, sent=True))
            else:
                self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what waits for an answer."""
        self._transport = None
        text = str(exc) if exc else "closed by the other end"
        self._fail(ExchangeError(f"the connection was lost: {text}", sent=True))

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._pending is None:
            # Bytes that no request asked for: whatever they are, the next answer on
            # this connection could not be told from them.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(ExchangeError(f"not an HTTP answer: {error}", sent=True))
            self.close()

    def on_message_begin(self) -> None:
        """Parser callback."""
        if self._pending is None:
            # A second answer to one request.
            self._reusable = False
        self._response = Answer(0, [])
        self._chunks = []
        self._body_bytes = 0
        self._delimited_by_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback."""
        assert self._response is not None
        self._response.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Parser callback."""
        assert self._response is not None
        self._response.status = self._parser.get_status_code()
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
            # The parser waits for a body that a HEAD's answer does not have.
            self._reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Parser callback."""
        self._chunks.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > MAX_RESPONSE_BYTES:
            self._fail(ExchangeError("an answer larger than is held", sent=True))
            self.close()

    def on_message_complete(self) -> None:
        """Parser callback."""
        if self._response is not None and self._response.status >= 200:
            self._complete()

    async def exchange(
        self,
        request: bytes,
        accept: ResponseFilter | None = None,
        head_only: bool = False,
    ) -> Answer:
        """Send a whole request and wait for its whole answer.

        Args:
            request: Head and body.
            accept: Tells whether an answer is the one to this request; others are
                passed over, and the connection is not used again.
            head_only: Whether the answer has no body, as to HEAD.

        Raises:
            ExchangeError: There is no whole answer.
        """
        if self._transport is None or self._transport.is_closing():
            raise ExchangeError("the connection was closed before", sent=False)
        pending = self._pending = self._loop.create_future()
        self._accept = accept
        self._head_only = head_only
        self._transport.write(request)
        try:
            return await pending
        except asyncio.CancelledError:
            # What the other end still reads or sends would mix with the next call;
            # it takes the closed connection as a cancellation.
            self.close()
            raise
        finally:
            self._pending = None

    def close(self) -> None:
        """Close it at once."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _apply_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.idle_timeout = max(0.0, int(seconds) - IDLE_TIMEOUT_MARGIN_SECONDS)

    def _complete(self) -> None:
        response = self._response
        assert response is not None
        self._response = None
        pending = self._pending
        if pending is None or pending.done():
            self._reusable = False
            return
        chunks = self._chunks
        response.body = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self._chunks = []
        if self._accept is not None and not self._accept(response):
            # A late second answer to an earlier request. The one to this request
            # follows it, and is waited for.
            self._reusable = False
            return
        pending.set_result(response)

    def _fail(self, error: ExchangeError) -> None:
        self._reusable = False
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(error)


class ConnectionPool:
    """Kept connections to one address.

    Args:
        address: ``IP:PORT``.
        connect_timeout: Seconds to open one.
    """

    def __init__(self, address: str, connect_timeout: float):
        self._host, self._port = parse_address(address)
        self._connect_timeout = connect_timeout
        self._idle: list[ClientConnection] = []

    async def acquire(self, once: bool = False) -> ClientConnection:
        """Return a connection that carries no request.

        Args:
            once: Whether the request must not run twice, nor be lost with a
                connection that is being closed.

        Raises:
            ExchangeError: None could be opened; nothing was sent.
        """
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            idle = now - connection.idle_since
            if not connection.reusable or idle > connection.idle_timeout:
                connection.close()
                continue
            if once and idle > NON_IDEMPOTENT_MAX_IDLE_SECONDS:
                self._idle.append(connection)
                break
            return connection
        return await self._dial()

    def release(self, connection: ClientConnection) -> None:
        """Give a connection back; it is kept if it can carry another request."""
        if connection.reusable:
            connection.idle_since = time.monotonic()
            self._idle.append(connection)
        else:
            connection.close()

    def close_idle(self) -> None:
        """Close the connections that carry nothing."""
        while self._idle:
            self._idle.pop().close()

    async def _dial(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout):
                _, connection = await loop.create_connection(
                    ClientConnection, self._host, self._port
                )
        except (TimeoutError, OSError) as error:
            detail = f"no connection: {str(error) or 'timed out'}"
            refused = isinstance(error, ConnectionRefusedError)
            raise ExchangeError(detail, sent=False, refused=refused) from error
        return connection
