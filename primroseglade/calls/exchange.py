"""One HTTP request on an ASGI listener, and the answer to it.

The listeners of calls speak ASGI directly: an answer has to reach the caller with the
backend server's own headers and framing, which a framework's response object would
set anew. Figures are in docs/MEASUREMENTS.md.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from ..answers import render_refusal
from ..verdicts import not_run, Reason, Refusal
from .call import Body, Reply
from .headers import find_header, Headers

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

NO_BODY_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its request was whole."""


class HttpExchange:
    """A request as it came in.

    Args:
        scope: ASGI scope.
        receive: ASGI receive.
        send: ASGI send.
        body_buffer: Bodies up to this many bytes are held.
        largest_body: Bodies over this many bytes are refused.
    """

    __slots__ = (
        "_max_body_bytes",
        "_max_buffered_bytes",
        "_receive",
        "_scope",
        "_send",
        "headers",
        "method",
        "started",
    )

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
        max_buffered_bytes: int,
        max_body_bytes: int,
    ):
        self._scope = scope
        self._receive = receive
        self._send = send
        self._max_buffered_bytes = max_buffered_bytes
        self._max_body_bytes = max_body_bytes
        self.method: str = scope["method"]
        self.headers: Headers = scope["headers"]
        self.started = False

    @property
    def path(self) -> bytes:
        """The path as it came, percent-encoding and all."""
        return self._scope["raw_path"]

    @property
    def target(self) -> bytes:
        """Path and query as they came."""
        query = self._scope["query_string"]
        return self.path + b"?" + query if query else self.path

    def cancel_on_disconnect(self, task: asyncio.Task[None]) -> None:
        """Cancel a task when the caller goes away."""
        self._scope["on_disconnect"] = task.cancel

    def cut(self) -> None:
        """Cut the connection, so that the caller sees that the answer broke off."""
        cut = self._scope.get("cut_connection")
        if cut is not None:
            cut()

    def get_header(self, name: bytes) -> str:
        """Return a header's value, empty where it is absent."""
        return find_header(self.headers, name).decode("latin-1")

    async def read_body(self) -> Body:
        """Return the body: held where it is small, else to be streamed.

        Raises:
            Refusal: ``not run``: it is larger than allowed.
        """
        length = self.get_header(b"content-length")
        chunked = find_header(self.headers, b"transfer-encoding")
        if not chunked and length in ("", "0"):
            return Body(b"")
        if length:
            size = int(length)
            if size > self._max_body_bytes:
                raise not_run(
                    Reason.BODY_TOO_LARGE,
                    f"the body is over {self._max_body_bytes} bytes",
                )
            if size > self._max_buffered_bytes:
                return Body(None, size, self._stream_body())
        return await self._read_buffered()

    async def send_reply(self, reply: Reply, added: Headers) -> None:
        """Send an answer on, whole or breaking off where it broke off.

        Raises:
            Refusal: It broke off; the connection must not end as if it were whole.
        """
        headers = reply.headers + added
        if reply.length is not None:
            headers.append((b"content-length", b"%d" % reply.length))
        self.started = True
        await self._send(
            {"type": "http.response.start", "status": reply.status, "headers": headers}
        )
        if reply.content is not None:
            await self._send({"type": "http.response.body", "body": reply.content})
            return
        assert reply.stream is not None
        async for chunk in reply.stream:
            message = {"type": "http.response.body", "body": chunk, "more_body": True}
            await self._send(message)
        await self._send({"type": "http.response.body", "body": b""})

    async def send_refusal(
        self, refusal: Refusal, instance: str, added: Headers
    ) -> None:
        """Send a refusal."""
        status, headers, body = render_refusal(refusal, instance)
        await self.send_reply(Reply(status, headers, body), added)

    async def _read_buffered(self) -> Body:
        """Read a body that is small, or of unknown length as long as it is small."""
        chunks: list[bytes] = []
        size = 0
        more = True
        while more:
            chunk, more = await self._receive_chunk()
            chunks.append(chunk)
            size += len(chunk)
            if more and size > self._max_buffered_bytes:
                return Body(None, None, self._stream_body(chunks, size))
        return Body(b"".join(chunks))

    async def _receive_chunk(self) -> tuple[bytes, bool]:
        """Return the next part of the body, and whether there is more."""
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        return message.get("body", b""), message.get("more_body", False)

    async def _stream_body(
        self, chunks: list[bytes] | None = None, size: int = 0
    ) -> AsyncIterator[bytes]:
        for chunk in chunks or ():
            yield chunk
        more = True
        while more:
            chunk, more = await self._receive_chunk()
            size += len(chunk)
            if size > self._max_body_bytes:
                # Part of it has left already; closing tells the backend server.
                raise CallerDisconnectedError
            yield chunk
