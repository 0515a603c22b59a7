"""Limits that backend servers state: reading them, and when they are in force."""

import pytest
from hypothesis import given, strategies as st

from primroseglade.platform.backend_statements import parse_request_limit
from primroseglade.sidecar.request_limit import RequestLimit, StatedLimit


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def read(self) -> float:
        """Return the time in seconds."""
        return self.now


@pytest.mark.parametrize(
    "value", [b"", b"fast", b"-3", b"nan", b"inf", b"1e3", b"1_0", b"2000000", b"0x8"]
)
def test_invalid_limit_is_reported_with_what_is_expected(value):
    """Guards against taking a typing error for a limit, or for the end of one."""
    stated = parse_request_limit([value])
    assert stated is not None
    assert stated.calls_per_second is None
    assert "expected one decimal number above 0" in stated.error
    assert value.decode() in stated.error


@pytest.mark.parametrize("values", [[b"20", b"8"], [b"20, 8"], [b"8", b"fast"]])
def test_of_several_limits_the_lowest_counts(values):
    """Guards against a proxy or a bug that states the limit twice."""
    stated = parse_request_limit(values)
    assert stated is not None
    assert stated.calls_per_second == 8.0
    assert stated.error


@given(st.lists(st.binary(max_size=60), min_size=1, max_size=3))
def test_any_bytes_give_a_limit_in_range_or_an_error(values):
    """Guards against a value that stops all calls, or a node that fails on it."""
    stated = parse_request_limit(values)
    assert stated is not None
    assert stated.error or 0 < stated.calls_per_second <= 1e6


def test_answer_to_an_older_call_does_not_end_the_limit():
    """Guards against a limit that is lost to an answer from before it was stated."""
    clock = Clock()
    limit = RequestLimit(clock.read)
    sent_at = clock.now
    clock.now += 0.2
    assert limit.record_statement(StatedLimit(8.0), sent_at)
    assert not limit.record_statement(None, sent_at + 0.1)
    assert limit.rate == 8.0
    clock.now += 0.1
    assert limit.record_statement(None, clock.now)
    assert limit.rate == 0.0


def test_invalid_limit_leaves_the_last_one_in_force():
    """Guards against a flood after a typing error at a server in need."""
    limit = RequestLimit(Clock().read)
    limit.record_statement(StatedLimit(8.0), 0.0)
    assert not limit.record_statement(StatedLimit(None, "wrong"), 0.0)
    assert limit.rate == 8.0
