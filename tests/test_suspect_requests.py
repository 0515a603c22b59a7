"""Which requests may run after backend servers ended under them."""

import itertools

from hypothesis import given, strategies

from primroseglade.sidecar.ended_servers import (
    ClearedRequest,
    EndedServer,
    get_head_hash,
    hash_head,
    hash_request,
    hash_server,
)
from primroseglade.sidecar.suspect_requests import (
    CLEARING_SECONDS,
    MAX_ENDS,
    MAX_SHARED_REQUESTS,
    MAX_SUSPECTS,
    Standing,
    SuspectRequests,
)

LIMIT = 3
BLOCK_SECONDS = 600.0
REQUEST, OTHER = 1, 2


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def build_suspects(clock: Clock | None = None) -> SuspectRequests:
    """Return an empty record."""
    return SuspectRequests(LIMIT, BLOCK_SECONDS, clock or Clock())


def end(server: int, *requests: int, trial: bool = False) -> EndedServer:
    """Return the end of a server that ran some requests."""
    return EndedServer(server, f"n{server}", 0, requests, requests if trial else ())


def test_request_is_blocked_after_trials_on_three_servers():
    """Sequence of retries: each one is sent only after the end before is known."""
    clock = Clock()
    suspects = build_suspects(clock)
    standings = []
    for server in range(LIMIT):
        suspects.record(end(server, REQUEST, trial=server > 0))
        standings.append(suspects.get_standing(REQUEST))
        clock.now += 0.01
    assert standings == [Standing.SUSPECT, Standing.SUSPECT, Standing.BLOCKED]
    clock.now += BLOCK_SECONDS - 1
    assert suspects.get_standing(REQUEST) is Standing.BLOCKED
    clock.now += 2
    assert suspects.get_standing(REQUEST) is Standing.SUSPECT
    suspects.record(end(9, REQUEST, trial=True))
    assert suspects.get_block_seconds(REQUEST) > BLOCK_SECONDS - 1
    clock.now += 3 * BLOCK_SECONDS
    assert suspects.get_standing(REQUEST) is Standing.CLEAR
    suspects.record(end(10, OTHER << 32))
    assert suspects.knows_head(OTHER) and not suspects.knows_head(REQUEST >> 32)


def test_loss_of_a_rack_counts_once():
    """Guards against blocking a request that ran on three servers of a lost rack, of
    which others did not run it.
    """
    suspects = build_suspects()
    suspects.record(end(9, OTHER))
    for server in range(LIMIT - 1):
        suspects.record(end(server, REQUEST))
    assert suspects.get_standing(REQUEST) is Standing.SUSPECT
    suspects.record(end(LIMIT, REQUEST))
    assert suspects.get_standing(REQUEST) is Standing.SUSPECT


def test_trial_that_ends_a_server_shows_that_others_had_no_common_cause():
    """Guards against a fourth server: two ended under the request at the moment at
    which another request ended one, then one in a trial.
    """
    suspects = build_suspects()
    suspects.record(end(9, OTHER))
    for server in range(LIMIT - 1):
        suspects.record(end(server, REQUEST))
    suspects.record(end(LIMIT, REQUEST, trial=True))
    assert suspects.get_standing(REQUEST) is Standing.BLOCKED


def test_ends_at_one_time_block_only_until_survivors_can_tell():
    """Guards against refusing a popular request for minutes after all servers of a
    service were lost at once; one trial decides.
    """
    clock = Clock()
    suspects = build_suspects(clock)
    for server in range(6):
        suspects.record(end(server, REQUEST))
    assert suspects.get_standing(REQUEST) is Standing.BLOCKED
    clock.now += CLEARING_SECONDS
    assert suspects.get_standing(REQUEST) is Standing.SUSPECT
    suspects.record(end(7, REQUEST, trial=True))
    assert suspects.get_block_seconds(REQUEST) > BLOCK_SECONDS - 1


def test_request_that_runs_to_its_end_is_cleared_of_earlier_ends_only():
    """Guards against a clearing that also excuses what happens after it."""
    suspects = build_suspects()
    suspects.record(end(1, REQUEST, OTHER))
    assert suspects.clear(REQUEST) == ClearedRequest(REQUEST, (1,))
    assert suspects.get_standing(REQUEST) is Standing.CLEAR
    assert suspects.get_standing(OTHER) is Standing.SUSPECT
    suspects.record(end(2, REQUEST))
    assert suspects.count_ends(REQUEST) == 1


def test_requests_of_one_workspace_do_not_block_those_of_another():
    """Guards against callers who end servers to have others' requests refused."""
    identity, body = b"GET /a/ HTTP/1.1\r\nHost: x", b""
    one, other = hash_head(identity, 1), hash_head(identity, 2)
    assert hash_request(one, body) != hash_request(other, body)
    assert hash_request(one, b"b") != hash_request(one, body)
    assert get_head_hash(hash_request(one, body)) == one
    assert hash_server("i", 1) != hash_server("i", 2)


messages = strategies.one_of(
    strategies.builds(
        lambda server, requests, trial: end(server, *requests, trial=trial),
        strategies.integers(0, 7),
        strategies.sets(strategies.integers(0, 3), min_size=1),
        strategies.booleans(),
    ),
    strategies.builds(
        lambda request, servers: ClearedRequest(request, tuple(servers)),
        strategies.integers(0, 3),
        strategies.sets(strategies.integers(0, 7), min_size=1),
    ),
)


def apply(suspects: SuspectRequests, message: EndedServer | ClearedRequest) -> None:
    """Apply a message of another node."""
    if isinstance(message, EndedServer):
        suspects.record(message)
    else:
        suspects.apply_clearing(message)


@given(strategies.lists(messages, max_size=12), strategies.randoms())
def test_nodes_that_know_the_same_judge_alike(sent, rng):
    """Guards against nodes that disagree on a request, as messages between nodes
    arrive in any order, and more than once.
    """
    shuffled = [*sent, *sent]
    rng.shuffle(shuffled)
    one, other = build_suspects(), build_suspects()
    for message in sent:
        apply(one, message)
    for message in shuffled:
        apply(other, message)
    for request in range(4):
        assert one.get_standing(request) is other.get_standing(request)
        assert sorted(one.list_nodes(request)) == sorted(other.list_nodes(request))


@given(strategies.lists(messages, max_size=12))
def test_node_that_starts_learns_what_others_know(sent):
    """Guards against a restarted node that sends a blocked request on."""
    known, started = build_suspects(), build_suspects()
    for message in sent:
        apply(known, message)
    ended, cleared = known.export_all()
    for message in itertools.chain(ended, cleared):
        apply(started, message)
    for request in range(4):
        assert started.get_standing(request) is known.get_standing(request)


def test_record_is_bounded_and_keeps_blocked_requests():
    """Guards against memory and messages that grow with every ended server."""
    suspects = build_suspects()
    for server in range(LIMIT):
        suspects.record(end(server, REQUEST, trial=True))
    for server in range(10, 10 + 2 * MAX_ENDS):
        first = 1000 * server
        suspects.record(end(server, *range(first, first + 200)))
    assert suspects.get_standing(REQUEST) is Standing.BLOCKED
    assert len(suspects.list_suspects()) <= MAX_SUSPECTS
    assert len(suspects._ends) <= MAX_ENDS
    ended, _ = suspects.export_all()
    assert len({r for message in ended for r in message.requests}) <= (
        MAX_SHARED_REQUESTS
    )


def test_many_later_ends_do_not_lift_a_block():
    """Guards against a blocked request that runs again because many servers ended for
    other reasons since.
    """
    clock = Clock()
    suspects = build_suspects(clock)
    for server in range(LIMIT):
        suspects.record(end(server, REQUEST, trial=True))
    for server in range(10, 10 + 2 * MAX_ENDS):
        clock.now += 0.1
        suspects.record(end(server, 1000 + server))
    assert suspects.get_standing(REQUEST) is Standing.BLOCKED
    assert len(suspects._ends) <= MAX_ENDS
