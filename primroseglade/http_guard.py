"""HTTP/1.1 protocol that refuses requests with oversized heads or ambiguous framing."""

import asyncio
import functools

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .answers import render_refusal
from .verdicts import not_run, Reason, Refusal

# Time limit for receiving a request's head.
HEAD_TIMEOUT_SECONDS = 10.0
SINGLETON_HEADERS = frozenset(
    {b"authorization", b"content-length", b"host", b"transfer-encoding"}
)


class GuardedProtocol(HttpToolsProtocol):
    """HTTP/1.1 server protocol that limits request heads and prevents smuggling.

    Request smuggling relies on two servers that take a request's length from different
    headers. A request with both Content-Length and Transfer-Encoding, or with one of
    them twice, is refused and its connection closed, so that none of the bytes that
    follow are parsed as another request.
    """

    # Maximum size of a request's head.
    header_bytes = 32768
    _head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the time limit for the first request's head."""
        super().connection_made(transport)
        # uvicorn closes idle connections only after the first response. Connections on
        # which nothing is ever sent would stay open and exhaust the sockets.
        self._start_head_timer()

    def on_message_begin(self) -> None:
        """Reset the limits for the next request's head."""
        super().on_message_begin()
        self._start_head_timer()
        self._received_head_bytes = 0
        self._seen_headers: set[bytes] = set()

    def on_url(self, url: bytes) -> None:
        """Count the request target toward the size of the head.

        Raises:
            Refusal: The head is too large.
        """
        super().on_url(url)
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header toward the size of the head and check for duplicates.

        Raises:
            Refusal: The head is too large, or a singleton header is given twice.
        """
        super().on_header(name, value)
        self._count_head_bytes(len(name) + len(value))
        name = self.headers[-1][0]
        if name in SINGLETON_HEADERS:
            if name in self._seen_headers:
                raise not_run(
                    Reason.MALFORMED_REQUEST, f"header {name.decode()} is given twice"
                )
            self._seen_headers.add(name)

    def on_headers_complete(self) -> None:
        """Check the framing and start serving the request.

        Raises:
            Refusal: Both Transfer-Encoding and Content-Length are given.
        """
        if (
            b"transfer-encoding" in self._seen_headers
            and b"content-length" in self._seen_headers
        ):
            raise not_run(
                Reason.MALFORMED_REQUEST,
                "both Transfer-Encoding and Content-Length are given",
            )
        self._stop_head_timer()
        self.scope["cut_connection"] = self.transport.abort
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the call in flight."""
        self._stop_head_timer()
        response_pending = self.cycle is not None and not self.cycle.response_complete
        on_disconnect = (
            self.cycle.scope.get("on_disconnect") if response_pending else None
        )
        super().connection_lost(exc)
        if on_disconnect is not None:
            # The caller no longer waits for the response: release the call's resources
            # now instead of when the backend server has finished.
            on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse the request if they are not valid HTTP/1.1."""
        if self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported; the request is served without one.
            return
        except httptools.HttpParserCallbackError as error:
            self._send_refusal(error.__context__)
        except httptools.HttpParserError as error:
            self._send_refusal(error)

    def _start_head_timer(self) -> None:
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(
            HEAD_TIMEOUT_SECONDS, self.transport.close
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _count_head_bytes(self, size: int) -> None:
        self._received_head_bytes += size
        if self._received_head_bytes > self.header_bytes:
            raise not_run(
                Reason.HEADERS_TOO_LARGE,
                f"the request head is larger than {self.header_bytes} bytes",
            )

    def _send_refusal(self, error: BaseException | None) -> None:
        response_pending = self.cycle is not None and not self.cycle.response_complete
        if response_pending:
            # The caller would take a refusal for the response to the call in flight.
            self.transport.close()
            return
        if not isinstance(error, Refusal):
            error = not_run(Reason.MALFORMED_REQUEST, f"not HTTP/1.1: {error}")
        status, headers, body = render_refusal(error)
        lines = [b"HTTP/1.1 %d %s" % (status, error.reason.title.encode())]
        lines += [name + b": " + value for name, value in headers]
        lines += [b"content-length: %d" % len(body), b"connection: close", b"", body]
        self.transport.write(b"\r\n".join(lines))
        self.transport.close()


@functools.cache
def build_protocol(max_header_bytes: int) -> type[GuardedProtocol]:
    """Return a protocol class that limits request heads to this size in bytes."""
    return type(
        "GuardedProtocol", (GuardedProtocol,), {"header_bytes": max_header_bytes}
    )
