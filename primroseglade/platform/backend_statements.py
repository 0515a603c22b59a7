"""Decodes what backend servers state about themselves in the headers of answers."""

import re
from collections.abc import Sequence

from ..sidecar.http_messages import RawHeaders
from ..sidecar.statements import (
    NO_STATEMENTS,
    StatedLimit,
    StatedLoad,
    Statements,
)
from .names import LEAVING, LOAD, REQUEST_LIMIT

# More than any single backend server can serve.
MAX_REQUESTS_PER_SECOND = 1e6
EXPECTED_LIMIT = (
    f"expected one decimal number above 0, at most {MAX_REQUESTS_PER_SECOND:.0f}"
)
LEAVES = b"1"
# More than any single backend server runs, queues or has slots for.
MAX_STATED_REQUESTS = 1_000_000
# Bounds of the stated time that work takes, in percent of the usual time.
MIN_WORK_TIME_PERCENT = 1
MAX_WORK_TIME_PERCENT = 10_000
EXPECTED_LOAD = (
    f"expected 3 whole numbers from 0 to {MAX_STATED_REQUESTS} (running, waiting, "
    f"slots), the last above 0, and optionally a percentage from "
    f"{MIN_WORK_TIME_PERCENT} to {MAX_WORK_TIME_PERCENT}"
)
# At most as many digits as `MAX_STATED_REQUESTS`.
WHOLE_NUMBER = re.compile(rb"\d{1,7}")
# Longer values are cut off in log lines.
MAX_LOGGED_CHARACTERS = 40
DECIMAL_NUMBER = re.compile(rb"\d+(\.\d*)?|\.\d+")


def read_statements(headers: RawHeaders) -> Statements:
    """Return what the headers of an answer state about its backend server.

    >>> read_statements([(b"Server-Limit", b"41.6")]).request_limit.calls_per_second
    41.6
    >>> read_statements([(b"Server-Leaving", b"1")]).draining
    True
    >>> read_statements([(b"Server-Limit", b"-1")]).errors
    ("request limit '-1': expected one decimal number above 0, at most 1000000",)
    >>> read_statements(
    ...     [(b"X-Primroseglade-Upstream-Load", b"3,0,8,250")]
    ... ).load.work_time_ratio
    2.5
    """
    limits: list[bytes] = []
    leavings: list[bytes] = []
    loads: list[bytes] = []
    for name, value in headers:
        lower = name.lower()
        if lower == LOAD:
            loads.append(value)
        elif lower == REQUEST_LIMIT:
            limits.append(value)
        elif lower == LEAVING:
            leavings.append(value)
    if not limits and not leavings and not loads:
        return NO_STATEMENTS
    errors: list[str] = []
    limit = _read_limit(limits, errors) if limits else None
    draining = bool(leavings) and _read_leaving(leavings, errors)
    load = _read_load(loads, errors) if loads else None
    return Statements(limit, draining, tuple(errors), load)


def _read_load(values: Sequence[bytes], errors: list[str]) -> StatedLoad | None:
    """Return the stated load, or None if it is invalid."""
    parts = _split_values(values)
    load = _parse_load(parts)
    if load is None:
        errors.append(f"load {_quote(parts)}: {EXPECTED_LOAD}")
    return load


def _parse_load(parts: list[bytes]) -> StatedLoad | None:
    """Return the load that three or four figures state, or None if one is invalid."""
    if len(parts) not in (3, 4) or not all(map(WHOLE_NUMBER.fullmatch, parts)):
        return None
    running, waiting, slots, *percentages = map(int, parts)
    if max(running, waiting, slots) > MAX_STATED_REQUESTS or not slots:
        return None
    if not all(
        MIN_WORK_TIME_PERCENT <= percentage <= MAX_WORK_TIME_PERCENT
        for percentage in percentages
    ):
        return None
    work_time_ratio = percentages[0] / 100 if percentages else None
    return StatedLoad(running, waiting, slots, work_time_ratio)


def _read_limit(values: Sequence[bytes], errors: list[str]) -> StatedLimit:
    """Return the stated limit; of several valid ones the lowest."""
    parts = _split_values(values)
    limits = [limit for part in parts if (limit := _parse_limit(part)) is not None]
    lowest = min(limits, default=None)
    if not (len(parts) == len(limits) == 1 and lowest):
        errors.append(f"request limit {_quote(parts)}: {EXPECTED_LIMIT}")
    return StatedLimit(lowest)


def _parse_limit(value: bytes) -> float | None:
    """Return a limit in requests per second, or None if the value is invalid."""
    if not DECIMAL_NUMBER.fullmatch(value):
        return None
    limit = float(value)
    return limit if limit <= MAX_REQUESTS_PER_SECOND else None


def _read_leaving(values: Sequence[bytes], errors: list[str]) -> bool:
    """Return whether any value states that the backend server is about to stop."""
    parts = _split_values(values)
    if any(part != LEAVES for part in parts):
        errors.append(f"statement to leave {_quote(parts)}: expected 1")
    return LEAVES in parts


def _split_values(values: Sequence[bytes]) -> list[bytes]:
    """Return the values of a header that may be repeated or hold a list."""
    return [part.strip() for value in values for part in value.split(b",")]


def _quote(parts: list[bytes]) -> str:
    return repr(b", ".join(parts).decode("latin-1")[:MAX_LOGGED_CHARACTERS])
