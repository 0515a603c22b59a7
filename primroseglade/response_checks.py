"""Checks of received HTTP/1.1 responses that parsers do not make."""

import re

# Maximum size of all that one request receives besides bodies, such as heads, chunk
# headers and blank lines; more is allowed in proportion to the bodies.
MAX_FRAMING_BYTES = 128 * 1024
MAX_FRAMING_RATIO = 1 / 8
STATUS_LINE = re.compile(rb"HTTP/\d\.\d [1-5]\d\d( |$)")


def contains_status_line(line: bytes) -> bool:
    """Return whether a line of a head runs on into the status line of another response.

    This shows that a truncated response precedes the one that was requested.

    Args:
        line: A header's value or a reason phrase.

    >>> contains_status_line(b"1HTTP/1.1 500 Internal Server Error")
    True
    >>> contains_status_line(b"BaseHTTP/0.6 Python/3.11")
    False
    """
    return STATUS_LINE.search(line) is not None


def is_framing_excessive(received_bytes: int, body_bytes: int) -> bool:
    """Return whether more was received outside bodies than any sound response needs.

    Args:
        received_bytes: All bytes that one request has received.
        body_bytes: Those of them that belong to bodies.
    """
    max_framing_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * body_bytes
    return received_bytes - body_bytes > max_framing_bytes
