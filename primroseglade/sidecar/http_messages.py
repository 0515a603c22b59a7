"""Requests of callers and answers to them, as the HTTP server reads and writes them."""

from http import HTTPStatus

# Statuses from here on are failures of the backend server, HTTP's server errors.
MIN_FAILURE_STATUS = 500

RawHeaders = list[tuple[bytes, bytes]]

STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %b\r\n" % (status.value, status.phrase.encode())
    for status in HTTPStatus
}


def render_status_line(status: int) -> bytes:
    """Return an answer's first line.

    >>> render_status_line(503)
    b'HTTP/1.1 503 Service Unavailable\\r\\n'
    """
    return STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown\r\n" % status


# RFC 9110, section 8.6: these answers have no body and tell no length.
BODILESS_STATUS_LINES = (STATUS_LINES[204], STATUS_LINES[304])


class Request:
    """A whole request of a caller."""

    __slots__ = (
        "arrived_at",
        "body",
        "headers",
        "keep_alive",
        "method",
        "peer",
        "target",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: bytes,
        keep_alive: bool,
        peer: str,
        arrived_at: float,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        self.peer = peer
        self.arrived_at = arrived_at


class Reply:
    """An answer.

    Args:
        head: Status line and headers, but for those of this connection.
        body: The whole body.
        close: Whether the connection ends with it.
        framed: Whether its length and the end of the head are to be added; stand-ins
            of faulty servers write their own.
    """

    __slots__ = ("body", "close", "framed", "head")

    def __init__(
        self, head: bytes, body: bytes, close: bool = False, framed: bool = True
    ):
        self.head = head
        self.body = body
        self.close = close
        self.framed = framed
