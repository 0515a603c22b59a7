"""Limits that backend servers state: reading them, and when they are in force."""

import pytest
from hypothesis import given, strategies as st

from primroseglade.platform.backend_statements import read_statements
from primroseglade.sidecar.request_limit import (
    RequestLimit,
    UNKNOWN_LIMIT_BURST,
)
from primroseglade.sidecar.statements import StatedLimit, Statements

# The rule of the service: in any window at most the limit's requests times the factor,
# plus the slack.
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
SLACK = 5


def read_limits(*values: bytes) -> Statements:
    """Return what an answer with these limits states."""
    return read_statements([(b"Server-Limit", value) for value in values])


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
    statements = read_limits(value)
    assert statements.request_limit is not None
    assert statements.request_limit.calls_per_second is None
    (error,) = statements.errors
    assert "expected one decimal number above 0" in error
    assert value.decode() in error


@pytest.mark.parametrize("values", [[b"20", b"8"], [b"20, 8"], [b"8", b"fast"]])
def test_of_several_limits_the_lowest_counts(values):
    """Guards against a proxy or a bug that states the limit twice."""
    statements = read_limits(*values)
    assert statements.request_limit is not None
    assert statements.request_limit.calls_per_second == 8.0
    assert statements.errors


@given(st.lists(st.binary(max_size=30), min_size=1, max_size=3))
def test_any_bytes_give_a_limit_in_range_or_an_error(values):
    """Guards against a value that stops all calls, or a node that fails on it."""
    statements = read_limits(*values)
    assert statements.request_limit is not None
    assert statements.errors or 0 < statements.request_limit.calls_per_second <= 1e6


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
    assert not limit.record_statement(StatedLimit(None), 0.0)
    assert limit.rate == 8.0


def start_calls(limit: RequestLimit, clock: Clock, gaps: list[float]) -> list[float]:
    """Start calls as often as the limit lets them; return the times of the starts."""
    starts = []
    for gap in gaps:
        clock.now += gap
        while limit.get_start_delay() == 0 and len(starts) < 10_000:
            limit.reserve_start(len(starts))
            limit.record_start(len(starts))
            starts.append(clock.now)
    return starts


def count_busiest_window(starts: list[float]) -> int:
    """Return the most starts in any window."""
    return max(
        (sum(at <= other < at + WINDOW_SECONDS for other in starts) for at in starts),
        default=0,
    )


@given(st.floats(0.5, 60.0), st.lists(st.floats(0.001, 1.0), min_size=10, max_size=30))
def test_starts_keep_to_the_limit_in_any_window(rate, gaps):
    """Guards against bursts after a pause that exceed the limit."""
    clock = Clock()
    limit = RequestLimit(clock.read)
    limit.record_statement(StatedLimit(rate), clock.now)
    starts = start_calls(limit, clock, gaps)
    allowed = LIMIT_FACTOR * rate * WINDOW_SECONDS + SLACK
    assert count_busiest_window(starts) <= allowed


@given(st.floats(1.0, 60.0), st.lists(st.floats(0.001, 1.0), min_size=10, max_size=30))
def test_restarts_of_the_node_keep_to_the_limit(rate, gaps):
    """Guards against a restarted node that has forgotten the limit: the backend server
    goes on, and gets all that is queued until it answers.
    """
    clock = Clock()
    limit = RequestLimit(clock.read)
    limit.record_statement(StatedLimit(rate), clock.now)
    starts = start_calls(limit, clock, gaps)
    clock.now += 1.0
    restarted = RequestLimit(clock.read, assume_limited=True)
    starts += start_calls(restarted, clock, [0.0, 0.2])
    restarted.record_statement(StatedLimit(rate), clock.now)
    starts += start_calls(restarted, clock, gaps)
    allowed = LIMIT_FACTOR * rate * WINDOW_SECONDS + SLACK
    assert count_busiest_window(starts) <= allowed


def test_first_report_does_not_end_the_assumption():
    """Guards against a flood between the first report and the first answer."""
    limit = RequestLimit(Clock().read, assume_limited=True)
    limit.reset()
    assert limit.get_start_delay(int(UNKNOWN_LIMIT_BURST)) > 0


def test_first_answer_without_a_limit_ends_the_assumption():
    """Guards against a restarted node that sends few calls longer than needed."""
    clock = Clock()
    limit = RequestLimit(clock.read, assume_limited=True)
    assert len(start_calls(limit, clock, [0.0])) == UNKNOWN_LIMIT_BURST
    limit.record_statement(None, clock.now)
    assert limit.get_start_delay(1000) == 0


@given(st.lists(st.floats(0.001, 0.5), max_size=20), st.integers(0, 20))
def test_delay_of_a_queued_call_is_when_it_starts(gaps, calls_ahead):
    """Guards against calls that are kept waiting past their deadline."""
    clock = Clock()
    limit = RequestLimit(clock.read)
    limit.record_statement(StatedLimit(6.0), clock.now)
    start_calls(limit, clock, gaps)
    clock.now += limit.get_start_delay(calls_ahead)
    for number in range(calls_ahead):
        limit.reserve_start(-number)
    assert limit.get_start_delay() == pytest.approx(0, abs=1e-6)


def test_call_that_was_not_sent_returns_its_token():
    """Guards against a limit that shrinks with each lost connection."""
    clock = Clock()
    limit = RequestLimit(clock.read)
    limit.record_statement(StatedLimit(1.0), clock.now)
    clock.now += 1.0
    limit.reserve_start(1)
    assert limit.get_start_delay() > 0
    limit.cancel_start(1)
    assert limit.get_start_delay() == 0


def test_limit_of_zero_lets_probes_through():
    """Guards against a backend server that gets no calls for good, since the end of its
    limit shows in answers only.
    """
    statements = read_limits(b"0")
    assert statements.errors
    clock = Clock()
    limit = RequestLimit(clock.read)
    limit.record_statement(statements.request_limit, clock.now)
    starts = start_calls(limit, clock, [0.5] * 60)
    assert len(starts) >= 10
    assert count_busiest_window(starts) <= SLACK


@pytest.mark.parametrize(
    ("values", "draining", "has_error"),
    [
        ([], False, False),
        ([b"1"], True, False),
        ([b"1", b"1"], True, False),
        ([b"1", b"no"], True, True),
        ([b"0"], False, True),
        ([b"-1"], False, True),
        ([b"999999999999"], False, True),
        ([b""], False, True),
    ],
)
def test_only_the_agreed_value_states_a_drain(values, draining, has_error):
    """Guards against taking any value for a statement to leave, which would take
    backend servers out of use for good.
    """
    statements = read_statements([(b"Server-Leaving", value) for value in values])
    assert statements.draining == draining
    assert bool(statements.errors) == has_error
