"""Answers of faulty backend servers that do not end until the node gives up."""

import asyncio
import time

import pytest
from hypothesis import given, strategies

from primroseglade.sidecar.client_connection import (
    ExchangeError,
    MAX_HELD_RESPONSE_BYTES,
)
from primroseglade.sidecar.held_responses import HeldResponses
from primroseglade.sidecar.http_client import ConnectionPool

from .mesh import FakeServer

# The longest that a caller waits for an answer.
DEADLINE_SECONDS = 6.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = OK + b"X-Kind: foreign\r\nContent-Length: 2\r\n\r\nhi"
OWN = OK + b"X-Kind: own\r\nContent-Length: 2\r\n\r\nok"
BLOCK_BYTES = 1 << 18

# Beginning of an answer, and what follows it again and again.
ENDLESS_HEADS = {
    "blank lines": (b"", b"\r\n"),
    "reason phrase": (b"HTTP/1.1 200 ", b"x"),
    "header name": (OK, b"x"),
    "header value": (OK + b"X-Long: ", b"x"),
    "headers": (OK, b"X-More: 1\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    "answers to others": (b"", FOREIGN),
    "chunk extension": (CHUNKED + b"1;x=", b"x"),
    "tiny chunks": (CHUNKED, b"1\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: 1\r\n"),
}
ENDLESS_BODIES = {
    "length": (OK + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    "chunks": (CHUNKED, b"400\r\n" + 1024 * b"x" + b"\r\n"),
    "unframed": (OK + b"\r\n", b"x"),
}


def parametrize(answers: dict[str, tuple[bytes, bytes]]) -> pytest.MarkDecorator:
    """Run a test with each of the answers."""
    return pytest.mark.parametrize("answer", answers.values(), ids=answers)


class EndlessServer(FakeServer):
    """Answers requests for ``/own`` soundly, and others without end."""

    def __init__(self, beginning: bytes, rest: bytes):
        super().__init__()
        self._beginning = beginning
        self._block = rest * (BLOCK_BYTES // len(rest))
        self.sent_bytes = 0

    async def answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        """Send a sound answer or an endless one."""
        if b"/own" in head:
            writer.write(OWN)
            return
        writer.write(self._beginning)
        while not writer.transport.is_closing():
            writer.write(self._block)
            self.sent_bytes += len(self._block)
            await writer.drain()


async def request(pool: ConnectionPool, target: str) -> bytes:
    """Send a request and return the body of its answer."""
    connection = await pool.acquire()
    try:
        response = await connection.exchange(
            f"GET {target} HTTP/1.1\r\n\r\n".encode(),
            lambda response: (b"X-Kind", b"foreign") not in response.headers,
        )
        return response.body
    finally:
        pool.release(connection)


@parametrize(ENDLESS_HEADS | ENDLESS_BODIES)
async def test_answer_without_end_is_given_up(answer: tuple[bytes, bytes]):
    """Guards against a node that reads and holds such an answer until the deadline of
    its request.
    """
    async with EndlessServer(*answer) as server:
        pool = ConnectionPool(server.address, 1.0)
        started_at = time.monotonic()
        with pytest.raises(ExchangeError) as error_info:
            await asyncio.wait_for(request(pool, "/endless"), DEADLINE_SECONDS)
        assert error_info.value.sent
        assert time.monotonic() - started_at < DEADLINE_SECONDS / 2
        assert server.sent_bytes < 2 * MAX_HELD_RESPONSE_BYTES
        assert await request(pool, "/own") == b"ok"


@parametrize(ENDLESS_BODIES)
async def test_answers_without_end_together_hold_bounded_memory(
    answer: tuple[bytes, bytes],
):
    """Guards against a node that runs out of memory, as it holds several such answers
    at once; other requests to the server are answered meanwhile.
    """
    async with EndlessServer(*answer) as server:
        pool = ConnectionPool(server.address, 1.0)
        tasks = [asyncio.create_task(request(pool, "/endless")) for _ in range(8)]
        most_held = 0
        async with asyncio.timeout(DEADLINE_SECONDS):
            while not all(task.done() for task in tasks):
                assert await request(pool, "/own") == b"ok"
                most_held = max(most_held, pool.held_responses.total_bytes)
        assert MAX_HELD_RESPONSE_BYTES / 2 < most_held <= MAX_HELD_RESPONSE_BYTES
        assert all(isinstance(task.exception(), ExchangeError) for task in tasks)
    assert pool.held_responses.total_bytes == 0


class Holder:
    """Records whether its response was given up."""

    def __init__(self) -> None:
        self.given_up = False

    def give_up(self, detail: str) -> None:
        """Record the call."""
        self.given_up = True


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 4), strategies.integers(0, 60)),
        min_size=1,
    )
)
def test_largest_incomplete_response_is_given_up(changes: list[tuple[int, int]]):
    """Guards against giving up the answers of sound requests for that of another."""
    holders = [Holder() for _ in range(5)]
    held_responses = HeldResponses(100)
    sizes = [0] * 5
    for index, size in changes:
        if holders[index].given_up:
            continue
        sizes[index] = size
        before = list(sizes)
        held_responses.update(holders[index], size)
        for number, holder in enumerate(holders):
            if holder.given_up and sizes[number]:
                assert before[number] == max(before)
                sizes[number] = before[number] = 0
        assert held_responses.total_bytes == sum(sizes) <= 100
