"""Where calls go, by the availability zone and load of those that serve them."""

import random

from primroseglade.sidecar.load_balancing import (
    Candidate,
    choose,
    compute_cross_zone_cost_ms,
    compute_failure_cost_ms,
)
from primroseglade.sidecar.model import Route, RouteKind, WeightedService

SLOTS = 25


def share_far(
    near_occupied: float,
    near_ms: float,
    far_ms: float,
    size: float = 0.0,
    target: float = 0.3,
) -> float:
    """Return which part of many calls goes to the other availability zone."""
    rng = random.Random(1)
    price = compute_cross_zone_cost_ms(target, size)
    far = 0
    for _ in range(1000):
        near = Candidate("near", True, SLOTS, near_occupied, near_ms, 0.0)
        other = Candidate("far", False, SLOTS, 10.0, far_ms, 0.0)
        choice = choose([near], lambda other=other: [other], price, 0.0, 0.0, rng)
        assert choice is not None
        far += choice.name == "far"
    return far / 1000


def test_light_load_stays_in_its_zone_though_others_are_faster():
    """Half of all look-ups went to other availability zones on quiet days, for ten
    milliseconds of a target of three hundred: one backend server there was twice as
    fast. Callers saw nothing of it, but the bytes were the dearest part of the bill.
    """
    assert share_far(10.0, near_ms=21.0, far_ms=9.4) < 0.05


def test_a_queue_at_home_sends_calls_away():
    """With two waiting for each slot the other zone serves sooner."""
    assert share_far(3 * SLOTS, near_ms=21.0, far_ms=9.4) > 0.95


def test_a_slow_zone_keeps_its_large_answers_and_sends_small_ones_away():
    """One zone's backend servers had little more than half of the others' speed, and
    their room was used up. Payments with answers of six kilobytes went to other zones
    as readily as look-ups of two hundred bytes, at thirty times the bytes for each
    millisecond won; three in five of all payments crossed, most of them from zones with
    room.
    """
    used = 0.3 * SLOTS
    assert share_far(used, near_ms=105.0, far_ms=45.0, size=6500, target=0.2) < 0.05
    waiting = 2.2 * SLOTS
    small = share_far(waiting, near_ms=37.0, far_ms=16.0, size=500)
    large = share_far(waiting, near_ms=37.0, far_ms=16.0, size=12_000)
    assert small > 0.9
    assert large < 0.02


def test_bookings_that_have_time_stay_near_though_others_are_faster():
    """One zone's only backend server of bookings was slower than the others. Bookings
    of nine kilobytes both ways crossed for a tenth of a second, of which callers with a
    target of over a second saw nothing; a quarter of the bytes between zones were
    theirs. Where they would be late at home, they still go elsewhere.
    """
    used = 0.8 * SLOTS
    stay = share_far(used, near_ms=150.0, far_ms=90.0, size=9000, target=0.4)
    assert stay < 0.05
    late = share_far(3 * SLOTS, near_ms=180.0, far_ms=90.0, size=9000, target=0.4)
    assert late > 0.95


def test_an_answer_has_no_longer_than_half_of_its_timeout():
    """A booking has a target of a second and a half, and is ended after 0.8 s."""
    services = [WeightedService("bookings", 1.0)]
    route = Route("book", "h", "/", RouteKind.UNSAFE, services, 0.8, 1.5, 0, 1, False)
    assert route.latency_tolerance == 0.4
    assert (
        Route(
            "look", "h", "/", RouteKind.SAFE, services, 2.0, 0.3, 0, 1, False
        ).latency_tolerance
        == 0.3
    )


def test_exploring_stays_in_its_zone():
    """A fiftieth of all calls tries whoever has room. With one of three backend servers
    near, most of those crossed to another zone, on the quietest days too.
    """
    rng = random.Random(2)
    chosen = []
    for _ in range(5000):
        near = Candidate("near", True, SLOTS, 2.0, 20.0, 0.0)
        failing = Candidate("failing", True, SLOTS, 2.0, 20.0, 1.0)
        far = [Candidate(f"far-{n}", False, SLOTS, 2.0, 20.0, 0.0) for n in range(3)]
        price = compute_cross_zone_cost_ms(0.3, 500)
        choice = choose([near, failing], lambda far=far: far, price, 0.0, 600.0, rng)
        assert choice is not None
        chosen.append(choice)
    assert all(choice.same_zone for choice in chosen)
    assert sum(c.name == "failing" for c in chosen) > 0.005 * len(chosen)


def test_calls_leave_a_zone_whose_backend_server_fails():
    """A third of a backend server's answers got lost. It was the only one of its zone,
    and look-ups stayed there to save bytes, though each that failed threw away the
    page above it.
    """
    rng = random.Random(3)
    near = Candidate("near", True, SLOTS, 5.0, 22.0, 0.3)
    far = Candidate("far", False, SLOTS, 5.0, 22.0, 0.0)
    price = compute_cross_zone_cost_ms(0.3, 900)
    failure = compute_failure_cost_ms(0.3)
    chosen = [
        choose([near], lambda: [far], price, 0.0, failure, rng) for _ in range(500)
    ]
    assert sum(choice is far for choice in chosen) > 0.95 * len(chosen)
