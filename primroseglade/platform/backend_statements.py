"""Decodes what backend servers state about themselves in the headers of answers."""

import re
from collections.abc import Sequence

from ..sidecar.request_limit import StatedLimit

# More than any single backend server can serve.
MAX_REQUESTS_PER_SECOND = 1e6
EXPECTED_LIMIT = (
    f"expected one decimal number above 0, at most {MAX_REQUESTS_PER_SECOND:.0f}"
)
# Longer values are cut off in log lines.
MAX_LOGGED_CHARACTERS = 40
DECIMAL_NUMBER = re.compile(rb"\d+(\.\d*)?|\.\d+")


def parse_request_limit(values: Sequence[bytes]) -> StatedLimit | None:
    """Return the limit that an answer states, or None if it states none.

    Of several valid limits the lowest counts.

    Args:
        values: Values of all headers of the answer that state a limit.

    >>> parse_request_limit([b"41.6"]).calls_per_second
    41.6
    >>> parse_request_limit([b"8, 20"]).calls_per_second
    8.0
    >>> parse_request_limit([b"-1"]).error
    "request limit '-1': expected one decimal number above 0, at most 1000000"
    >>> parse_request_limit([]) is None
    True
    """
    if not values:
        return None
    parts = [part.strip() for value in values for part in value.split(b",")]
    limits = [limit for part in parts if (limit := _parse_limit(part)) is not None]
    lowest = min(limits, default=None)
    if len(parts) == len(limits) == 1 and lowest:
        return StatedLimit(lowest)
    text = b", ".join(parts).decode("latin-1")[:MAX_LOGGED_CHARACTERS]
    return StatedLimit(lowest, f"request limit {text!r}: {EXPECTED_LIMIT}")


def _parse_limit(value: bytes) -> float | None:
    """Return a limit in requests per second, or None if the value is invalid."""
    if not DECIMAL_NUMBER.fullmatch(value):
        return None
    limit = float(value)
    return limit if limit <= MAX_REQUESTS_PER_SECOND else None
