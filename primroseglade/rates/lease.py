"""Leases on partitions of workspaces, each with at most one holder in a zone.

Instances of the zone elect the holder, independently of the configuration log. Each
partition has five electors, selected by rendezvous hashing. An elector votes for
one candidate at a time, for the duration of a lease. A holder needs four votes (fewer
in a small zone): even if nodes with different views of the members see sets of electors
that differ by up to two, any two majorities share a voter.
"""

import asyncio
import random
import zlib
from collections.abc import Callable

from ..fleet.control import ControlClient, ControlServer, PeerError
from ..fleet.hashing import ZoneRanking
from ..fleet.members import Members
from ..observe.events import Journal, LEASE_ACQUIRED, LEASE_LOST
from ..observe.metrics import Metrics
from ..proto import control_pb2 as pb
from .clock import read_clock

PARTITION_COUNT = 64
ELECTORS_PER_PARTITION = 5
VOTE_TIMEOUT_SECONDS = 0.5
RENEWALS_PER_LEASE = 3


def get_partition(workspace: str) -> int:
    """Return the partition of a workspace's tokens."""
    return zlib.crc32(workspace.encode()) % PARTITION_COUNT


def count_quorum(electors: int) -> int:
    """Return the number of votes that a holder needs.

    >>> [count_quorum(electors) for electors in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 4]
    """
    return (
        electors // 2 + 1
        if electors < ELECTORS_PER_PARTITION
        else ELECTORS_PER_PARTITION - 1
    )


class Partitions:
    """Ranks the instances of a zone that should hold, and vote on, each partition.

    Args:
        members: Members of the fleet and their zones.
    """

    def __init__(self, members: Members):
        self._ranking = ZoneRanking(members)

    def rank(self, zone: str, partition: int) -> list[str]:
        """Return the partition's electors; the first one should hold its lease."""
        return self._ranking.get(zone, f"rates/{partition}", ELECTORS_PER_PARTITION)


def hash_electors(electors: list[str]) -> int:
    """Return a hash of the electors' names, regardless of their order."""
    return zlib.crc32("|".join(sorted(electors)).encode())


class Lease:
    """Lease on a partition, until a time on this instance's clock."""

    __slots__ = ("acquired_at", "epoch", "expires_at", "partition")

    def __init__(
        self, partition: int, epoch: int, acquired_at: float, expires_at: float
    ):
        self.partition = partition
        self.epoch = epoch
        self.acquired_at = acquired_at
        self.expires_at = expires_at


class CastVote:
    """An elector's vote for a candidate, until a time on the elector's clock."""

    __slots__ = ("candidate", "epoch", "expires_at")

    def __init__(self, candidate: str, epoch: int, expires_at: float):
        self.candidate = candidate
        self.epoch = epoch
        self.expires_at = expires_at


class Elector:
    """Votes for one candidate per partition at a time.

    Args:
        members: Members of the zone.
        partitions: Ranks the electors of each partition.
        lease_seconds: Duration of a vote.
        clock: Returns the time in seconds.
    """

    def __init__(
        self,
        members: Members,
        partitions: Partitions,
        lease_seconds: float,
        clock: Callable[[], float] = read_clock,
    ):
        self._members = members
        self._partitions = partitions
        self._lease_seconds = lease_seconds
        self._clock = clock
        # A restarted elector has lost the votes of its previous process, and abstains
        # until these have certainly expired.
        self._abstains_until = clock() + lease_seconds
        self._votes: dict[int, CastVote] = {}

    def register(self, server: ControlServer) -> None:
        """Register the handler of vote requests."""
        server.register("Vote", self._handle_vote)

    def vote(self, zone: str, ballot: pb.Ballot, candidate: str) -> pb.Vote:
        """Return the vote on a candidate's ballot for one partition."""
        last_vote = self._votes.get(ballot.partition)
        epoch = max(ballot.epoch, last_vote.epoch if last_vote else 0)
        granted = self._may_vote(zone, ballot, candidate, last_vote)
        if granted:
            expires_at = self._clock() + self._lease_seconds
            self._votes[ballot.partition] = CastVote(candidate, epoch, expires_at)
        return pb.Vote(partition=ballot.partition, granted=granted, epoch=epoch)

    def release(self, partition: int, candidate: str) -> None:
        """End a vote for a candidate that released its lease."""
        last_vote = self._votes.get(partition)
        if last_vote is not None and last_vote.candidate == candidate:
            last_vote.expires_at = self._clock()

    def _may_vote(
        self, zone: str, ballot: pb.Ballot, candidate: str, last_vote: CastVote | None
    ) -> bool:
        now = self._clock()
        own_member = self._members.own
        if now < self._abstains_until or zone != own_member.zone:
            return False
        if last_vote is not None:
            is_bound = last_vote.candidate != candidate and last_vote.expires_at > now
            if is_bound or ballot.epoch < last_vote.epoch:
                return False
        # If the network splits the zone, members in the smaller part see the others as
        # dead and would select electors among themselves: only the larger part votes.
        reachable, total = self._members.count_electorate(zone)
        if 2 * reachable <= total and total > 1:
            return False
        electors = self._partitions.rank(zone, ballot.partition)
        if own_member.instance not in electors:
            return False
        return hash_electors(electors) == ballot.electors

    async def _handle_vote(self, request: pb.VoteRequest, sender: str) -> pb.VoteReply:
        for partition in request.released:
            self.release(partition, sender)
        votes = [self.vote(request.zone, ballot, sender) for ballot in request.ballots]
        return pb.VoteReply(votes=votes)


class Candidate:
    """Acquires and renews leases on the partitions that this instance should hold.

    Args:
        members: Members of the zone.
        partitions: Ranks the electors of each partition.
        elector: This instance's own elector.
        client: Sends vote requests to other electors.
        get_partitions: Returns the partitions that contain a rate-limited workspace.
        on_acquired: Called with each new lease, but not on renewals.
        lease_seconds: Duration of a lease.
        journal: Logs acquired and lost leases.
        metrics: Counts leases.
    """

    def __init__(
        self,
        members: Members,
        partitions: Partitions,
        elector: Elector,
        client: ControlClient,
        get_partitions: Callable[[], set[int]],
        on_acquired: Callable[[Lease], None],
        lease_seconds: float,
        journal: Journal,
        metrics: Metrics,
    ):
        self._members = members
        self._partitions = partitions
        self._elector = elector
        self._client = client
        self._get_partitions = get_partitions
        self._on_acquired = on_acquired
        self._lease_seconds = lease_seconds
        self._journal = journal
        self._metrics = metrics
        self._leases: dict[int, Lease] = {}
        self._highest_epochs: dict[int, int] = {}
        self._is_stopping = False

    @property
    def leases(self) -> dict[int, Lease]:
        """Leases by partition, including expired ones not yet renewed or dropped."""
        return self._leases

    def find_lease(self, partition: int) -> Lease | None:
        """Return the lease if it is valid now, else None.

        To be called before every grant and after every wait, as the process may have
        been paused for longer than the lease.
        """
        lease = self._leases.get(partition)
        if lease is None or lease.expires_at <= read_clock():
            return None
        return lease

    async def run(self) -> None:
        """Renew leases, and acquire those that this instance should hold."""
        while True:
            await self._campaign()
            interval_seconds = self._lease_seconds / RENEWALS_PER_LEASE
            await asyncio.sleep(interval_seconds * random.uniform(0.7, 1.0))

    async def release_leases(self) -> None:
        """Release all leases, so that successors need not wait for them to expire."""
        self._is_stopping = True
        await self._release(list(self._leases))

    async def _release(self, partitions: list[int]) -> None:
        """Drop leases, and only then allow electors to vote for other candidates."""
        if not partitions:
            return
        zone = self._members.own.zone
        electors: set[str] = set()
        for partition in partitions:
            lease = self._leases.pop(partition)
            self._journal.emit(LEASE_LOST, partition=partition, epoch=lease.epoch)
            self._elector.release(partition, self._members.own.instance)
            electors.update(self._partitions.rank(zone, partition))
        request = pb.VoteRequest(zone=zone, released=partitions)
        await asyncio.gather(*(self._send(name, request) for name in electors))

    async def _campaign(self) -> None:
        self._drop_expired()
        if self._is_stopping:
            return
        zone = self._members.own.zone
        reassigned = [
            partition
            for partition in self._leases
            if self._partitions.rank(zone, partition)[:1]
            != [self._members.own.instance]
        ]
        await self._release(reassigned)
        ballots: dict[int, tuple[pb.Ballot, list[str]]] = {}
        for partition in self._get_partitions():
            electors = self._partitions.rank(zone, partition)
            if not electors or electors[0] != self._members.own.instance:
                continue
            lease = self.find_lease(partition)
            epoch = lease.epoch if lease else self._highest_epochs.get(partition, 0) + 1
            ballot = pb.Ballot(
                partition=partition, epoch=epoch, electors=hash_electors(electors)
            )
            ballots[partition] = (ballot, electors)
        sent_at = read_clock()
        vote_counts = await self._collect_votes(zone, ballots)
        for partition, (ballot, electors) in ballots.items():
            if vote_counts.get(partition, 0) >= count_quorum(len(electors)):
                self._store_lease(partition, ballot.epoch, sent_at)
        self._metrics.leases.set(len(self._leases))

    async def _collect_votes(
        self, zone: str, ballots: dict[int, tuple[pb.Ballot, list[str]]]
    ) -> dict[int, int]:
        """Request the votes on all partitions from each elector, and count them."""
        ballots_by_elector: dict[str, list[pb.Ballot]] = {}
        for ballot, electors in ballots.values():
            for name in electors:
                ballots_by_elector.setdefault(name, []).append(ballot)
        replies = await asyncio.gather(
            *(
                self._request_votes(zone, name, elector_ballots)
                for name, elector_ballots in ballots_by_elector.items()
            )
        )
        vote_counts: dict[int, int] = {}
        for votes in replies:
            for vote in votes:
                highest_epoch = self._highest_epochs.get(vote.partition, 0)
                self._highest_epochs[vote.partition] = max(highest_epoch, vote.epoch)
                if vote.granted:
                    vote_counts[vote.partition] = vote_counts.get(vote.partition, 0) + 1
        return vote_counts

    async def _request_votes(
        self, zone: str, elector: str, ballots: list[pb.Ballot]
    ) -> list[pb.Vote]:
        own_instance = self._members.own.instance
        if elector == own_instance:
            return [
                self._elector.vote(zone, ballot, own_instance) for ballot in ballots
            ]
        return await self._send(elector, pb.VoteRequest(zone=zone, ballots=ballots))

    async def _send(self, elector: str, request: pb.VoteRequest) -> list[pb.Vote]:
        member = self._members.get(elector)
        if member is None or elector == self._members.own.instance:
            return []
        try:
            reply = await self._client.call(
                member.control, "Vote", request, VOTE_TIMEOUT_SECONDS, elector
            )
        except PeerError:
            return []
        return list(reply.votes)

    def _store_lease(self, partition: int, epoch: int, sent_at: float) -> None:
        # The duration is counted from before the request was sent, so that the lease
        # expires here before the vote expires at any elector.
        expires_at = sent_at + self._lease_seconds
        if expires_at <= read_clock():
            return
        lease = self._leases.get(partition)
        if lease is not None and lease.epoch == epoch:
            lease.expires_at = expires_at
            return
        lease = Lease(partition, epoch, read_clock(), expires_at)
        self._leases[partition] = lease
        self._journal.emit(LEASE_ACQUIRED, partition=partition, epoch=epoch)
        self._on_acquired(lease)

    def _drop_expired(self) -> None:
        now = read_clock()
        for partition, lease in list(self._leases.items()):
            if lease.expires_at <= now:
                del self._leases[partition]
                self._journal.emit(LEASE_LOST, partition=partition, epoch=lease.epoch)
