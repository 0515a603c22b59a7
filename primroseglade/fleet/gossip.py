"""Gossip with a fixed number of neighbors, and detection of failed members."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from ..observe.events import (
    Journal,
    MEMBER_DEAD,
    MEMBER_JOINED,
    MEMBER_LEFT,
    MEMBER_SUSPECT,
    SUSPICION_REFUTED,
)
from ..observe.metrics import Metrics
from ..proto import control_pb2 as pb
from ..supervisor import Supervisor
from .control import ControlClient, ControlServer, PeerError
from .hashing import rank
from .members import Member, Members, parse_member, State

# Numbers of a node's neighbors. Those next on the ring of its zone ensure that every
# member is probed by others, the random ones spread updates over a large zone in a few
# hops, and those in other zones spread updates between zones.
RING_NEIGHBORS = 2
RANDOM_NEIGHBORS = 2
CROSS_ZONE_NEIGHBORS = 2
MAX_UPDATES_PER_MESSAGE = 40
EXCHANGE_TIMEOUT_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 2.0
# Number of members that probe a member on this node's behalf before this node suspects
# it: perhaps only the link between the two has failed.
INDIRECT_PROBES = 2
# Delay before updates are sent, so that updates that arrive together share a message.
BATCH_DELAY_SECONDS = 0.01
# One in this many exchanges with a neighbor compares the whole member tables.
COMPARE_INTERVAL_ROUNDS = 10
# Limits the configuration age sent to peers, which is infinite before any confirmation.
MAX_SENT_AGE_SECONDS = 1e6

OnOffset = Callable[[int, float, str], None]


class Gossip:
    """Keeps the member table in sync with those of other nodes, and probes members.

    An exchange of updates with a neighbor also serves as its probe.

    Args:
        members: The member table.
        client: Client for messages to other nodes.
        journal: Journal that receives joins, suspicions, deaths and departures.
        metrics: Metrics with the number of members by state.
        period_seconds: Average interval of the exchanges with each neighbor.
        suspicion_seconds: Time after which a suspect member is declared dead.
        get_offset: Returns the configuration's next offset and its age in seconds.
        on_offset: Called with a peer's next offset, age and control address.
    """

    def __init__(
        self,
        members: Members,
        client: ControlClient,
        journal: Journal,
        metrics: Metrics,
        period_seconds: float,
        suspicion_seconds: float,
        get_offset: Callable[[], tuple[int, float]],
        on_offset: OnOffset,
    ):
        self._members = members
        self._client = client
        self._journal = journal
        self._metrics = metrics
        self._period_seconds = period_seconds
        self._suspicion_seconds = suspicion_seconds
        self._get_offset = get_offset
        self._on_offset = on_offset
        self._supervisor = Supervisor("gossip", journal)
        self._wakeups: dict[str, asyncio.Event] = {}
        self._neighbors_outdated = asyncio.Event()
        self._neighbors_outdated.set()
        members.watch(self._on_member_change)

    def register(self, server: ControlServer) -> None:
        """Register the handlers of exchanges and probes."""
        server.register("Exchange", self._answer_exchange)
        server.register("Probe", self._answer_probe)

    async def run(self) -> None:
        """Run a task for each neighbor; choose new neighbors as members come and go.

        Also expires suspicions and tombstones, once per period.
        """
        try:
            while True:
                if self._neighbors_outdated.is_set():
                    # Not in every period: ranking a large fleet takes tens of ms.
                    self._neighbors_outdated.clear()
                    await self._update_neighbor_tasks()
                self._members.expire(self._suspicion_seconds)
                self._update_metrics()
                try:
                    await asyncio.wait_for(
                        self._neighbors_outdated.wait(), self._period_seconds
                    )
                    await asyncio.sleep(BATCH_DELAY_SECONDS)
                except TimeoutError:
                    pass
        finally:
            await self._supervisor.close()

    async def join_peers(self, addresses: list[str], max_answers: int = 3) -> int:
        """Exchange member tables with nodes, one after the other.

        Args:
            addresses: Control addresses of the nodes.
            max_answers: Number of answers after which no more nodes are contacted.

        Returns:
            The number of nodes that answered.
        """
        answered = 0
        for address in addresses:
            if address == self._members.own.control:
                continue
            try:
                await self._exchange(address, compare=True)
                answered += 1
            except PeerError:
                continue
            if answered >= max_answers:
                break
        return answered

    def exchange_now(self) -> None:
        """Exchange updates with every neighbor now instead of at the next period."""
        for wakeup in self._wakeups.values():
            wakeup.set()

    async def announce_change(self, **changes: object) -> None:
        """Change this instance's entry, and exchange with all neighbors at once."""
        self._members.update_own(**changes)
        exchanges = [
            self._exchange(member.control, receiver=member.instance)
            for member in self._choose_neighbors()
        ]
        await asyncio.gather(*exchanges, return_exceptions=True)

    def _choose_neighbors(self) -> list[Member]:
        own = self._members.own
        reachable = {
            member.instance: member
            for member in self._members.get_reachable()
            if member.instance != own.instance
        }
        same_zone = sorted(name for name, m in reachable.items() if m.zone == own.zone)
        cross_zone = [name for name, m in reachable.items() if m.zone != own.zone]
        successors = [name for name in same_zone if name > own.instance]
        ring = (successors + same_zone)[:RING_NEIGHBORS]
        chosen = set(ring)
        chosen.update(rank(own.instance, same_zone, RANDOM_NEIGHBORS))
        chosen.update(rank(own.instance, cross_zone, CROSS_ZONE_NEIGHBORS))
        return [reachable[name] for name in sorted(chosen)]

    async def _update_neighbor_tasks(self) -> None:
        neighbors = {member.instance: member for member in self._choose_neighbors()}
        for name in self._supervisor.children:
            if name not in neighbors:
                self._wakeups.pop(name, None)
                await self._supervisor.end(name)
        for name in neighbors:
            if name not in self._supervisor.children:
                self._wakeups[name] = asyncio.Event()
                self._supervisor.start(name, self._build_exchange_loop(name))

    def _build_exchange_loop(self, name: str) -> Callable[[], Awaitable[None]]:
        async def keep_exchanging() -> None:
            wakeup = self._wakeups[name]
            round_number = random.randrange(COMPARE_INTERVAL_ROUNDS)
            while True:
                member = self._members.get(name)
                if member is None or not member.reachable:
                    return
                round_number += 1
                await self._exchange_or_suspect(
                    member, round_number % COMPARE_INTERVAL_ROUNDS == 0
                )
                pause = self._period_seconds * random.uniform(0.8, 1.2)
                try:
                    await asyncio.wait_for(wakeup.wait(), pause)
                    await asyncio.sleep(BATCH_DELAY_SECONDS)
                except TimeoutError:
                    pass
                wakeup.clear()

        return keep_exchanging

    async def _exchange_or_suspect(self, member: Member, compare: bool) -> None:
        try:
            await self._exchange(member.control, compare, member.instance)
        except PeerError:
            if not await self._probe_indirectly(member):
                self._members.suspect(member.instance)
                self.exchange_now()

    async def _exchange(
        self, address: str, compare: bool = False, receiver: str = ""
    ) -> None:
        next_offset, age = self._get_sent_offset()
        request = pb.ExchangeRequest(
            sender=self._members.own.to_proto(),
            updates=self._take_updates(),
            next_offset=next_offset,
            configuration_age_ms=int(age * 1000),
            buckets=self._members.get_bucket_hashes() if compare else [],
        )
        sent_at = time.monotonic()
        reply = await self._client.call(
            address, "Exchange", request, EXCHANGE_TIMEOUT_SECONDS, receiver
        )
        self._merge([reply.sender, *reply.updates])
        # The peer may have computed the age right after the request was sent: it has
        # grown by up to a round trip since.
        age = reply.configuration_age_ms / 1000 + time.monotonic() - sent_at
        self._on_offset(reply.next_offset, age, address)

    async def _answer_exchange(
        self, request: pb.ExchangeRequest, sender: str
    ) -> pb.ExchangeReply:
        self._merge([request.sender, *request.updates])
        age = request.configuration_age_ms / 1000
        self._on_offset(request.next_offset, age, request.sender.control)
        if request.buckets:
            differing = self._members.find_differing_members(request.buckets)
            updates = [self._members.to_proto(member) for member in differing]
        else:
            updates = self._take_updates()
        next_offset, age = self._get_sent_offset()
        return pb.ExchangeReply(
            sender=self._members.own.to_proto(),
            updates=updates,
            next_offset=next_offset,
            configuration_age_ms=int(age * 1000),
        )

    async def _answer_probe(self, request: pb.ProbeRequest, _: str) -> pb.ProbeReply:
        try:
            await self._exchange(request.control)
        except PeerError:
            return pb.ProbeReply(answered=False)
        return pb.ProbeReply(answered=True)

    async def _probe_indirectly(self, member: Member) -> bool:
        """Return whether any of a few other members can reach a member."""
        others = [
            other
            for other in self._members.get_reachable()
            if other.instance not in (member.instance, self._members.own.instance)
        ]
        chosen = random.sample(others, min(INDIRECT_PROBES, len(others)))
        request = pb.ProbeRequest(control=member.control)
        replies = await asyncio.gather(
            *(
                self._client.call(
                    other.control, "Probe", request, PROBE_TIMEOUT_SECONDS
                )
                for other in chosen
            ),
            return_exceptions=True,
        )
        return any(
            not isinstance(reply, BaseException) and reply.answered for reply in replies
        )

    def _get_sent_offset(self) -> tuple[int, float]:
        """Return the configuration's next offset, and its age as sent to peers."""
        next_offset, age = self._get_offset()
        return next_offset, min(age, MAX_SENT_AGE_SECONDS)

    def _take_updates(self) -> list[pb.Member]:
        updates = self._members.take_updates(MAX_UPDATES_PER_MESSAGE)
        return [self._members.to_proto(member) for member in updates]

    def _merge(self, messages: list[pb.Member]) -> None:
        changed = [
            self._members.merge(parse_member(message), message.state_age_ms / 1000)
            for message in messages
        ]
        if any(changed):
            self.exchange_now()

    def _on_member_change(self, member: Member, previous: Member | None) -> None:
        if previous is None or previous.reachable != member.reachable:
            self._neighbors_outdated.set()
        if member.instance == self._members.own.instance:
            if previous is not None and previous.sequence + 1 < member.sequence:
                self._journal.emit(SUSPICION_REFUTED)
            self.exchange_now()
            return
        before = previous.state if previous else None
        if before is member.state:
            return
        event = {
            State.ALIVE: MEMBER_JOINED if before is None else None,
            State.SUSPECT: MEMBER_SUSPECT,
            State.DEAD: MEMBER_DEAD,
            State.LEFT: MEMBER_LEFT,
        }[member.state]
        if event is not None:
            self._journal.emit(event, member=member.instance, of_zone=member.zone)

    def _update_metrics(self) -> None:
        for state, count in self._members.count_by_state().items():
            self._metrics.members.labels(state.name.lower()).set(count)
