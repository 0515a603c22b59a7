"""Estimates of the calls that a backend server makes for each route."""

import math
import random

import pytest

from primroseglade.sidecar.call_graph import CallGraph
from primroseglade.sidecar.call_ratios import CallRatioEstimator
from primroseglade.sidecar.model import Route, RouteKind, WeightedService


def simulate_runs(
    rates: dict[str, float],
    calls: dict[str, tuple[str, int]],
    duration: float,
    seed: int,
    mean_run_seconds: float = 0.08,
    until: float = math.inf,
) -> CallRatioEstimator:
    """Return an estimator after runs with random starts, each with evenly spaced calls.

    Args:
        rates: Runs per second, by route.
        calls: For each route, the called route and the number of calls that a run
            makes to it.
        duration: Seconds in which runs start.
        seed: Seed of the random starts and lengths of runs.
        mean_run_seconds: Mean length of a run.
        until: Seconds after which nothing is recorded.
    """
    rng = random.Random(seed)
    # Time, kind, route, and start of the run.
    events: list[tuple[float, str, str, float]] = []
    for route, rate in rates.items():
        started_at = rng.expovariate(rate)
        while started_at < duration:
            ended_at = started_at + mean_run_seconds * rng.uniform(0.5, 1.5)
            events.append((started_at, "start", route, started_at))
            events.append((ended_at, "end", route, started_at))
            called, count = calls.get(route, ("", 0))
            for index in range(count):
                time = started_at + (ended_at - started_at) * (index + 0.5) / count
                events.append((time, "call", called, started_at))
            started_at += rng.expovariate(rate)
    return replay([event for event in events if event[0] < until])


def replay(events: list[tuple[float, str, str, float]]) -> CallRatioEstimator:
    """Return an estimator that recorded some events.

    Args:
        events: Time, kind, route, and start of the run, in any order.
    """
    estimator = CallRatioEstimator()
    for time, kind, route, started_at in sorted(events):
        if kind == "start":
            estimator.record_start(route, time)
        elif kind == "end":
            estimator.record_end(route, started_at, time)
        else:
            estimator.record_call(route, time)
    return estimator


@pytest.mark.parametrize("seed", range(4))
def test_calls_are_attributed_to_the_route_that_makes_them(seed: int):
    """Guards against refusing uploads because look-ups at the same service call an
    overloaded one, as happens if the calls per run are estimated as the average over
    both routes. One node, 15 seconds.
    """
    rates = {"upload": 15.0, "index": 120.0}
    estimator = simulate_runs(rates, {"index": ("lookup", 4)}, 15.0, seed)
    ratios = estimator.get_ratios(15.0)
    assert ratios["index"]["lookup"] == pytest.approx(4.0, rel=0.1)
    assert ratios["upload"].get("lookup", 0.0) < 2.0
    assert ratios[""]["lookup"] == pytest.approx(4.0 * 120 / 135, rel=0.15)


def test_mean_over_nodes_separates_routes():
    """Admission uses the mean over the nodes of a service, which clearly separates runs
    that make two calls from runs that make one.
    """
    rates = {"issue": 50.0, "ledger": 110.0}
    calls = {"issue": ("index", 2), "ledger": ("index", 1)}
    ratios = [
        simulate_runs(rates, calls, 15.0, seed).get_ratios(15.0) for seed in range(4)
    ]
    issue = sum(node["issue"]["index"] for node in ratios) / len(ratios)
    ledger = sum(node["ledger"]["index"] for node in ratios) / len(ratios)
    assert issue == pytest.approx(2.0, abs=0.4)
    assert ledger == pytest.approx(1.0, abs=0.2)


def test_rare_uploads_beside_many_look_ups_make_no_calls():
    """Guards against refusing uploads for a service that they do not call: they are one
    run in thirty, and averages over half a second hide when they run. Eight nodes, as
    admission sees them.
    """
    rates = {"upload": 2.7, "index": 92.0}
    ratios = [
        simulate_runs(rates, {"index": ("lookup", 4)}, 16.0, seed).get_ratios(16.0)
        for seed in range(8)
    ]
    graph = CallGraph()
    lookup = Route(
        "lookup",
        "h",
        "/",
        RouteKind.SAFE,
        [WeightedService("deep", 1)],
        1,
        1,
        0,
        1,
        True,
    )
    graph.rebuild([("images", node) for node in ratios], {"lookup": lookup})
    assert "deep" not in graph.get_expected_calls("upload", "images")
    calls = graph.get_expected_calls("index", "images")["deep"]
    assert calls == pytest.approx(4.0, rel=0.1)


def test_runs_that_fail_do_not_change_the_ratios():
    """Guards against admission that takes the demand for a service for a third of what
    it is, and refuses nobody, after the service shed calls for eight seconds: meanwhile
    runs failed at the first of their four calls.
    """
    estimator = simulate_runs({"index": 100.0}, {"index": ("lookup", 4)}, 15.0, 1)
    rng = random.Random(2)
    now = 15.0
    while now < 23.0:
        estimator.record_start("index", now)
        estimator.record_call("lookup", now + 0.002)
        started_at, now = now, now + rng.expovariate(100.0)
        estimator.record_end("index", started_at, now, succeeded=False)
    ratios = estimator.get_ratios(now)
    assert ratios["index"]["lookup"] == pytest.approx(4.0, rel=0.1)


@pytest.mark.parametrize("seed", range(4))
def test_runs_that_have_not_ended_count_while_the_load_rises(seed: int):
    """Guards against admission that takes the demand for a service four calls deeper
    for ten times what it is, in the first second after a start: runs of half a second
    make calls, and few of them have ended.
    """
    rates = {"history": 100.0, "ledger": 150.0}
    calls = {"history": ("deep", 2), "ledger": ("deep", 2)}
    estimator = simulate_runs(rates, calls, 0.6, seed, 0.5, until=0.6)
    assert estimator.get_ratios(0.6)[""]["deep"] < 2.0 * 1.5


def simulate_congestion(seed: int) -> CallRatioEstimator:
    """Return an estimator after look-ups that make four calls one after the other, now
    quickly, now slowly, beside a few uploads that make none.
    """
    rng = random.Random(seed)
    events: list[tuple[float, str, str, float]] = []
    for route, rate, call_count in (("index", 92.0, 4), ("upload", 2.7, 0)):
        started_at = 0.0
        while (started_at := started_at + rng.expovariate(rate)) < 16.0:
            slowdown = 2.5 + 1.5 * math.sin(0.9 * started_at)
            gap = 0.045 * slowdown if call_count else 0.19
            times = [started_at + 0.008 + gap * n for n in range(call_count)]
            ended_at = (times[-1] if times else started_at) + gap
            events.append((started_at, "start", route, started_at))
            events += [(time, "call", "lookup", started_at) for time in times]
            events.append((ended_at, "end", route, started_at))
    return replay(events)


def test_uploads_make_no_calls_while_look_ups_become_slower():
    """Guards against taking the calls of look-ups for those of uploads while the
    service that look-ups call is congested: then they make their calls more slowly.
    Mean over eight nodes, as admission sees them.
    """
    ratios = [simulate_congestion(seed).get_ratios(16.0) for seed in range(8)]
    index = sum(node["index"]["lookup"] for node in ratios) / len(ratios)
    upload = sum(node["upload"]["lookup"] for node in ratios) / len(ratios)
    assert index == pytest.approx(4.0, rel=0.1)
    assert abs(upload) < 1.0


def test_early_estimate_is_the_average():
    """Two seconds after its start, a node has too little data to separate routes."""
    rates = {"upload": 3.0, "index": 40.0}
    ratios = simulate_runs(rates, {"index": ("lookup", 4)}, 2.0, 1).get_ratios(2.0)
    assert ratios["upload"].get("lookup", 0.0) > 1.0


def test_routes_never_called_are_left_out():
    """The ratios of a backend server that makes no calls are empty."""
    ratios = simulate_runs({"lookup": 100.0}, {}, 5.0, 1).get_ratios(5.0)
    assert ratios == {"": {}, "lookup": {}}
