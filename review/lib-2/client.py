"""A client that sends one request at a time and reads the whole answer."""

import asyncio
import time

from backend import read_message
from deployment import HOST, KEY, OUTBOUND


class Answer:
    """An answer to a client.

    Attributes:
        status: HTTP status; 0 if the connection ended without a complete answer, -1 if
            there was none in time.
    """

    def __init__(self, status: int, headers: dict, body: bytes, seconds: float):
        self.status = status
        self.headers = headers
        self.body = body
        self.seconds = seconds


class Client:
    """A client on a node's machine, with one connection that it keeps open."""

    def __init__(self, deployment, number: int, record):
        self._address = deployment.address(number, OUTBOUND)
        self._record = record
        self._streams = None

    async def send(
        self,
        request_id: str,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        timeout: float = 5.0,
        key: str = KEY,
        quiet: bool = False,
    ) -> Answer:
        """Send a request and return the answer."""
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Primroseglade-Request-Id: {request_id}\r\n"
            f"X-Primroseglade-Deadline-Ms: {timeout * 1000:.0f}\r\n"
            f"Authorization: Token {key}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        started = time.monotonic()
        status, headers, answer = 0, {}, b""
        try:
            async with asyncio.timeout(timeout + 1.0):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self._address)
                reader, writer = self._streams
                writer.write(head.encode())
                if body:
                    writer.write(body)
                    await writer.drain()
                message = await read_message(reader)
                if message is not None:
                    status, headers, answer = int(message[0][1]), *message[1:]
        except TimeoutError:
            status = -1
        except (OSError, asyncio.IncompleteReadError, ValueError):
            status = 0
        if status <= 0 or headers.get("connection") == "close":
            self.close()
        seconds = time.monotonic() - started
        if not quiet:
            self._record.write(
                f"client: {method} {request_id} -> {status} after {seconds:.3f} s"
            )
        return Answer(status, headers, answer, seconds)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
