"""Requests and responses of the HTTP server."""

from http import HTTPStatus

# Lowest status that counts as a failure of the backend server (HTTP server errors).
MIN_FAILURE_STATUS = 500

RawHeaders = list[tuple[bytes, bytes]]

STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %b\r\n" % (status.value, status.phrase.encode())
    for status in HTTPStatus
}


def render_status_line(status: int) -> bytes:
    r"""Return the status line of a response, with its line end.

    >>> render_status_line(503)
    b'HTTP/1.1 503 Service Unavailable\r\n'
    """
    return STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown\r\n" % status


# Responses without a body and without Content-Length (RFC 9110, section 8.6).
BODILESS_STATUS_LINES = (STATUS_LINES[204], STATUS_LINES[304])


class Request:
    """A complete request of a caller.

    Args:
        method: Method name.
        target: Request target, as sent.
        headers: Names and values, as sent.
        body: The complete body.
        keep_alive: Whether the connection may stay open after the response.
        peer: IP address of the caller; empty if unknown.
        arrived_at: ``time.monotonic()`` when the request was complete.
    """

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
    """A response to a caller.

    Args:
        head: Status line and headers, without the headers that the server adds.
        body: The complete body.
        close: Whether to close the connection after the response.
        framed: Whether the server adds ``Content-Length``, ``Connection`` and the empty
            line after the head. False for stand-ins of faulty servers, whose head and
            body are written as they are.
    """

    __slots__ = ("body", "close", "framed", "head")

    def __init__(
        self, head: bytes, body: bytes, close: bool = False, framed: bool = True
    ):
        self.head = head
        self.body = body
        self.close = close
        self.framed = framed
