"""The load that backend servers state in their answers, and what is made of it."""

import random

import pytest
from hypothesis import given, strategies

from primroseglade.observe.events import Journal
from primroseglade.platform.backend_statements import read_statements
from primroseglade.sidecar.load_balancing import Candidate, choose
from primroseglade.sidecar.request_limit import RequestLimit
from primroseglade.sidecar.statement_recorder import StatementRecorder
from primroseglade.sidecar.work_pace import WorkPace

LOAD = b"X-Primroseglade-Upstream-Load"


@pytest.mark.parametrize(
    "value",
    "/3,0/3,0,8,100,5/-1,0,8/3,0,0/a,b,c/3,0,8,0/3,0,8,-5/3,0,8,99999/3,,8".split("/"),
)
def test_invalid_load_leaves_the_rest_of_the_answer_valid(value: str):
    """Guards against an answer that is dropped, or a limit that is lost, because of
    figures that are negative, huge, missing, no numbers or too many.
    """
    statements = read_statements([(LOAD, value.encode()), (b"Server-Limit", b"8")])
    assert statements.load is None
    assert statements.request_limit.calls_per_second == 8.0
    (error,) = statements.errors
    assert "expected 3 whole numbers" in error


@given(strategies.binary(max_size=40))
def test_any_load_is_decoded_or_reported(value: bytes):
    """Whatever a backend server states, the result is within bounds or an error."""
    statements = read_statements([(LOAD, value)])
    load = statements.load
    assert (load is None) == bool(statements.errors)
    if load is not None:
        assert load.slots > 0
        assert load.work_time_ratio is None or 0.01 <= load.work_time_ratio <= 100


def build_recorder(pace: WorkPace) -> tuple[StatementRecorder, list[dict]]:
    """Return a recorder and the list that receives what it logs."""
    logged: list[dict] = []
    journal = Journal("node")
    journal.emit = lambda event, **fields: logged.append(fields)
    limit = RequestLimit(lambda: 0.0, assume_limited=False)
    recorder = StatementRecorder("deep", limit, pace, journal, str, lambda: None)
    return recorder, logged


def test_invalid_loads_are_logged_once():
    """Guards against a log line for each answer that states an invalid load."""
    recorder, logged = build_recorder(WorkPace())
    for number in range(50):
        recorder.log_errors(read_statements([(LOAD, b"%d'" % number)]))
    assert len(logged) == 1
    assert "expected 3 whole numbers" in logged[0]["reason"]


def test_load_without_a_fourth_figure_changes_nothing():
    """Backend servers that say nothing of their pace are compared as before."""
    pace = WorkPace()
    recorder, _ = build_recorder(pace)
    recorder.record(read_statements([(LOAD, b"3,0,8")]), 0.0)
    assert pace.get_slowdown(0.0) == 1.0


def test_a_statement_counts_less_with_age():
    """Guards against avoiding a backend server long after its slowdown is over: it gets
    few calls then, so that no answer shows that it has recovered.
    """
    pace = WorkPace()
    for _ in range(200):
        pace.record(1.0, 0.0)
    pace.record(2.5, 1.0)
    slowdowns = [pace.get_slowdown(1.0 + age) for age in (0.0, 0.3, 0.6, 3.0)]
    assert slowdowns[0] > 2.3
    assert slowdowns == sorted(slowdowns, reverse=True)
    assert slowdowns[-1] < 1.01


def count_choices(slowdown: float) -> int:
    """Return how many of 1,000 calls go to a backend server with this slowdown.

    There are three others of the same zone, all of them lightly loaded.
    """
    rng = random.Random(1)
    count = 0
    for _ in range(1000):
        candidates = [
            Candidate(name, True, 35, 6, 120.0, 0.0, slowdown=factor)
            for name, factor in (("a", 1.0), ("b", 1.0), ("c", 1.0), ("d", slowdown))
        ]
        chosen = choose(candidates, list, 50.0, 0.0, 2000.0, rng)
        count += chosen is not None and chosen.name == "d"
    return count


def test_calls_avoid_a_server_that_is_slow_for_half_a_second():
    """Guards against calls that take 2.5 times as long on a shared machine that is busy
    for 0.6 s. The average service time has hardly changed by then.
    """
    assert count_choices(1.0) > 200
    assert count_choices(2.5) == 0


def test_a_constant_figure_does_not_exclude_a_server():
    """A backend server that always states the same figure counts as usual, however
    high that is: the figure is compared with its own average.
    """
    pace = WorkPace()
    for index in range(300):
        pace.record(100.0, index * 0.1)
    assert pace.get_slowdown(30.0) == pytest.approx(1.0, abs=0.01)
