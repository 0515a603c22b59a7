"""Calls that a backend server makes while it runs another, and their counts."""

import pytest

from primroseglade.sidecar.call_ratios import CallRatioEstimator
from primroseglade.sidecar.running_calls import MAX_COUNTED_CALLS, RunningCalls
from primroseglade.sidecar.service_load import ServiceLoad


def test_overlapping_runs_of_two_routes_are_counted_apart():
    """Guards against a demand that is off by a third: an estimate from overlapping
    histories (two calls each) and alerts (one call each) mixes the two, and admission
    then refuses too much or too little.
    """
    estimator = CallRatioEstimator()
    for index in range(50):
        started_at = index * 0.02
        now = started_at + 0.5
        for route, called, calls in (("history", "owner", 2), ("alert", "reading", 1)):
            estimator.record_start(route, started_at)
            for _ in range(calls):
                estimator.record_call(called, started_at + 0.1, attributed=True)
            estimator.record_end(route, started_at, now, True, {called: calls})
    ratios = estimator.get_ratios(1.5)
    assert ratios["history"] == {"owner": 2.0}
    assert ratios["alert"] == {"reading": 1.0}
    assert ratios[""] == {"owner": 1.0, "reading": 0.5}


def test_failed_runs_do_not_lower_the_counted_calls():
    """Guards against admitting too much while look-ups are rejected: a run that fails
    at its first look-up has made one call of the four that a run needs.
    """
    estimator = CallRatioEstimator()
    for _ in range(10):
        estimator.record_call("look-up", 0.0, attributed=True)
        estimator.record_end("index", 0.0, 0.1, True, {"look-up": 4})
    for _ in range(90):
        estimator.record_call("look-up", 0.2, attributed=True)
        estimator.record_end("index", 0.0, 0.3, False, {"look-up": 1})
    assert estimator.get_ratios(0.4)["index"] == {"look-up": 4.0}


def test_calls_that_name_no_run_are_estimated():
    """Guards against missing ratios where calls do not name their runs."""
    estimator = CallRatioEstimator()
    for index in range(100):
        now = index * 0.1
        estimator.record_start("index", now)
        estimator.record_call("look-up", now + 0.01)
        estimator.record_end("index", now, now + 0.05)
    assert estimator.get_ratios(10.0)["index"]["look-up"] == pytest.approx(1.0, 0.2)


def test_time_in_which_calls_are_pending_is_measured_once():
    """Guards against counting blocked time twice when two calls are pending at once."""
    running_calls = RunningCalls()
    call = running_calls.start(b"a", "history", None)
    call.begin_call("owner", 1.0)
    call.begin_call("owner", 1.1)
    assert running_calls.count_blocked() == 1
    call.end_call(1.2)
    assert call.measure_blocked_seconds(1.3) == pytest.approx(0.3)
    call.end_call(1.4)
    assert call.measure_blocked_seconds(2.0) == pytest.approx(0.4)
    assert running_calls.count_blocked() == 0


def test_a_retry_on_the_same_server_keeps_its_own_entry():
    """Guards against taking one of two calls with the same ID for the other."""
    running_calls = RunningCalls()
    first = running_calls.start(b"a", "history", None)
    second = running_calls.start(b"a", "history", None)
    assert running_calls.find(b"a") is None
    running_calls.end(first)
    assert running_calls.find(b"a") is second
    running_calls.end(second)
    assert running_calls.find(b"a") is None
    assert running_calls.find(b"") is None


def test_a_caller_cannot_inflate_the_calls_of_a_run():
    """Guards against a caller that sends calls in the name of its own request, so that
    admission refuses other requests of the route.
    """
    call = RunningCalls().start(b"a", "history", None)
    for _ in range(2000):
        call.begin_call("owner", 0.0)
    assert call.calls == {"owner": MAX_COUNTED_CALLS}


def test_calls_blocked_by_a_slow_service_are_no_load_of_their_own():
    """Guards against refusing uploads at a service with free capacity: most of its
    slots were held by index reads that waited for an overloaded service.
    """
    load = ServiceLoad()
    load.add(180, 196, 400.0, blocked=170, work_ms=15.0)
    assert load.utilization < 0.1
    assert load.queued == 0
    assert load.capacity == pytest.approx(196 / 0.015)


def test_a_service_out_of_slots_counts_as_overloaded():
    """Guards against a service that never sheds load: all of its slots are held by
    calls that wait for a healthy service, and further calls wait for a slot.
    """
    load = ServiceLoad()
    load.add(60, 15, 420.0, blocked=14, work_ms=20.0)
    assert load.utilization == pytest.approx(4.0)
    assert load.queued == pytest.approx(45.0)
    assert load.capacity == pytest.approx(15 / 0.42)


def test_a_reclaimed_slot_is_not_blocked():
    """Guards against subtracting calls that the queue no longer counts as running."""
    running_calls = RunningCalls()
    for slot in (1, 2):
        running_calls.start(b"%d" % slot, "history", None, slot).begin_call("a", 0.0)
    assert running_calls.count_blocked() == 2
    assert running_calls.count_blocked({1}) == 1
