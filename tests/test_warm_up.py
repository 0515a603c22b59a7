"""How many calls start at a backend server that is cold, or may be."""

from hypothesis import given, strategies as st

from primroseglade.sidecar.service_load import ServiceLoad
from primroseglade.sidecar.warm_up import (
    WARM_UP_MARGIN_SECONDS,
    WarmUp,
    WarmUpLimits,
)

LIMIT = 6


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def read(self) -> float:
        """Return the time in seconds."""
        return self.now


def build_warm_up(clock: Clock, calls_per_second: float = 4.0) -> WarmUp:
    """Return the warm-up of a service with a limit of 1.5 times the given rate."""
    limits = WarmUpLimits(calls_per_second, 3.0)
    return WarmUp(lambda: limits, 1.5, clock.read)


@given(st.lists(st.floats(0.0, 0.4), min_size=20, max_size=80))
def test_starts_are_limited_in_any_second(gaps):
    """Guards against a limit by fixed seconds, of which two bursts fall into one."""
    clock = Clock()
    warm_up = build_warm_up(clock)
    warm_up.record_cold_time(60.0)
    starts: list[float] = []
    for gap in gaps:
        clock.now += gap
        if warm_up.get_start_delay() == 0:
            warm_up.record_start()
            starts.append(clock.now)
    for at in starts:
        assert sum(at <= other < at + 1.0 for other in starts) <= LIMIT


@given(st.lists(st.floats(0.0, 0.4), max_size=20), st.integers(0, 20))
def test_delay_of_a_queued_call_is_when_it_starts(gaps, calls_ahead):
    """Guards against calls that are kept waiting past their deadline: the delay that a
    call is queued with is that after which it starts, behind those ahead of it.
    """
    clock = Clock()
    warm_up = build_warm_up(clock)
    warm_up.record_cold_time(60.0)
    for gap in gaps:
        clock.now += gap
        if warm_up.get_start_delay() == 0:
            warm_up.record_start()
    expected_at = clock.now + warm_up.get_start_delay(calls_ahead)
    for _ in range(calls_ahead):
        clock.now += warm_up.get_start_delay()
        warm_up.record_start()
    assert abs(clock.now + warm_up.get_start_delay() - expected_at) < 1e-6


@given(st.lists(st.tuples(st.floats(0.0, 0.3), st.floats(0.0, 1.5)), max_size=60))
def test_calls_that_wait_for_a_connection_count(calls):
    """Guards against a backend server that accepts no connection for a second after its
    start: calls that may start wait, and are sent together with later ones.
    """
    clock = Clock()
    warm_up = build_warm_up(clock)
    warm_up.record_cold_time(60.0)
    pending: list[tuple[float, int]] = []
    sent: list[float] = []
    for slot, (gap, connecting) in enumerate(calls):
        until = clock.now + gap
        for at, waiting_slot in sorted(pending):
            if at <= until:
                clock.now = max(clock.now, at)
                warm_up.record_start(waiting_slot)
                sent.append(clock.now)
                pending.remove((at, waiting_slot))
        clock.now = until
        if warm_up.get_start_delay() == 0:
            warm_up.reserve_start(slot)
            pending.append((clock.now + connecting, slot))
    for at in sent:
        assert sum(at <= other < at + 1.0 for other in sent) <= LIMIT


def test_calls_before_a_backend_server_turned_cold_count():
    """Guards against a burst on top of the calls that it got in the second before."""
    clock = Clock()
    warm_up = build_warm_up(clock)
    for _ in range(50):
        warm_up.record_start()
    clock.now += 0.2
    warm_up.record_cold_time(2.0)
    assert abs(warm_up.get_start_delay() - 0.8) < 1e-9


def test_all_calls_may_start_when_the_warm_up_ends():
    """Guards against refusals of calls although the backend server is warm soon."""
    clock = Clock()
    warm_up = build_warm_up(clock)
    warm_up.record_cold_time(1.2)
    for _ in range(LIMIT):
        warm_up.record_start()
    delay = warm_up.get_start_delay(calls_ahead=500)
    assert abs(delay - 1.2 - WARM_UP_MARGIN_SECONDS) < 1e-9
    clock.now += delay + 0.001
    assert warm_up.get_start_delay(calls_ahead=500) == 0
    assert warm_up.start_rate == 0


def test_calls_that_wait_do_not_start_just_before_the_warm_up_ends():
    """Guards against a burst of all waiting calls a millisecond too early, because the
    reported time is rounded.
    """
    clock = Clock()
    warm_up = build_warm_up(clock)
    warm_up.record_cold_time(1.0)
    clock.now += 1.001
    for _ in range(LIMIT):
        warm_up.record_start()
    assert warm_up.get_start_delay() > 0


def test_report_does_not_end_a_warm_up_that_is_only_assumed():
    """Guards against a report that was sent before the crash for which the backend
    server is assumed to be cold.
    """
    clock = Clock()
    warm_up = build_warm_up(clock)
    warm_up.assume_cold()
    warm_up.record_report(0.0)
    assert warm_up.is_assumed
    assert warm_up.start_rate == LIMIT
    warm_up.record_cold_time(0.0)
    assert warm_up.start_rate == 0
    warm_up.assume_cold()
    warm_up.record_report(1.0)
    assert not warm_up.is_assumed
    assert abs(warm_up.remaining_seconds - 1.0 - WARM_UP_MARGIN_SECONDS) < 1e-9


def test_assumed_warm_up_ends_without_an_answer():
    """Guards against a backend server that gets hardly a call for good because its
    health check never answers.
    """
    clock = Clock()
    warm_up = build_warm_up(clock)
    warm_up.assume_cold()
    clock.now += 3.01
    assert warm_up.start_rate == 0
    assert not warm_up.is_assumed


def test_low_rates_let_one_call_start():
    """Guards against a backend server that is never tried while it is cold."""
    clock = Clock()
    warm_up = build_warm_up(clock, calls_per_second=0.2)
    warm_up.record_cold_time(3.0)
    assert warm_up.get_start_delay() == 0


def test_no_limit_without_a_rate():
    """Services for which operators state no rate are not limited."""
    clock = Clock()
    warm_up = WarmUp(lambda: None, 1.5, clock.read)
    warm_up.assume_cold()
    warm_up.record_cold_time(3.0)
    for _ in range(100):
        assert warm_up.get_start_delay() == 0
        warm_up.record_start()
    assert warm_up.start_rate == 0


def test_capacity_of_a_cold_service_is_what_may_start():
    """Guards against admission that takes the slots of cold backend servers for
    capacity after a restart of all: what it lets pass is refused below.
    """
    load = ServiceLoad()
    for _ in range(7):
        load.add_cold(6.0, 2.0)
    assert load.capacity == 42.0
    assert load.warm_up_seconds == 2.0
    for _ in range(8):
        load.add(10.0, 20.0, 50.0)
    assert abs(load.capacity - (42.0 + 8 * 400.0)) < 1e-6
    assert load.warm_up_seconds == 0
    assert abs(load.utilization - 0.5) < 1e-9


def test_cold_backend_servers_do_not_hide_that_the_capacity_is_unknown():
    """Guards against refusals while the warm backend servers have not been measured:
    the few calls that may start at the cold ones are not the whole capacity.
    """
    load = ServiceLoad()
    load.add_cold(6.0, 2.0)
    load.add(0.0, 20.0, 0.0)
    assert load.capacity == 0
