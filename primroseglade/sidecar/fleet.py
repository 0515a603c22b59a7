"""All nodes as this one knows them, and who serves what."""

import random
from collections.abc import Collection, Iterator

from ..observe.events import Journal, PEER_FORGOTTEN, PEER_LEARNT
from ..supervisor import Supervisor
from .admission import Load
from .fleet_index import FleetIndex, Places
from .load_balancing import Candidate, choose, estimate_trouble
from .model import NodeEntry
from .peer import Host, Peer
from .zone_costs import Costs

# Nodes looked at for a call, in this node's zone and in others: the best of a few at
# random is nearly as good as the best of all, and costs the same in any fleet.
NEAR_SAMPLE = 5
FAR_SAMPLE = 3


class Survey:
    """What other nodes tell of load, by service.

    Attributes:
        loads: How busy the backend servers are.
        cheapest: What a call costs beyond its work, by zone.
        demand: Calls a second that the nodes' callers ask for.
    """

    __slots__ = ("cheapest", "demand", "loads")

    def __init__(self) -> None:
        self.loads: dict[str, Load] = {}
        self.cheapest: dict[str, Costs] = {}
        self.demand: dict[str, float] = {}

    def add(self, peer: Peer) -> None:
        """Add a node to which a stream is open."""
        state = peer.state
        for service, calls in state.demand.items():
            self.demand[service] = self.demand.get(service, 0.0) + calls
        if state.instance:
            service = peer.entry.service
            load = self.loads.setdefault(service, Load())
            load.add(state.occupied, state.slots, state.turn_ms)
            self.note_cost(service, peer.entry.zone, estimate_trouble(describe(peer)))

    def note_cost(self, service: str, zone: str, cost: float) -> None:
        """Take in what a call costs at one backend server."""
        zones = self.cheapest.setdefault(service, {})
        zones[zone] = min(cost, zones.get(zone, cost))


def describe(peer: Peer, same_zone: bool = False, below_ms: float = 0.0) -> Candidate:
    """Return a node as a place for a call."""
    state = peer.state
    return Candidate(
        peer.entry.name,
        same_zone,
        state.slots,
        peer.occupied,
        state.service_ms,
        peer.failing,
        below_ms,
    )


class Fleet:
    """The other nodes.

    Args:
        host: This node.
        supervisor: Runs a task for each peer.
        journal: Where changes are told.
        rng: Breaks ties between nodes.
    """

    def __init__(
        self, host: Host, supervisor: Supervisor, journal: Journal, rng: random.Random
    ):
        self._host = host
        self._supervisor = supervisor
        self._journal = journal
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._index: FleetIndex | None = None

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peers.values()))

    def __len__(self) -> int:
        """Nodes that are known, this one too."""
        return len(self._peers) + 1

    @property
    def zone(self) -> str:
        """This node's availability zone."""
        return self._host.entry.zone

    @property
    def index(self) -> FleetIndex:
        """The nodes by service and by availability zone."""
        if self._index is None:
            self._index = FleetIndex(self._host.entry, self._peers.values())
        return self._index

    def get(self, name: str) -> Peer | None:
        """Return a node by its name."""
        return self._peers.get(name)

    def learn(self, entry: NodeEntry) -> None:
        """Take in how a node is found; the newest start of a name counts."""
        if entry.name == self._host.entry.name:
            return
        known = self._peers.get(entry.name)
        if known is not None:
            if entry.started > known.entry.started:
                known.entry = entry
                self._index = None
            return
        peer = Peer(entry, self._host, self._journal)
        self._peers[entry.name] = peer
        self._index = None
        self._journal.emit(PEER_LEARNT, peer=entry.name, address=entry.address)
        self._supervisor.start(f"peer {entry.name}", lambda: self._run(peer))

    @property
    def waits(self) -> bool:
        """Whether calls wait for an answer of another node."""
        return any(peer.waits for peer in self._peers.values())

    def check_silence(self, now: float) -> None:
        """Look for streams on which nothing comes any more."""
        for peer in list(self._peers.values()):
            peer.check_silence(now)

    def list_readers(self) -> list[str]:
        """Return the nodes whose knowledge of the configuration the others ask for.

        One in each availability zone, by name among those that can be reached: all
        nodes that see each other name the same ones, without a word.
        """
        first = self.index.list_first(1)
        return sorted(names[0] for names in first.values())

    def list_connected(self) -> list[Peer]:
        """Return the nodes to which a stream is open."""
        return [peer for peer in self._peers.values() if peer.connected]

    def choose(
        self,
        service: str,
        own: Candidate | None,
        tried: Collection[str],
        other_zone_ms: float,
        failure_ms: float,
        below: Costs,
    ) -> Candidate | None:
        """Return where a call to a service goes next.

        Args:
            service: What is called.
            own: This node, where its backend server serves it.
            tried: Names of nodes that are not to be asked again.
            other_zone_ms: By how much another availability zone has to be better.
            failure_ms: What a failed call costs.
            below: What the calls below it cost, by zone.
        """
        places = self.index.get_places(service)
        near = self._sample(places.near, NEAR_SAMPLE, tried, below)
        if own is not None and own.name not in tried:
            near.append(own)
        least_far = min(below.values(), default=0.0)
        chosen = choose(
            near,
            lambda: self._sample(places.far, FAR_SAMPLE, tried, below),
            other_zone_ms,
            least_far,
            failure_ms,
            self._rng,
        )
        return chosen or self._find_suspect(places, tried, below)

    def _find_suspect(
        self, places: Places, tried: Collection[str], below: Costs
    ) -> Candidate | None:
        """Return a node that is silent, where no other serves a call."""
        for peer in places.near + places.far:
            if peer.usable and peer.entry.name not in tried:
                return self._describe(peer, below)
        return None

    def _sample(
        self,
        peers: list[Peer],
        most: int,
        tried: Collection[str],
        below: Costs,
    ) -> list[Candidate]:
        """Return some nodes that may be asked, others with each call."""
        found: list[Candidate] = []
        if len(peers) > most:
            start = int(self._rng.random() * len(peers))
            peers = peers[start:] + peers[:start]
        for peer in peers:
            if not peer.usable or peer.entry.name in tried or peer.suspect:
                continue
            found.append(self._describe(peer, below))
            if len(found) == most:
                break
        return found

    def _describe(self, peer: Peer, below: Costs) -> Candidate:
        zone = peer.entry.zone
        return describe(peer, zone == self.zone, below.get(zone, 0.0))

    def get_failing(self, service: str) -> float:
        """Return the share of calls that fail at a service, over its nodes."""
        places = self.index.get_places(service)
        told = [
            peer.state.failing
            for peer in places.near + places.far
            if peer.state.instance
        ]
        return sum(told) / len(told) if told else 0.0

    def survey(self) -> "Survey":
        """Return how busy the other nodes are, by service."""
        survey = Survey()
        for peer in self._peers.values():
            if peer.connected:
                survey.add(peer)
        return survey

    async def _run(self, peer: Peer) -> None:
        await peer.run()
        self._peers.pop(peer.entry.name, None)
        self._index = None
        self._journal.emit(PEER_FORGOTTEN, peer=peer.entry.name)
