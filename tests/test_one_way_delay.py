"""Estimates of the time for which calls are queued between two nodes."""

from primroseglade.sidecar.one_way_delay import MIN_DELAY_WINDOW_SECONDS, OneWayDelay


def test_queueing_on_a_full_link_counts_as_excess_delay():
    """Guards against running a call whose caller has given up: under three times the
    usual demand, a node may read a call 1.8 s after it was sent, which is a second
    after its deadline. Without a correction, all of its time seems to remain.
    """
    one_way_delay = OneWayDelay()
    clock_offset = 5000.0
    for number in range(100):
        sent = number * 0.01
        assert one_way_delay.measure_excess(sent, sent + clock_offset + 0.0015) == 0.0
    assert 1.79 < one_way_delay.measure_excess(2.0, 2.0 + clock_offset + 1.8) < 1.81


def test_jitter_of_some_milliseconds_is_no_excess_delay():
    """Jitter below the threshold must not shorten a call's deadline."""
    one_way_delay = OneWayDelay()
    for number in range(100):
        sent = number * 0.01
        delay = 0.001 + 0.0001 * (number * 37 % 100)
        assert one_way_delay.measure_excess(sent, sent + delay) == 0.0


def test_a_clock_step_is_absorbed_after_two_windows():
    """After a machine's clock steps by three seconds, calls from there seem delayed,
    but only until the old minimum expires.
    """
    one_way_delay = OneWayDelay()
    assert one_way_delay.measure_excess(0.0, 10.0) == 0.0
    assert one_way_delay.measure_excess(1.0, 14.0) == 3.0
    now = 14.0 + MIN_DELAY_WINDOW_SECONDS
    one_way_delay.measure_excess(now - 13.0, now)
    now += MIN_DELAY_WINDOW_SECONDS + 1
    one_way_delay.measure_excess(now - 13.0, now)
    assert one_way_delay.measure_excess(now - 12.9, now + 0.1) == 0.0
