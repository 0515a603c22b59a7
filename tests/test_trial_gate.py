"""Where and when calls of suspect requests run."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from primroseglade.observe.events import Journal
from primroseglade.sidecar.ended_servers import ClearedRequest, EndedServer
from primroseglade.sidecar.model import NodeState
from primroseglade.sidecar.suspect_requests import Standing, SuspectRequests
from primroseglade.sidecar.suspect_routing import SuspectRouting
from primroseglade.sidecar.suspect_tracker import SuspectTracker
from primroseglade.sidecar.trial_gate import TrialGate
from primroseglade.verdicts import Reason, Refusal, Verdict

REQUEST, OTHER, FIRST_TIME = 7, 8, 9
LIMIT = 3
# Long enough ago for the next trial.
AGE_MS = 100
NAMES = tuple(f"deep-{number}" for number in range(6))


def build_tracker(node: str = "deep-0") -> SuspectTracker:
    """Return a tracker that broadcasts to nobody."""
    return SuspectTracker(
        node,
        SuspectRequests(LIMIT, 600.0, time.monotonic),
        SimpleNamespace(),
        Journal(node, "error"),
        lambda: None,
    )


def build_routing(tracker: SuspectTracker, node: str, reachable=NAMES):
    """Return the routing of a node that reaches some nodes of the service."""
    peers = [
        SimpleNamespace(
            entry=SimpleNamespace(name=name),
            usable=name in reachable,
            is_suspect=False,
        )
        for name in NAMES
        if name != node
    ]
    fleet = SimpleNamespace(
        index=SimpleNamespace(get_service_peers=lambda _: peers),
        reaches_all=lambda _: all(peer.usable for peer in peers),
    )
    return SuspectRouting(node, "deep", lambda: True, fleet, tracker)


def end(server: int, node: str, trial: bool = False) -> EndedServer:
    """Return the end of a server that ran the request."""
    return EndedServer(server, node, AGE_MS, (REQUEST,), (REQUEST,) if trial else ())


def list_runners(ended: list[EndedServer], reachable=NAMES) -> list[str]:
    """Return the nodes that regard themselves as the place of the next trial."""
    runners = []
    for node in reachable:
        tracker = build_tracker(node)
        tracker.learn(ended)
        if build_routing(tracker, node, reachable).is_runner(REQUEST):
            runners.append(node)
    return runners


def test_all_nodes_agree_where_the_next_trial_runs():
    """Guards against two trials at the same moment, at two nodes."""
    ended: list[EndedServer] = []
    runners = []
    for server in range(LIMIT):
        (runner,) = list_runners(ended)
        runners.append(runner)
        ended.append(end(server, runner, trial=True))
    assert len(set(runners)) == LIMIT


def test_nodes_cut_off_from_each_other_end_three_servers_together():
    """Guards against two halves of a service that each use up what is left of the
    limit: one server has ended, then the halves lose each other.
    """
    count = 1
    for half in (NAMES[:3], NAMES[3:]):
        ended = [end(0, NAMES[0])]
        tracker = build_tracker(half[1])
        tracker.learn(ended)
        limit = build_routing(tracker, half[1], half).get_limit()
        while tracker.requests.get_standing(REQUEST, limit) is Standing.SUSPECT:
            count += 1
            tracker.learn([end(count, half[1], trial=True)])
    assert count <= LIMIT


async def test_trials_of_a_request_run_one_at_a_time():
    """Guards against calls that wait together and all start after one end."""
    tracker = build_tracker()
    gate = TrialGate(tracker)
    tracker.learn([end(1, "deep-1")])
    assert await gate.enter(REQUEST, True, LIMIT, 2.0)
    second = asyncio.create_task(gate.enter(REQUEST, True, LIMIT, 2.0))
    third = asyncio.create_task(gate.enter(REQUEST, True, LIMIT, 2.0))
    await asyncio.sleep(0.01)
    assert not second.done() and not third.done()
    gate.leave(REQUEST)
    await asyncio.sleep(0.01)
    assert second.done() != third.done()
    tracker.clear(REQUEST)
    assert sorted([await second, await third]) == [False, True]


async def test_request_that_may_be_blocked_runs_without_other_suspects_beside_it():
    """Guards against blocking an innocent request for a server that ended under the
    trial of another: both had run on the two servers that ended before.
    """
    tracker = build_tracker()
    gate = TrialGate(tracker)
    tracker.learn(
        [EndedServer(n, f"deep-{n}", AGE_MS, (REQUEST, OTHER)) for n in (1, 2)]
    )
    tracker.learn([EndedServer(3, "deep-3", AGE_MS, (FIRST_TIME,))])
    assert await gate.enter(REQUEST, True, LIMIT, 2.0)
    waiting = [
        asyncio.create_task(gate.enter(request, True, LIMIT, 2.0))
        for request in (OTHER, FIRST_TIME)
    ]
    await asyncio.sleep(0.01)
    assert not any(task.done() for task in waiting)
    gate.leave(REQUEST)
    await asyncio.sleep(0.01)
    assert sum(task.done() for task in waiting) == 1
    gate.leave(OTHER if waiting[0].done() else FIRST_TIME)
    assert await asyncio.gather(*waiting) == [True, True]


async def test_trials_beside_each_other_decide_nothing():
    """Guards against blocking an innocent request for a server that ended while another
    one was tried there, too: ends elsewhere were not known yet when both began.
    """
    tracker = build_tracker()
    gate = TrialGate(tracker)
    tracker.learn([EndedServer(1, "deep-1", AGE_MS, (REQUEST, OTHER))])
    assert await gate.enter(REQUEST, True, LIMIT, 2.0)
    assert gate.runs_alone(REQUEST)
    assert await gate.enter(OTHER, True, LIMIT, 2.0)
    assert not gate.runs_alone(REQUEST) and not gate.runs_alone(OTHER)
    gate.leave(OTHER)
    assert not gate.runs_alone(REQUEST)


async def test_waiting_calls_are_refused_as_not_run():
    """Guards against an untrue verdict, and against a wait beyond the deadline."""
    tracker = build_tracker()
    gate = TrialGate(tracker)
    tracker.learn([end(1, "deep-1")])
    assert await gate.enter(REQUEST, True, LIMIT, 2.0)
    for may_try in (True, False):
        with pytest.raises(Refusal) as refused:
            await gate.enter(REQUEST, may_try, LIMIT, 0.1)
        assert refused.value.reason is Reason.REQUEST_SUSPECT
        assert refused.value.verdict is Verdict.NOT_RUN
    tracker.learn([end(2, "deep-2", True), end(3, "deep-3", True)])
    with pytest.raises(Refusal) as refused:
        await gate.enter(REQUEST, True, LIMIT, 0.1)
    assert refused.value.reason is Reason.REQUEST_BLOCKED
    assert refused.value.retry_after > 500


async def test_news_of_other_nodes_open_the_gate():
    """Guards against calls that wait at one node while another clears their request."""
    tracker = build_tracker()
    gate = TrialGate(tracker)
    tracker.learn([end(1, "deep-1")])
    waiting = asyncio.create_task(gate.enter(REQUEST, False, LIMIT, 2.0))
    await asyncio.sleep(0.01)
    tracker.apply_state(NodeState(cleared_requests=(ClearedRequest(REQUEST, (1,)),)))
    assert await waiting is False


async def test_ends_under_nested_calls_are_no_trials_of_their_parent():
    """Guards against blocking an innocent request whose nested call ran beside the one
    under which a backend server ended.
    """
    tracker = build_tracker()
    tracker._dialect.get_identity = lambda call: b"GET /front/a HTTP/1.1"
    call = SimpleNamespace(context=None, body=b"")
    parent = SimpleNamespace(call=call, ended_servers=frozenset())
    tracker.record_nested_ends(parent, [end(n, "deep-1", trial=True) for n in (1, 2)])
    (message, other) = tracker.requests.export(tracker.identify(call))
    assert (message.trials, other.trials) == ((), ())
    assert parent.ended_servers == {1, 2}
