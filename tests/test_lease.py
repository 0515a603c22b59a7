"""Leases on rates: never two holders at once, despite lost messages and pauses."""

import asyncio

import pytest

from primroseglade.fleet.control import PeerError
from primroseglade.fleet.members import Member, Members, State
from primroseglade.observe.events import Journal
from primroseglade.observe.metrics import Metrics
from primroseglade.proto import control_pb2 as pb
from primroseglade.rates import lease as lease_module
from primroseglade.rates.lease import Candidate, Elector, hash_electors, Partitions

PARTITION = 7
LEASE_SECONDS = 3.0
NAMES = ("n1", "n2", "n3", "n4", "n5", "n6")


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(lease_module, "read_clock", clock)
    return clock


def build_members(own: str, names=NAMES) -> Members:
    members = Members(Member(own, 1, zone="z", control=own))
    for name in names:
        members.merge(Member(name, 1, zone="z", control=name))
    return members


def build_elector(own: str, clock: Clock, names=NAMES) -> Elector:
    members = build_members(own, names)
    elector = Elector(members, Partitions(members), LEASE_SECONDS, clock)
    clock.now += LEASE_SECONDS + 1
    return elector


def build_ballot(members: Members, epoch: int = 1) -> pb.Ballot:
    electors = Partitions(members).rank("z", PARTITION)
    return pb.Ballot(partition=PARTITION, epoch=epoch, electors=hash_electors(electors))


def find_elector_name() -> str:
    return Partitions(build_members("n1")).rank("z", PARTITION)[0]


def test_elector_votes_for_one_candidate_until_the_vote_expires(clock):
    name = find_elector_name()
    elector = build_elector(name, clock)
    ballot = build_ballot(build_members(name))
    assert elector.vote("z", ballot, "one").granted
    assert not elector.vote("z", ballot, "two").granted
    assert elector.vote("z", ballot, "one").granted
    clock.now += LEASE_SECONDS + 0.1
    assert elector.vote("z", build_ballot(build_members(name), 2), "two").granted
    assert not elector.vote("z", ballot, "one").granted


def test_restarted_elector_abstains_until_its_lost_vote_has_expired(clock):
    """An elector votes, restarts, and receives a vote request of another candidate."""
    name = find_elector_name()
    members = build_members(name)
    elector = Elector(members, Partitions(members), LEASE_SECONDS, clock)
    ballot = build_ballot(members)
    assert not elector.vote("z", ballot, "two").granted
    clock.now += LEASE_SECONDS - 0.1
    assert not elector.vote("z", ballot, "two").granted
    clock.now += 0.2
    assert elector.vote("z", ballot, "two").granted


def test_elector_in_the_smaller_part_of_a_zone_does_not_vote(clock):
    """A network partition divides a zone; both parts would elect a holder."""
    name = find_elector_name()
    elector = build_elector(name, clock)
    others = [other for other in NAMES if other != name]
    for other in others[:3]:
        elector._members.suspect(other)
        elector._members.declare_dead(other)
    ballot = build_ballot(elector._members)
    assert not elector.vote("z", ballot, name).granted
    elector._members.merge(Member(others[0], 2, zone="z", control=others[0]))
    assert elector.vote("z", build_ballot(elector._members), name).granted


def test_elector_with_another_view_of_the_electors_does_not_vote(clock):
    name = find_elector_name()
    elector = build_elector(name, clock)
    electors = Partitions(elector._members).rank("z", PARTITION)
    fewer = [other for other in NAMES if other != electors[1]]
    assert not elector.vote("z", build_ballot(build_members(name, fewer)), name).granted


class FakeClient:
    """Delivers ballots to electors immediately, except to unreachable ones."""

    def __init__(self, electors: dict[str, Elector], sender: str):
        self.electors = electors
        self.sender = sender
        self.cut: set[str] = set()
        self.pause = 0.0

    async def call(self, address, method, request, timeout, receiver=""):
        if address in self.cut:
            raise PeerError(address)
        votes = [
            self.electors[address].vote(request.zone, ballot, self.sender)
            for ballot in request.ballots
        ]
        for partition in request.released:
            self.electors[address].release(partition, self.sender)
        return pb.VoteReply(votes=votes)


def build_candidate(own: str, electors: dict[str, Elector]) -> Candidate:
    members = build_members(own)
    client = FakeClient(electors, own)
    candidate = Candidate(
        members,
        Partitions(members),
        electors[own],
        client,
        lambda: {PARTITION},
        lambda _: None,
        LEASE_SECONDS,
        Journal(own, "error"),
        Metrics(),
    )
    candidate.client = client
    return candidate


def build_zone(clock: Clock) -> tuple[list[str], dict[str, Elector]]:
    electors = {}
    for name in NAMES:
        members = build_members(name)
        electors[name] = Elector(members, Partitions(members), LEASE_SECONDS, clock)
    clock.now += LEASE_SECONDS + 1
    ranked = Partitions(build_members("n1")).rank("z", PARTITION)
    return ranked, electors


async def test_holder_needs_four_of_five_electors(clock):
    ranked, electors = build_zone(clock)
    candidate = build_candidate(ranked[0], electors)
    candidate.client.cut = set(ranked[1:3])
    await candidate._campaign()
    assert candidate.find_lease(PARTITION) is None
    candidate.client.cut = {ranked[1]}
    await candidate._campaign()
    assert candidate.find_lease(PARTITION) is not None


async def test_holder_paused_past_its_lease_no_longer_holds_it(clock):
    """A holder's machine is suspended, another takes over, and the first resumes."""
    ranked, electors = build_zone(clock)
    first = build_candidate(ranked[0], electors)
    await first._campaign()
    assert first.find_lease(PARTITION) is not None
    clock.now += LEASE_SECONDS + 0.1
    assert first.find_lease(PARTITION) is None
    second = build_candidate(ranked[1], electors)
    for elector in (*electors.values(), second):
        elector._members.merge(
            elector._members.get(ranked[0]).replace(state=State.DEAD)
        )
    clock.now += 0.1
    await second._campaign()
    assert second.find_lease(PARTITION) is not None
    await first._campaign()
    assert first.find_lease(PARTITION) is None


async def test_released_lease_can_be_acquired_immediately(clock):
    ranked, electors = build_zone(clock)
    first = build_candidate(ranked[0], electors)
    await first._campaign()
    await first.release_leases()
    assert first.find_lease(PARTITION) is None
    second = build_candidate(ranked[1], electors)
    for elector in (*electors.values(), second):
        elector._members.merge(
            elector._members.get(ranked[0]).replace(state=State.LEFT)
        )
    await second._campaign()
    assert second.find_lease(PARTITION) is not None


async def test_slow_votes_do_not_extend_a_lease(clock):
    """Electors reply slowly, but votes expire counted from when they are cast."""
    ranked, electors = build_zone(clock)
    candidate = build_candidate(ranked[0], electors)
    original = candidate.client.call

    async def call_slowly(*arguments):
        reply = await original(*arguments)
        clock.now += 0.5
        await asyncio.sleep(0)
        return reply

    candidate.client.call = call_slowly
    started = clock.now
    await candidate._campaign()
    lease = candidate.find_lease(PARTITION)
    assert lease is not None
    assert lease.expires_at <= started + LEASE_SECONDS
