"""Which of a backend server's runs make its calls."""

import random

import pytest

from primroseglade.sidecar.call_ratios import CallRatioEstimator


def play(
    rates: dict[str, float],
    calls: dict[str, tuple[str, int]],
    seconds: float,
    seed: int,
    work: float = 0.08,
) -> CallRatioEstimator:
    """Let runs of routes start at random; each makes its calls while it works.

    Args:
        rates: Runs a second, by route.
        calls: Route and number of calls that a run makes, by the run's route.
        seconds: For which they are seen.
        seed: Of the arrivals.
        work: Seconds of a run.
    """
    rng = random.Random(seed)
    events: list[tuple[float, str, str]] = []
    for route, rate in rates.items():
        now = rng.expovariate(rate)
        while now < seconds:
            end = now + work * rng.uniform(0.5, 1.5)
            events.append((now, "start", route))
            events.append((end, "end", route))
            called, count = calls.get(route, ("", 0))
            for number in range(count):
                moment = now + (end - now) * (number + 0.5) / count
                events.append((moment, "call", called))
            now += rng.expovariate(rate)
    own = CallRatioEstimator()
    for moment, kind, route in sorted(events):
        if kind == "start":
            own.record_start(route, moment)
        elif kind == "end":
            own.record_end(route, moment)
        else:
            own.record_call(route, moment)
    return own


@pytest.mark.parametrize("seed", range(4))
def test_uploads_are_not_blamed_for_the_calls_of_look_ups(seed: int):
    """Uploads were refused although nothing that they use was short of room: the
    look-ups at the same service lead to one that was overloaded, and what each run
    leads to was reckoned as the average over both. One node, fifteen seconds.
    """
    rates = {"upload": 15.0, "index": 120.0}
    own = play(rates, {"index": ("lookup", 4)}, 15.0, seed)
    told = own.get_ratios(15.0)
    assert told["index"]["lookup"] == pytest.approx(4.0, rel=0.1)
    assert told["upload"].get("lookup", 0.0) < 2.0
    assert told[""]["lookup"] == pytest.approx(4.0 * 120 / 135, rel=0.15)


def test_nodes_together_tell_routes_apart_well():
    """The mean over the nodes of a service is what admission goes by: there a run
    that makes two calls and one that makes one are clearly apart.
    """
    rates = {"issue": 50.0, "ledger": 110.0}
    calls = {"issue": ("index", 2), "ledger": ("index", 1)}
    told = [play(rates, calls, 15.0, seed).get_ratios(15.0) for seed in range(4)]
    issue = sum(node["issue"]["index"] for node in told) / len(told)
    ledger = sum(node["ledger"]["index"] for node in told) / len(told)
    assert issue == pytest.approx(2.0, abs=0.4)
    assert ledger == pytest.approx(1.0, abs=0.2)


def test_before_runs_differ_each_counts_as_the_average():
    """Two seconds after its start a node knows next to nothing of single routes."""
    rates = {"upload": 3.0, "index": 40.0}
    told = play(rates, {"index": ("lookup", 4)}, 2.0, 1).get_ratios(2.0)
    assert told["upload"].get("lookup", 0.0) > 1.0


def test_what_was_never_called_is_not_told():
    """A backend server that calls nobody leads nowhere."""
    told = play({"lookup": 100.0}, {}, 5.0, 1).get_ratios(5.0)
    assert told == {"": {}, "lookup": {}}
