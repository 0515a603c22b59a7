"""Client that sends plain HTTP to a node and keeps each answer as it came."""

import asyncio
import itertools
import time

from .deployment import HOST, KEY, Node, OUTBOUND_PORT, Record

_numbers = itertools.count(1)


class Reply:
    """What a client received for a request.

    Attributes:
        request_id: ID of the request.
        status: Status of the answer; 0 if the connection ended without one.
        headers: Names in lower case and values, in the order of arrival.
        body: The bytes of the body that arrived.
        complete: Whether the whole answer arrived.
        sent_at: ``time.monotonic()`` when the request was sent.
    """

    def __init__(self, request_id: str, sent_at: float):
        self.request_id = request_id
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = b""
        self.complete = False
        self.sent_at = sent_at

    def list_values(self, name: str) -> list[str]:
        """Return all values of a header."""
        return [value for header, value in self.headers if header == name.lower()]

    def describe(self) -> str:
        """Return one line about the answer."""
        end = "complete" if self.complete else "INCOMPLETE"
        return f"{self.request_id}: {self.status}, {len(self.body)} bytes, {end}"


def build_request(
    method: str, target: str, request_id: str, deadline_ms: int, body: bytes = b""
) -> bytes:
    """Return a complete request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Primroseglade-Request-Id: {request_id}",
        f"X-Primroseglade-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {KEY}",
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def draw_id(name: str) -> str:
    """Return a request ID that is not returned again."""
    return f"{name}-{next(_numbers):05d}"


async def call(
    node: Node,
    method: str,
    target: str,
    record: Record,
    name: str = "r",
    deadline_ms: int = 5000,
    body: bytes = b"",
) -> Reply:
    """Send a request on a new connection and read the answer."""
    request_id = draw_id(name)
    reply = Reply(request_id, time.monotonic())
    record.write(f"client sends {request_id} {method} {target} to {node.name}")
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(node.host, OUTBOUND_PORT)
            try:
                reply.sent_at = time.monotonic()
                writer.write(
                    build_request(method, target, request_id, deadline_ms, body)
                )
                await read_reply(reader, reply)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(f"client: {request_id} failed: {type(error).__name__} {error}")
    record.write(f"client receives {reply.describe()} {reply.headers}")
    return reply


async def read_reply(reader: asyncio.StreamReader, reply: Reply) -> None:
    """Read an answer into ``reply``."""
    line = await reader.readline()
    if not line:
        return
    reply.status = int(line.split()[1])
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        reply.headers.append((name.lower(), value.strip()))
    length = int((reply.list_values("content-length") or ["0"])[0])
    while len(reply.body) < length:
        data = await reader.read(length - len(reply.body))
        if not data:
            return
        reply.body += data
    reply.complete = True
