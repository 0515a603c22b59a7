"""Choice of a backend server by availability zone, load and failures."""

import random

from primroseglade.sidecar.load_balancing import (
    Candidate,
    choose,
    compute_cross_zone_surcharge_ms,
    compute_failure_cost_ms,
)
from primroseglade.sidecar.model import Route, RouteKind, WeightedService

SLOTS = 25


def measure_cross_zone_share(
    same_zone_in_flight: float,
    same_zone_ms: float,
    cross_zone_ms: float,
    size_bytes: float = 0.0,
    latency_tolerance: float = 0.3,
) -> float:
    """Return the share of 1000 calls that goes to the other availability zone."""
    rng = random.Random(1)
    cross_zone_surcharge_ms = compute_cross_zone_surcharge_ms(
        latency_tolerance, size_bytes
    )
    cross_zone_calls = 0
    for _ in range(1000):
        same_zone = Candidate(
            "near", True, SLOTS, same_zone_in_flight, same_zone_ms, 0.0
        )
        cross_zone = Candidate("far", False, SLOTS, 10.0, cross_zone_ms, 0.0)
        choice = choose(
            [same_zone],
            lambda cross_zone=cross_zone: [cross_zone],
            cross_zone_surcharge_ms,
            0.0,
            0.0,
            rng,
        )
        assert choice is not None
        cross_zone_calls += choice.name == "far"
    return cross_zone_calls / 1000


def test_light_load_stays_in_zone_although_another_is_faster():
    """Guards against cross-zone calls that gain nothing for callers. Under light load,
    a backend server in another zone that is twice as fast saves 10 ms of a 300 ms
    target. Half of all look-ups would go cross-zone for that, and cross-zone bytes are
    the largest cost.
    """
    assert measure_cross_zone_share(10.0, same_zone_ms=21.0, cross_zone_ms=9.4) < 0.05


def test_queue_in_own_zone_sends_calls_to_another_zone():
    """With two calls queued for each slot, the other zone answers sooner."""
    assert (
        measure_cross_zone_share(3 * SLOTS, same_zone_ms=21.0, cross_zone_ms=9.4) > 0.95
    )


def test_slow_zone_keeps_large_answers_and_sends_small_ones_cross_zone():
    """Guards against a cross-zone cost that ignores the size of calls. If the backend
    servers of one zone have little more than half the speed of others and no free
    slots, payments with answers of 6 kB would go cross-zone as readily as look-ups of
    200 bytes, at 30 times the bytes for each millisecond saved. Three in five payments
    would go cross-zone, most of them from zones with free slots.
    """
    in_flight = 0.3 * SLOTS
    assert (
        measure_cross_zone_share(
            in_flight,
            same_zone_ms=105.0,
            cross_zone_ms=45.0,
            size_bytes=6500,
            latency_tolerance=0.2,
        )
        < 0.05
    )
    queued_in_flight = 2.2 * SLOTS
    small_share = measure_cross_zone_share(
        queued_in_flight, same_zone_ms=37.0, cross_zone_ms=16.0, size_bytes=500
    )
    large_share = measure_cross_zone_share(
        queued_in_flight, same_zone_ms=37.0, cross_zone_ms=16.0, size_bytes=12_000
    )
    assert small_share > 0.9
    assert large_share < 0.02


def test_calls_that_meet_their_target_stay_in_zone():
    """Guards against large cross-zone calls that would be in time anyway. If one zone's
    only backend server of bookings is slower than the others, bookings of 9 kB in both
    directions could save a tenth of a second in another zone, which callers with a
    target of over a second do not notice. They would make up a quarter of the
    cross-zone bytes. Bookings that would be late in their own zone still go elsewhere.
    """
    in_flight = 0.8 * SLOTS
    on_time_share = measure_cross_zone_share(
        in_flight,
        same_zone_ms=150.0,
        cross_zone_ms=90.0,
        size_bytes=9000,
        latency_tolerance=0.4,
    )
    assert on_time_share < 0.05
    late_share = measure_cross_zone_share(
        3 * SLOTS,
        same_zone_ms=180.0,
        cross_zone_ms=90.0,
        size_bytes=9000,
        latency_tolerance=0.4,
    )
    assert late_share > 0.95


def test_latency_tolerance_is_at_most_half_of_timeout():
    """A booking with a target of 1.5 s and a timeout of 0.8 s has a latency tolerance
    of 0.4 s.
    """
    services = [WeightedService("bookings", 1.0)]
    route = Route("book", "h", "/", RouteKind.UNSAFE, services, 0.8, 1.5, 0, 1, False)
    assert route.latency_tolerance == 0.4
    assert (
        Route(
            "look", "h", "/", RouteKind.SAFE, services, 2.0, 0.3, 0, 1, False
        ).latency_tolerance
        == 0.3
    )


def test_exploration_stays_in_zone():
    """Guards against cross-zone calls made only to explore. One call in 50 goes to any
    backend server with spare capacity. If only one of three backend servers is in the
    same zone, most of these calls would go cross-zone, even under the lightest load.
    """
    rng = random.Random(2)
    chosen = []
    for _ in range(5000):
        same_zone = Candidate("near", True, SLOTS, 2.0, 20.0, 0.0)
        failing = Candidate("failing", True, SLOTS, 2.0, 20.0, 1.0)
        cross_zone = [
            Candidate(f"far-{n}", False, SLOTS, 2.0, 20.0, 0.0) for n in range(3)
        ]
        cross_zone_surcharge_ms = compute_cross_zone_surcharge_ms(0.3, 500)
        choice = choose(
            [same_zone, failing],
            lambda cross_zone=cross_zone: cross_zone,
            cross_zone_surcharge_ms,
            0.0,
            600.0,
            rng,
        )
        assert choice is not None
        chosen.append(choice)
    assert all(choice.same_zone for choice in chosen)
    assert sum(c.name == "failing" for c in chosen) > 0.005 * len(chosen)


def test_calls_leave_zone_with_failing_backend_server():
    """Guards against saving cross-zone bytes at the cost of failures. If the only
    backend server of a zone loses a third of its answers, look-ups must go elsewhere,
    because each failure also fails the page request that makes the look-up.
    """
    rng = random.Random(3)
    same_zone = Candidate("near", True, SLOTS, 5.0, 22.0, 0.3)
    cross_zone = Candidate("far", False, SLOTS, 5.0, 22.0, 0.0)
    cross_zone_surcharge_ms = compute_cross_zone_surcharge_ms(0.3, 900)
    failure_cost_ms = compute_failure_cost_ms(0.3)
    chosen = [
        choose(
            [same_zone],
            lambda: [cross_zone],
            cross_zone_surcharge_ms,
            0.0,
            failure_cost_ms,
            rng,
        )
        for _ in range(500)
    ]
    assert sum(choice is cross_zone for choice in chosen) > 0.95 * len(chosen)


def test_limited_backend_server_gets_calls_once_the_others_are_busier():
    """Guards against a queue of calls at a backend server that takes few a second, and
    against leaving it idle while calls wait elsewhere.
    """
    rng = random.Random(1)

    def count_limited(other_in_flight: float) -> int:
        limited = Candidate("limited", True, 1, 0.0, 20.0, 0.0, request_limit=8.0)
        other = Candidate("other", True, SLOTS, other_in_flight, 20.0, 0.0)
        chosen = [
            choose([limited, other], list, 1000.0, 0.0, 0.0, rng) for _ in range(1000)
        ]
        return sum(candidate is limited for candidate in chosen)

    assert count_limited(0.5 * SLOTS) < 30
    assert count_limited(8.0 * SLOTS) > 950


def test_limited_backend_server_without_calls_is_probed():
    """Guards against a limit whose end goes unnoticed: another zone is cheaper than the
    zone's only backend server, which limits its requests, so that all calls go there.
    """
    rng = random.Random(1)

    def count_limited(probe_due: bool) -> int:
        limited = Candidate(
            "limited", True, 1, 0.0, 20.0, 0.0, request_limit=2.0, probe_due=probe_due
        )
        other = Candidate("other", False, SLOTS, 0.0, 20.0, 0.0)
        chosen = [
            choose([limited], lambda: [other], 50.0, 0.0, 0.0, rng) for _ in range(1000)
        ]
        return sum(candidate is limited for candidate in chosen)

    assert count_limited(probe_due=False) == 0
    assert 50 < count_limited(probe_due=True) < 200
