"""Answers of faulty backend servers, which add bytes that belong to no request."""

import asyncio

import pytest

from primroseglade.platform.dialect import PlatformDialect
from primroseglade.sidecar.backend_dialect import ParsedAnswerHead
from primroseglade.sidecar.client_connection import (
    ClientConnection,
    ExchangeError,
    Response,
)
from primroseglade.sidecar.http_client import ConnectionPool
from primroseglade.sidecar.statements import NO_STATEMENTS

from .mesh import FakeServer


def build_answer(status: str, request_id: str, *lines: str, body: str = "") -> bytes:
    """Return a complete answer of a backend server."""
    head = [
        f"HTTP/1.1 {status}",
        "Date: Mon, 01 Jan 2024 00:00:00 GMT",
        f"X-Primroseglade-Request-Id: {request_id}",
        f"X-Primroseglade-Upstream-Seal: seal-{request_id}",
        *lines,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*head, "", body]).encode()


FIRST = build_answer("200 OK", "first", "X-Load: 1,0,8", body="paid")
NOT_EXECUTED = build_answer(
    "503 Service Unavailable", "first", "X-Primroseglade-Not-Executed: 1"
)
BLANK_LINES = b"\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
SECOND = build_answer("500 Internal Server Error", "second", body="failed")


EXTRAS = pytest.mark.parametrize(
    "extra",
    [FIRST, NOT_EXECUTED, INTERIM, BLANK_LINES],
    ids=["answer", "rejection", "interim", "blank lines"],
)
PARTS_PAUSE_SECONDS = 0.002


class FaultyServer(FakeServer):
    """Sends prepared answers to requests, by the ID in their target.

    Args:
        answers: Parts of each answer. The node reads each part separately.
    """

    def __init__(self, answers: dict[str, list[bytes]]):
        super().__init__()
        self._answers = answers

    async def answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        """Send the parts of an answer."""
        request_id = head.split(b" ")[1].decode().removeprefix("/")
        for part in self._answers[request_id]:
            writer.write(part)
            await asyncio.sleep(PARTS_PAUSE_SECONDS)


async def exchange(connection: ClientConnection, request_id: str) -> ParsedAnswerHead:
    """Send a request on a connection and return the head of its answer."""
    dialect = PlatformDialect()

    def is_own_answer(response: Response) -> bool:
        return dialect.read_answer(response).request_id == request_id.encode()

    async with asyncio.timeout(1.0):
        response = await connection.exchange(
            f"GET /{request_id} HTTP/1.1\r\n\r\n".encode(), is_own_answer
        )
    return dialect.read_answer(response)


async def check_second_request(answers: dict[str, list[bytes]]) -> FaultyServer:
    """Send two requests through a pool, and check that the second is answered truly.

    A request that may have run may also get no answer.
    """
    async with FaultyServer(answers) as server:
        pool = ConnectionPool(server.address, 1.0)
        connection = await pool.acquire()
        first = await exchange(connection, "first")
        assert first.head.startswith(b"HTTP/1.1 200 ")
        pool.release(connection)
        connection = await pool.acquire()
        try:
            second = await exchange(connection, "second")
            assert second.head.startswith(b"HTTP/1.1 500 ")
            assert b"seal-first" not in second.head
            assert not second.not_executed
        except ExchangeError as error:
            assert error.sent
        finally:
            connection.close()
    return server


@EXTRAS
@pytest.mark.parametrize("separate", [False, True])
async def test_bytes_after_an_answer_do_not_reach_the_next_request(
    extra: bytes, separate: bool
):
    """Guards against a failed payment that is answered as a success, and a refusal that
    denies a run: a second answer that breaks off at any byte gives its status and
    headers to the answer of the next request.
    """
    for cut in range(1, len(extra) + 1):
        spoiled = [FIRST, extra[:cut]] if separate else [FIRST + extra[:cut]]
        server = await check_second_request({"first": spoiled, "second": [SECOND]})
        if not separate and extra != BLANK_LINES:
            assert server.connection_count == 2, f"reused after {extra[:cut]!r}"


@EXTRAS
@pytest.mark.parametrize("separate", [False, True])
async def test_late_bytes_do_not_change_the_answer_after_them(
    extra: bytes, separate: bool
):
    """Guards against the same where the bytes arrive after the next request was sent.

    They cannot be told from the beginning of its own answer then.
    """
    for cut in range(1, len(extra) + 1):
        parts = [extra[:cut], SECOND] if separate else [extra[:cut] + SECOND]
        await check_second_request({"first": [FIRST], "second": parts})


@pytest.mark.parametrize(
    "lines",
    [
        ["X-Primroseglade-Request-Id: other"],
        ["X-Primroseglade-Upstream-Seal: seal-other"],
        ["X-Primroseglade-Not-Executed: 1"],
    ],
)
async def test_head_that_contradicts_itself_is_no_answer(lines: list[str]):
    """Guards against a success with the ID, the seal or the verdict of another answer:
    of several the last one was taken.
    """
    answer = build_answer("200 OK", "second", *lines, body="paid")
    async with FaultyServer({"second": [answer]}) as server:
        connection = await ConnectionPool(server.address, 1.0).acquire()
        with pytest.raises(ExchangeError) as error_info:
            await exchange(connection, "second")
    assert error_info.value.sent
    assert not connection.reusable


TRAILERS = (
    "X-Primroseglade-Request-Id: other",
    "X-Primroseglade-Upstream-Seal: seal-other",
    "X-Primroseglade-Not-Executed: 1",
    "Server-Limit: 1",
    "Server-Leaving: 1",
)


async def test_trailers_do_not_change_the_head():
    """Guards against a trailer that adds a seal, a limit, a drain or the verdict that
    the request was not executed.
    """
    head = (
        "HTTP/1.1 500 Internal Server Error\r\nX-Primroseglade-Request-Id: second\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\nfail\r\n0\r\n"
    )
    answer = "\r\n".join([head + TRAILERS[0], *TRAILERS[1:], "", ""]).encode()
    async with FaultyServer({"second": [answer]}) as server:
        connection = await ConnectionPool(server.address, 1.0).acquire()
        second = await exchange(connection, "second")
        connection.close()
    assert (second.request_id, second.signed) == (b"second", False)
    assert not second.not_executed
    assert second.statements is NO_STATEMENTS
