"""The soak test: a short run of one seed, and whether its checks find violations."""

import pathlib

import pytest

from soak.checks import (
    Execution,
    FatalRequest,
    find_violations,
    Record,
    SentRequest,
    SlowRead,
)
from soak.run import Soak

# A short run for every change; `python -m soak` runs more seeds by hand.
SEED = 1
SECONDS = 6.0
NODES = 4


async def test_short_run_has_no_violations(tmp_path: pathlib.Path):
    """Real processes are paused, killed, stopped and cut off from the store: callers
    and backend servers observe no violation, and requests succeed again at the end.
    """
    soak = Soak(SEED, SECONDS, NODES, tmp_path)
    violations = await soak.run()
    assert violations == []
    assert sum(request.status == 200 for request in soak.record.requests.values()) > 500


def build_record() -> Record:
    """Return a record of one unsafe request that succeeded and was executed once."""
    record = Record()
    record.tenants_by_key = {"key-a": "north"}
    request = SentRequest("r1", "key-a", False, 10.0)
    request.status = 200
    record.requests["r1"] = request
    record.executions["r1"] = [Execution("r1", "i-1", "north", False, 10.1)]
    return record


def execute_twice(record: Record) -> None:
    """Execute the request a second time."""
    record.executions["r1"].append(Execution("r1", "i-2", "north", False, 10.2))


def answer_not_executed(record: Record) -> None:
    """Answer the executed request with a status that says that it was not."""
    record.requests["r1"].status = 503


def mix_up_bodies(record: Record) -> None:
    """Return the body of another request."""
    record.requests["r1"].has_expected_body = False


def withdraw_key(record: Record) -> None:
    """Withdraw the key more than 5 s before the request."""
    record.withdrawn_at["key-a"] = 4.0


def drain_backend(record: Record) -> None:
    """Drain the backend server more than 2 s before the execution."""
    record.drain_acknowledged_at["i-1"] = 7.0


def swap_tenant(record: Record) -> None:
    """Execute the request for another workspace."""
    record.executions["r1"][0].tenant = "south"


def expose_key(record: Record) -> None:
    """Pass the API key on to the backend server."""
    record.executions["r1"][0].key_seen = True


def execute_unsent(record: Record) -> None:
    """Execute a request that nobody sent."""
    record.executions["r2"] = [Execution("r2", "i-1", "north", False, 10.1)]


def test_valid_record_has_no_violations():
    """A request that succeeded and was executed once violates nothing."""
    assert find_violations(build_record()) == []


def exceed_limit(record: Record) -> None:
    """Execute 18 requests in 4 s, 3 s after a limit of 2 a second was stated."""
    record.stated_limits["i-1"] = [(7.0, 2.0)]
    for number in range(18):
        name = f"l{number}"
        record.requests[name] = SentRequest(name, "key-a", True, 10.0)
        at = 10.1 + number / 5
        record.executions[name] = [Execution(name, "i-1", "north", False, at)]


def end_too_many_servers(record: Record) -> None:
    """End a fourth backend server under one request, three attempts later."""
    fatal_request = FatalRequest(1, "key-a")
    for number in range(4):
        name = f"x{number}"
        fatal_request.request_ids.append(name)
        record.requests[name] = SentRequest(name, "key-a", True, 10.0)
        record.executions[name] = [Execution(name, f"i-{number}", "north", False, 10.1)]
    record.fatal_requests["/deep/fatal-1"] = fatal_request


def ignore_stated_drain(record: Record) -> None:
    """Send a request 2 s after its node has passed on that the instance leaves."""
    record.leaving_passed_on_at[0, "i-1"] = 7.5


def turn_failure_into_success(record: Record) -> None:
    """Answer a request with success that the backend server answered with a failure."""
    record.executions["r1"][0].failed = True


def add_foreign_headers(record: Record) -> None:
    """Return the ID of another request."""
    record.requests["r1"].has_foreign_headers = True


def cut_slow_read(record: Record) -> None:
    """End an answer early while its node stops as planned."""
    read = SlowRead("s1", 0, 10.0)
    read.begun = True
    read.ended_at = 14.0
    record.slow_reads.append(read)


@pytest.mark.parametrize(
    "harm",
    [
        turn_failure_into_success,
        add_foreign_headers,
        cut_slow_read,
        exceed_limit,
        end_too_many_servers,
        ignore_stated_drain,
        execute_twice,
        answer_not_executed,
        mix_up_bodies,
        withdraw_key,
        drain_backend,
        swap_tenant,
        expose_key,
        execute_unsent,
    ],
)
def test_each_violation_is_found(harm):
    """A check that never finds a violation would pass every run."""
    record = build_record()
    harm(record)
    assert len(find_violations(record)) == 1


def test_limit_that_is_changed_or_taken_back_is_checked_while_it_stands():
    """Guards against a check that counts requests from before or after a limit."""
    record = build_record()
    exceed_limit(record)
    record.stated_limits["i-1"].append((12.0, 0.0))
    assert find_violations(record) == []
    record.stated_limits["i-1"] = [(7.0, 2.0), (9.0, 4.0)]
    assert find_violations(record) == []


def test_restart_excuses_the_node_from_a_stated_drain():
    """Guards against a check that is stricter than the rule."""
    record = build_record()
    ignore_stated_drain(record)
    record.node_disturbed_at[0] = [8.0]
    assert find_violations(record) == []


def test_drain_binds_the_lifetime_that_it_names():
    """Guards against a check that takes the next start of an instance for the drained
    one.
    """
    record = build_record()
    record.drain_acknowledged_at["i-1/100"] = 7.0
    record.executions["r1"][0].lifetime = "i-1/200"
    assert find_violations(record) == []


def test_kill_excuses_the_end_of_a_slow_read():
    """Guards against a check that is stricter than the rule, which is about planned
    stops.
    """
    record = build_record()
    cut_slow_read(record)
    record.node_harmed_at[0] = [13.0]
    assert find_violations(record) == []


def test_limit_binds_the_lifetime_that_states_it():
    """Guards against a check that is stricter than the rule: the next start of an
    instance has stated no limit.
    """
    record = build_record()
    exceed_limit(record)
    for executions in record.executions.values():
        executions[0].lifetime = "i-1/200"
    record.stated_limits = {"i-1/100": record.stated_limits["i-1"]}
    assert find_violations(record) == []
