"""Where calls go, by the availability zone and load of those that serve them."""

import random

from primroseglade.sidecar.choice import Candidate, choose, price_other_zone

SLOTS = 25


def share_far(near_occupied: float, near_ms: float, far_ms: float) -> float:
    """Return which part of many look-ups goes to the other availability zone."""
    rng = random.Random(1)
    price = price_other_zone(0.3, 0)
    far = 0
    for _ in range(1000):
        near = Candidate("near", True, SLOTS, near_occupied, near_ms, 0.0)
        other = Candidate("far", False, SLOTS, 10.0, far_ms, 0.0)
        choice = choose([near, other], (), price, rng)
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
