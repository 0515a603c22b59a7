"""One HTTP request on an ASGI listener, and the response to it.

The listeners for calls use ASGI directly: a response has to reach the caller with the
headers and framing of the backend server, which the response object of a framework
would replace. docs/MEASUREMENTS.md compares the CPU time per call.
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
    """The caller closed its connection before its request was complete."""


class HttpExchange:
    """A request of a caller or another node, and the means to respond to it.

    Args:
        scope: ASGI scope.
        receive: ASGI receive.
        send: ASGI send.
        max_buffered_bytes: Maximum size of a body that is buffered.
        max_body_bytes: Maximum size of a body; larger ones are refused.
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
        """The path as received, with percent-encoding."""
        return self._scope["raw_path"]

    @property
    def target(self) -> bytes:
        """Path and query as received."""
        query = self._scope["query_string"]
        return self.path + b"?" + query if query else self.path

    def cancel_on_disconnect(self, task: asyncio.Task[None]) -> None:
        """Cancel a task when the caller disconnects."""
        self._scope["on_disconnect"] = task.cancel

    def abort(self) -> None:
        """Abort the connection, so that the response is recognizably truncated."""
        abort = self._scope.get("cut_connection")
        if abort is not None:
            abort()

    def get_header(self, name: bytes) -> str:
        """Return the value of a header, or an empty string if it is absent."""
        return find_header(self.headers, name).decode("latin-1")

    async def read_body(self) -> Body:
        """Return the body, buffered if it is small and else to be streamed.

        Raises:
            Refusal: ``not run``: its content length is over the limit.
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
                    f"the body is larger than {self._max_body_bytes} bytes",
                )
            if size > self._max_buffered_bytes:
                return Body(None, size, self._stream_body())
        return await self._read_buffered()

    async def send_reply(self, reply: Reply, added: Headers) -> None:
        """Send a reply to the caller.

        Raises:
            Refusal: The reply's body is truncated; the caller's connection has to be
                aborted, so that the response does not look complete.
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
        """Send a refusal as the response."""
        status, headers, body = render_refusal(refusal, instance)
        await self.send_reply(Reply(status, headers, body), added)

    async def _read_buffered(self) -> Body:
        """Buffer the body; return a streamed one if it exceeds the buffer."""
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
        """Return the next chunk of the body, and whether there is more."""
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
                # Part of the body has been forwarded; the call is cancelled by closing
                # the connection.
                raise CallerDisconnectedError
            yield chunk
