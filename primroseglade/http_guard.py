"""Refuses requests whose framing could be read in two ways, before they are served."""

import asyncio
import functools

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .answers import render_refusal
from .verdicts import not_run, Reason, Refusal

# Longest time for a request's head to arrive.
HEAD_SECONDS = 10.0
SINGLETON_HEADERS = frozenset(
    {b"authorization", b"content-length", b"host", b"transfer-encoding"}
)


class GuardedProtocol(HttpToolsProtocol):
    """HTTP/1.1 with a bounded head, one framing and typed refusals.

    Request smuggling rests on two parties that read a request's length from
    different headers. Each request that carries both framings, or one of them twice,
    is refused and its connection closed, so that no later byte is read as a request.
    """

    header_bytes = 32768
    _head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        # uvicorn closes idle connections only after a first answer; one on which
        # nothing is ever sent would stay, and thousands of them use up the sockets.
        self._start_head_timer()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._start_head_timer()
        self._head_bytes = 0
        self._seen_headers: set[bytes] = set()

    def on_url(self, url: bytes) -> None:
        super().on_url(url)
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        self._count_head_bytes(len(name) + len(value))
        name = self.headers[-1][0]
        if name in SINGLETON_HEADERS:
            if name in self._seen_headers:
                raise not_run(
                    Reason.MALFORMED_REQUEST, f"header {name.decode()} stands twice"
                )
            self._seen_headers.add(name)

    def on_headers_complete(self) -> None:
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
        self._stop_head_timer()
        response_pending = self.cycle is not None and not self.cycle.response_complete
        on_disconnect = (
            self.cycle.scope.get("on_disconnect") if response_pending else None
        )
        super().connection_lost(exc)
        if on_disconnect is not None:
            # Nobody waits for the answer any more: what the call holds is given
            # back now, not when a backend server is done with it.
            on_disconnect()

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served as if it had not asked to upgrade.
            return
        except httptools.HttpParserCallbackError as error:
            self._send_refusal(error.__context__)
        except httptools.HttpParserError as error:
            self._send_refusal(error)

    def _start_head_timer(self) -> None:
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(HEAD_SECONDS, self.transport.close)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.header_bytes:
            raise not_run(
                Reason.HEADERS_TOO_LARGE,
                f"the request head is over {self.header_bytes} bytes",
            )

    def _send_refusal(self, error: BaseException | None) -> None:
        response_pending = self.cycle is not None and not self.cycle.response_complete
        if response_pending:
            # An answer now would be taken for the one of the call in flight.
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
def build_protocol(header_bytes: int) -> type[GuardedProtocol]:
    """Return the protocol class with this bound on a request's head (bytes)."""
    return type("GuardedProtocol", (GuardedProtocol,), {"header_bytes": header_bytes})
