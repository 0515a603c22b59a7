"""Checks of received HTTP/1.1 responses that parsers do not make."""

import re
from collections.abc import Iterable

# Maximum size of all that one request receives besides bodies, such as heads, chunk
# headers and blank lines; more is allowed in proportion to the bodies.
MAX_FRAMING_BYTES = 128 * 1024
MAX_FRAMING_RATIO = 1 / 8
STATUS_LINE = re.compile(rb"HTTP/\d\.\d [1-5]\d\d( |$)")


def contains_status_line(
    reason_phrase: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bool:
    """Return whether a line of a head runs on into the status line of another response.

    This shows that a truncated response precedes the one that was requested.

    >>> contains_status_line(b"OK", [(b"load", b"1HTTP/1.1 500 Internal Server Error")])
    True
    >>> contains_status_line(b"OK", [(b"server", b"BaseHTTP/0.6 Python/3.11")])
    False
    """
    return STATUS_LINE.search(reason_phrase) is not None or any(
        b"HTTP/" in value and STATUS_LINE.search(value) for _, value in headers
    )


class ReceivedBytes:
    """Counts what one request receives, and how much of it belongs to bodies."""

    __slots__ = ("_body_bytes", "_total_bytes")

    def __init__(self) -> None:
        self._total_bytes = 0
        self._body_bytes = 0

    @property
    def framing_bytes(self) -> int:
        """Number of bytes outside bodies."""
        return self._total_bytes - self._body_bytes

    @property
    def is_framing_excessive(self) -> bool:
        """Whether more was received outside bodies than any sound response needs."""
        max_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._body_bytes
        return self.framing_bytes > max_bytes

    def add(self, size: int) -> None:
        """Count received bytes of any kind."""
        self._total_bytes += size

    def add_body(self, size: int) -> None:
        """Count those of the received bytes that belong to a body."""
        self._body_bytes += size

    def reset(self) -> None:
        """Start anew, for the next request."""
        self._total_bytes = self._body_bytes = 0
