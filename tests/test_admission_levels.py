"""Loads of callers' requests over what a service deep in the graph can do."""

import random

from primroseglade.emulator.rate_plays import (
    count_allowed,
    Demand,
    play_workspace,
)
from primroseglade.sidecar.admission import Admission, ServiceLoad
from primroseglade.sidecar.model import Tenant
from primroseglade.sidecar.periodic_scheduler import STEP_SECONDS

from .rates import OneHolder

URGENT, USUAL, LEAST = 10, 11, 12
# Steps of the plant below that a load lags behind what was admitted: heartbeats are
# half a second apart.
LAG_STEPS = 2


def build_load(in_flight: float, slots: float, service_ms: float = 15.0) -> ServiceLoad:
    """Return the load of a service with one backend server."""
    load = ServiceLoad()
    load.add(in_flight, slots, service_ms)
    return load


class Deep:
    """A service that works on so many calls a step; the rest waits or is dropped."""

    def __init__(self, capacity: float, slots: float):
        self.capacity = capacity
        self.slots = slots
        self.waiting = 0.0
        self.told = [0.0] * LAG_STEPS

    def step(self, calls: float) -> ServiceLoad:
        """Take in a step's calls and return the load as others hear of it."""
        busy = min(1.0, (calls + self.waiting) / self.capacity)
        self.waiting = max(0.0, self.waiting + calls - self.capacity)
        self.waiting = min(self.waiting, 3 * self.slots)
        self.told.append(self.slots * busy + self.waiting)
        service_ms = 1000 * STEP_SECONDS * self.slots / self.capacity
        return build_load(self.told.pop(0), self.slots, service_ms)


def play(demand: dict[int, int], capacity: float, steps: int) -> dict[int, float]:
    """Return which part of each rank was admitted in the second half of a load."""
    admission = Admission(random.Random(1))
    deep = Deep(capacity, 20)
    admitted = dict.fromkeys(demand, 0)
    asked = dict.fromkeys(demand, 0)
    visits = {"front": 1.0, "deep": 4.0}
    for step in range(steps):
        now = step * STEP_SECONDS
        calls = 0.0
        for rank, count in demand.items():
            for _ in range(count):
                admission.record_demand(visits, rank, now)
                passed = admission.admits(visits, rank)
                calls += 4.0 * passed
                if step > steps // 2:
                    asked[rank] += 1
                    admitted[rank] += passed
        told = admission.measure_demand(now)
        admission.update({"deep": deep.step(calls)}, told, now)
    return {rank: admitted[rank] / asked[rank] for rank in demand}


def test_nothing_is_refused_while_there_is_room():
    """Demand of 0.8 of what the service can do passes whole."""
    passed = play({URGENT: 20, USUAL: 20, LEAST: 40}, 400.0, 80)
    assert passed == {URGENT: 1.0, USUAL: 1.0, LEAST: 1.0}


def test_the_least_urgent_are_refused_first():
    """Demand of 1.6 of the capacity: the urgent half passes whole."""
    passed = play({URGENT: 20, USUAL: 20, LEAST: 40}, 200.0, 160)
    assert passed[URGENT] > 0.98
    assert passed[USUAL] > 0.75
    assert passed[LEAST] < 0.5


def test_what_a_service_can_do_is_used():
    """Requests were refused for ten seconds after a burst although the service was
    half idle: levels fell by ranks, most of them empty, far below the demand that it
    could serve, and rose as slowly. The load lags, so that some falls too far; on
    average at least three quarters of the capacity is used.
    """
    demand = {0: 1, 1: 1, 2: 1, URGENT: 20, USUAL: 20, LEAST: 40}
    passed = play(demand, 200.0, 160)
    calls = sum(4.0 * count * passed[rank] for rank, count in demand.items())
    assert 0.75 * 200.0 < calls < 1.15 * 200.0


def test_a_call_that_did_not_run_costs_no_token():
    """Workspaces were refused as over their rate at half of it: each call that an
    overloaded service had refused was counted against them.
    """
    holder = OneHolder()
    tenant = Tenant("north", 1, 10.0, 10.0)
    for number in range(100):
        holder.now = number * 0.01
        assert holder.take(tenant)
        holder.quotas.refund(tenant)


def test_the_rate_holds_over_nodes_that_share_it():
    """Three nodes with five times the rate between them let through the rate."""
    play = play_workspace(3, 100.0, Demand(5.0), 10.0, seed=1, zones=3)
    assert play.find_worst_window() <= count_allowed(100.0, 100.0)
    assert len(play.admitted) >= 100.0 * 10 * 0.95


def test_an_overload_that_has_ended_is_soon_over_for_callers():
    """A slow service became fast again, and for eight more seconds half of all
    callers were refused while its slots stood two thirds empty: the level rose by a
    fixed step whatever the room.
    """
    admission = Admission(random.Random(1))
    visits = {"front": 1.0, "deep": 4.0}
    slow, fast = 500.0, 15.0

    def step(number: int, load: ServiceLoad) -> float:
        now = number * STEP_SECONDS
        for _ in range(50):
            admission.record_demand(visits, USUAL, now)
        admission.update({"deep": load}, admission.measure_demand(now), now)
        return admission.admission_levels.get("deep", 1.0)

    for number in range(40):
        level = step(number, build_load(80.0, 20.0, slow))
    assert level < 0.1
    # From now on the demand takes six tenths of the slots.
    admission_levels = [level] * (LAG_STEPS + 1)
    for number in range(40, 40 + int(3.0 / STEP_SECONDS)):
        load = build_load(20.0 * 0.6 * admission_levels[-LAG_STEPS], 20.0, fast)
        admission_levels.append(step(number, load))
    assert admission_levels[-1] == 1.0


class Pipe:
    """A deep service behind others: what is let through comes 0.3 s later, and what it
    tells is half a second old.

    Args:
        capacity: Calls a second.
        slots: Of its backend servers together.
    """

    STEP = 0.05
    WAY = 6
    LAG = 10

    def __init__(self, capacity: float, slots: float):
        self.capacity = capacity
        self.slots = slots
        self.waiting = 0.0
        self.done = 0.0
        self.coming = [0.0] * self.WAY
        self.told = [0.0] * self.LAG

    def step(self, calls: float) -> None:
        """Let a twentieth of a second pass."""
        self.coming.append(calls)
        most = self.capacity * self.STEP
        there = self.waiting + self.coming.pop(0)
        done = min(there, most)
        self.done += done
        # Who waits for too long gives up.
        self.waiting = min(there - done, 8 * self.slots)
        self.told.append(self.slots * done / most + self.waiting)

    @property
    def load(self) -> ServiceLoad:
        """What others know of it now."""
        service_ms = 1000 * self.slots / self.capacity
        return build_load(self.told[-self.LAG], self.slots, service_ms)


def test_a_level_does_not_swing_with_what_is_seen_late():
    """In a burst of 1.6 times what the deepest service can do, it stood idle and was
    flooded by turns, each for a second: what was let through came down the graph, its
    queue was told, and was answered when it was gone. A third of its work was lost.
    """
    admission = Admission(random.Random(1))
    deep = Pipe(4900.0, 92.0)
    rng = random.Random(2)
    visits = {"front": 1.0, "deep": 5.0}
    pressures = []
    steps = int(25.0 / Pipe.STEP)
    for number in range(steps):
        now = number * Pipe.STEP
        calls = 0.0
        for _ in range(80):
            rank = rng.choice((URGENT, USUAL, USUAL))
            admission.record_demand(visits, rank, now)
            calls += 5.0 * admission.admits(visits, rank)
        deep.step(calls)
        if number % 5 == 0:
            asked = admission.measure_demand(now)
            admission.update({"deep": deep.load}, asked, now)
        if now > 5.0:
            pressures.append(deep.told[-1] / deep.slots)
    assert deep.done > 0.9 * deep.capacity * 25.0
    assert max(pressures) < 6.0
    assert sum(utilization < 0.6 for utilization in pressures) < 0.02 * len(pressures)


def test_one_slow_backend_server_of_three_does_not_close_the_service():
    """One of three backend servers became twelve times slower and gathered a queue.
    Callers of the service were refused for seconds, while the two others had room for
    everything.
    """
    load = ServiceLoad()
    load.add(180.0, 46.0, 360.0)
    load.add(25.0, 46.0, 30.0)
    load.add(25.0, 46.0, 30.0)
    assert load.utilization < 0.8
