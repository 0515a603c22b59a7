"""Answers of faulty backend servers to the product's own node."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from primroseglade.calls.call import Body
from primroseglade.calls.connections import Connection
from primroseglade.verdicts import Refusal, Verdict

REQUEST = b"GET /own HTTP/1.1\r\nhost: a\r\n\r\n"
OWN = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed"
OTHER = b"HTTP/1.1 200 OK\r\nDate: Mon, 01 Jan 2024 00:00:00 GMT\r\nX-Run: 0\r\n"


@contextlib.asynccontextmanager
async def connect(answer: bytes, rest: bytes = b"") -> AsyncIterator[Connection]:
    """Yield a connection to a server that answers, and repeats ``rest`` without end."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            while rest and not writer.is_closing():
                writer.write(rest)
                await writer.drain()
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(lambda: Connection(1000), host, port)
    try:
        yield connection
    finally:
        connection.close()
        server.close()


async def exchange(connection: Connection) -> tuple[int, dict[bytes, bytes]]:
    """Send a request and return status and headers of its answer."""
    async with asyncio.timeout(3.0):
        response = await connection.exchange(REQUEST, Body(content=b""), False)
    return response.status, dict(response.headers)


async def test_status_of_a_truncated_answer_is_not_that_of_the_next():
    """Guards against a failure that is answered as a success: an answer to an earlier
    request breaks off in front of it, at any byte.
    """
    for cut in range(1, len(OTHER)):
        async with connect(OTHER[:cut] + OWN) as connection:
            with pytest.raises(Refusal) as refusal_info:
                await exchange(connection)
            assert refusal_info.value.verdict is Verdict.MAY_HAVE_RUN
            assert not connection.reusable


async def test_trailers_are_not_taken_for_headers():
    """Guards against a trailer that changes what the head of an answer says."""
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
    async with connect(chunked + b"X-Run: 0\r\n\r\n") as connection:
        _, headers = await exchange(connection)
    assert headers == {b"transfer-encoding": b"chunked"}


@pytest.mark.parametrize(
    "beginning", [b"", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nX-Long: "]
)
async def test_answer_whose_head_does_not_end_is_given_up(beginning: bytes):
    """Guards against a node that reads and holds it until the call's deadline."""
    rest = b"x" * 1000 if beginning.endswith(b": ") else b"X-More: 1\r\n" * 100
    if not beginning:
        rest = b"\r\n" * 1000
    async with connect(beginning, rest) as connection:
        with pytest.raises(Refusal) as refusal_info:
            await exchange(connection)
    assert refusal_info.value.verdict is Verdict.MAY_HAVE_RUN
