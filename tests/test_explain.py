"""``primroseglade explain``: finding the cause of a failed request in logs."""

import io
import json

import pytest

from primroseglade.core import main
from primroseglade.environment import Environment
from primroseglade.exits import ExitStatus


def run(*arguments: str) -> tuple[ExitStatus, str, str]:
    """Run ``explain`` and return its exit status, standard output and error."""
    environment = Environment(io.StringIO(), io.StringIO())
    status = main(["explain", *arguments], environment)
    return status, environment.stdout.getvalue(), environment.stderr.getvalue()


def write_log(path, *events: dict) -> str:
    """Write a node's log with a collector's prefixes, and return its path."""
    lines = [f"  0.5 {event['instance']} {json.dumps(event)}" for event in events]
    path.write_text("\n".join([*lines, "not one of ours", '{"event": cut']))
    return str(path)


def build_refused_line(reason: str, **fields: object) -> dict:
    """Return the log line of a refused request."""
    return {
        "time": 100.0,
        "event": 501,
        "level": "info",
        "text": "call refused",
        "instance": "node-1",
        "request": "r1",
        "reason": reason,
        "verdict": "not run",
    } | fields


LEVELS_LINE = {
    "time": 100.4,
    "event": 505,
    "level": "info",
    "text": "admission levels",
    "instance": "node-1",
    "levels": {"deep": 0.54, "wide": 0.9},
    "pressure": {"deep": 3.66, "wide": 1.2},
}


def test_overload_refusal_names_the_overloaded_service(tmp_path):
    """A request was refused although its workspace was within its rate. The overloaded
    service is three hops away, and only the node's admission levels name it.
    """
    other_node = LEVELS_LINE | {"instance": "node-2", "levels": {"other": 0.1}}
    log = write_log(
        tmp_path / "log", other_node, build_refused_line("overloaded"), LEVELS_LINE
    )
    status, out, _ = run("r1", log)
    assert status is ExitStatus.SUCCESS
    cause = out.splitlines()[-1]
    assert "service deep had 3.66 calls per slot" in cause
    assert "other" not in out


def test_rate_refusal_names_the_version_that_set_the_rate(tmp_path):
    """After an operator lowers a rate, the cause names the version and its age."""
    policy = {"time": 96.0, "event": 230, "instance": "node-1", "version": 16}
    line = build_refused_line(
        "rate-exceeded", detail="north is over its rate", policy=16
    )
    _, out, _ = run("r1", write_log(tmp_path / "log", policy, line))
    cause = out.splitlines()[-1]
    assert "version 16, in force there for 4.0 s: north is over its rate" in cause


def test_lines_of_nodes_with_different_clocks_are_ordered_by_event(tmp_path):
    """A request failed at a node whose clock is 10 s ahead, and was retried from the
    node where it entered. By time, the failing node's line would come last.
    """
    failed = {"time": 110.0, "event": 502, "instance": "node-2", "request": "r1"}
    answered = {
        "time": 100.0,
        "event": 504,
        "level": "info",
        "text": "call answered with a failure",
        "instance": "node-1",
        "request": "r1",
        "status": 500,
        "node": "node-3",
        "seconds": 0.1,
    }
    retried = {"time": 99.9, "event": 503, "instance": "node-1", "request": "r1"}
    first = write_log(tmp_path / "a", retried, answered)
    second = write_log(tmp_path / "b", failed)
    _, out, _ = run("r1", first, second, "--json")
    explanation = json.loads(out)
    assert [line["event"] for line in explanation["lines"]] == [503, 502, 504]
    assert "node-3 answered 500" in explanation["cause"]


@pytest.mark.parametrize("reason", ["connection-lost", "deadline-exceeded"])
def test_lost_answer_names_lost_streams(tmp_path, reason: str):
    """A node became unreachable while a request to it was in flight."""
    lost = {"time": 101.5, "event": 352, "instance": "node-1", "peer": "node-9"}
    line = build_refused_line(reason, verdict="may have run", detail="no answer")
    _, out, _ = run("r1", write_log(tmp_path / "log", line, lost))
    cause = out.splitlines()[-1]
    assert "streams to node-9 were lost" in cause
    assert "may have run" in cause


def test_cold_refusal_names_the_cold_backend_servers(tmp_path):
    """After a restart a request is refused at its entry; the logs of other nodes tell
    whose backend servers are cold.
    """
    cold = {"time": 97.0, "event": 326, "instance": "node-7", "seconds": 3.0}
    former = {"time": 12.0, "event": 326, "instance": "node-3", "seconds": 3.0}
    line = build_refused_line("backend-cold", detail="a needed service is cold")
    _, out, _ = run("r1", write_log(tmp_path / "log", former, cold, line))
    cause = out.splitlines()[-1]
    assert "Cold at about that time: those beside node-7." in cause
    assert "did not run" in cause


def test_refusal_for_a_stated_limit_names_the_node(tmp_path):
    """A backend server limits its requests; only the node beside it logs the limit."""
    former = {"time": 50.0, "event": 327, "instance": "node-6", "calls_per_second": 3}
    limit = {"time": 99.5, "event": 327, "instance": "node-7", "calls_per_second": 8.5}
    line = build_refused_line("backend-limited", detail="3 calls ahead")
    _, out, _ = run("r1", write_log(tmp_path / "log", former, limit, line))
    cause = out.splitlines()[-1]
    assert (
        "3 calls ahead. Stated at about that time: 8.5 a second beside node-7." in cause
    )
    assert "did not run" in cause


@pytest.mark.parametrize("reason", ["zone-evacuated", "no-backend-server"])
def test_refusal_during_an_evacuation_names_the_zone(tmp_path, reason: str):
    """The only backend servers of a service are in a zone that operators evacuated."""
    events = [
        {"time": 90.0 + n, "event": event, "instance": "node-1", "zone": zone}
        for n, (event, zone) in enumerate([(233, "a"), (234, "a"), (233, "b")])
    ]
    line = build_refused_line(reason, detail="no backend server takes calls")
    _, out, _ = run("r1", write_log(tmp_path / "log", *events, line))
    assert "operators had evacuated b. The" in out.splitlines()[-1]


def test_refusal_for_a_region_names_the_version(tmp_path):
    """The configuration restricts the route to a region without a backend server."""
    line = build_refused_line("region-unavailable", detail="none in r", policy=4)
    _, out, _ = run("r1", write_log(tmp_path / "log", line))
    assert "Version 4" in out.splitlines()[-1]
    assert "none in r" in out.splitlines()[-1]


def test_request_without_line_reports_dropped_lines(tmp_path):
    """Its line may be among those dropped because of the rate limit."""
    dropped = {"time": 1, "event": 590, "instance": "node-1", "counts": {"501": 7}}
    status, _, error = run("r9", write_log(tmp_path / "log", dropped))
    assert status is ExitStatus.FAILURE
    assert "one of 7 dropped log lines" in error
    assert error.count("\n") == 1


def test_missing_log_file_gives_one_line(tmp_path):
    """A mistyped file name gives one line of error, not a traceback."""
    status, _, error = run("r1", str(tmp_path / "missing"))
    assert status is ExitStatus.FAILURE
    assert error.count("\n") == 1


def test_failure_of_a_call_made_for_the_request_is_named(tmp_path):
    """Guards against an explanation that ends at the backend server's own failure: it
    failed because a look-up that it made was refused two services further down.
    """
    answered = {
        "time": 100.0,
        "event": 504,
        "level": "info",
        "text": "call answered with a failure",
        "instance": "node-1",
        "request": "r1",
        "status": 500,
        "node": "node-2",
        "seconds": 0.2,
    }
    log = write_log(
        tmp_path / "a",
        answered,
        answered | {"request": "r1.7", "instance": "node-2", "node": "node-3"},
        build_refused_line(
            "overloaded", request="r1.7.9", instance="node-3", detail="queue is full"
        ),
        build_refused_line("overloaded", request="r12.7", instance="node-4"),
    )
    status, output, _ = run("r1", log)
    assert status == ExitStatus.SUCCESS
    assert "2 failed; the first, r1.7.9, at node-3: overloaded queue is full" in output
    assert "node-4" not in output


def test_refusal_by_a_queue_names_the_nodes_where_calls_waited(tmp_path):
    """A request that was admitted and met a long queue is told apart from one that was
    refused at its entry.
    """
    waited = {
        "time": 100.4,
        "event": 508,
        "level": "info",
        "text": "calls waited at the backend server",
        "instance": "node-7",
        "levels": {"1": {"started": 40, "refused": 3, "longest_wait": 0.31}},
    }
    refused = build_refused_line("overloaded", detail="queue is full: 90 calls")
    status, output, _ = run("r1", write_log(tmp_path / "a", refused, waited))
    assert status == ExitStatus.SUCCESS
    assert "refused by the queue of a backend server: queue is full" in output
    assert "beside node-7" in output


def test_blocked_request_names_the_ends_under_its_content(tmp_path):
    """Guards against a block that operators cannot trace: the backend servers ended
    under other IDs, at other nodes.
    """
    ended = [
        {
            "time": 99.0 + number,
            "event": 329,
            "level": "warning",
            "text": "backend server ended under a call",
            "instance": f"node-{number}",
            "request": f"r{number}",
            "suspect": "00ab",
        }
        for number in (7, 8)
    ]
    refused = build_refused_line(
        "request-blocked",
        detail="2 backend servers ended under the same request (00ab)",
    )
    status, output, _ = run("r1", write_log(tmp_path / "a", refused, *ended))
    assert status is ExitStatus.SUCCESS
    assert "node-7 under r7, the one beside node-8 under r8" in output
    assert output.strip().endswith("The request did not run.")


def test_lost_request_names_the_server_that_ended_under_it(tmp_path):
    """Guards against taking an ended process for a bad link."""
    ended = {
        "time": 99.0,
        "event": 329,
        "level": "warning",
        "text": "backend server ended under a call",
        "instance": "node-7",
        "request": "r1",
        "suspect": "00ab",
    }
    refused = build_refused_line("connection-lost", verdict="may have run")
    _, output, _ = run("r1", write_log(tmp_path / "a", refused, ended))
    assert "backend servers ended: the one beside node-7 under r1" in output
