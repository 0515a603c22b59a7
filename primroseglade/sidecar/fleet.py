"""All nodes as this one knows them, and who serves what."""

import random
from collections.abc import Collection, Iterator

from ..observe.events import Journal, PEER_FORGOTTEN, PEER_LEARNT
from ..supervisor import Supervisor
from .admission import ServiceLoad
from .fleet_index import FleetIndex, ServicePeers
from .load_balancing import Candidate, choose, estimate_penalty_ms
from .model import NodeEntry
from .peer import Peer, PeerHost
from .zone_costs import ZoneCostsMs

# Nodes looked at for a call, in this node's zone and in others: the best of a few at
# random is nearly as good as the best of all, and costs the same in any fleet.
SAME_ZONE_SAMPLE_SIZE = 5
CROSS_ZONE_SAMPLE_SIZE = 3


class Survey:
    """What other nodes tell of load, by service.

    Attributes:
        loads: How busy the backend servers are.
        min_costs: What a call costs beyond its work, by zone.
        demand: Calls a second that the nodes' callers ask for.
    """

    __slots__ = ("demand", "loads", "min_costs")

    def __init__(self) -> None:
        self.loads: dict[str, ServiceLoad] = {}
        self.min_costs: dict[str, ZoneCostsMs] = {}
        self.demand: dict[str, float] = {}

    def add(self, peer: Peer) -> None:
        """Add a node to which a stream is open."""
        state = peer.state
        for service, calls in state.demand.items():
            self.demand[service] = self.demand.get(service, 0.0) + calls
        if state.instance:
            service = peer.entry.service
            load = self.loads.setdefault(service, ServiceLoad())
            load.add(state.in_flight, state.slots, state.slot_ms)
            self.record_cost(
                service, peer.entry.zone, estimate_penalty_ms(build_candidate(peer))
            )

    def record_cost(self, service: str, zone: str, cost: float) -> None:
        """Take in what a call costs at one backend server."""
        zones = self.min_costs.setdefault(service, {})
        zones[zone] = min(cost, zones.get(zone, cost))


def build_candidate(
    peer: Peer, same_zone: bool = False, downstream_ms: float = 0.0
) -> Candidate:
    """Return a node as a place for a call."""
    state = peer.state
    return Candidate(
        peer.entry.name,
        same_zone,
        state.slots,
        peer.in_flight,
        state.service_ms,
        peer.failure_ratio,
        downstream_ms,
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
        self,
        host: PeerHost,
        supervisor: Supervisor,
        journal: Journal,
        rng: random.Random,
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

    def update_node(self, entry: NodeEntry) -> None:
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
    def has_pending_calls(self) -> bool:
        """Whether calls wait for an answer of another node."""
        return any(peer.has_pending_calls for peer in self._peers.values())

    def check_liveness(self, now: float) -> None:
        """Look for streams on which nothing comes any more."""
        for peer in list(self._peers.values()):
            peer.check_liveness(now)

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
        cross_zone_cost_ms: float,
        failure_cost_ms: float,
        downstream_costs: ZoneCostsMs,
    ) -> Candidate | None:
        """Return where a call to a service goes next.

        Args:
            service: What is called.
            own: This node, where its backend server serves it.
            tried: Names of nodes that are not to be asked again.
            cross_zone_cost_ms: By how much another availability zone has to be better.
            failure_cost_ms: What a failed call costs.
            downstream_costs: What the calls below it cost, by zone.
        """
        service_peers = self.index.get_service_peers(service)
        same_zone_peers = self._sample(
            service_peers.same_zone_peers,
            SAME_ZONE_SAMPLE_SIZE,
            tried,
            downstream_costs,
        )
        if own is not None and own.name not in tried:
            same_zone_peers.append(own)
        min_cross_zone_downstream_ms = min(downstream_costs.values(), default=0.0)
        chosen = choose(
            same_zone_peers,
            lambda: self._sample(
                service_peers.cross_zone_peers,
                CROSS_ZONE_SAMPLE_SIZE,
                tried,
                downstream_costs,
            ),
            cross_zone_cost_ms,
            min_cross_zone_downstream_ms,
            failure_cost_ms,
            self._rng,
        )
        return chosen or self._find_suspect_peer(service_peers, tried, downstream_costs)

    def _find_suspect_peer(
        self,
        service_peers: ServicePeers,
        tried: Collection[str],
        downstream_costs: ZoneCostsMs,
    ) -> Candidate | None:
        """Return a node that is silent, where no other serves a call."""
        for peer in service_peers.same_zone_peers + service_peers.cross_zone_peers:
            if peer.usable and peer.entry.name not in tried:
                return self._build_candidate(peer, downstream_costs)
        return None

    def _sample(
        self,
        peers: list[Peer],
        max_count: int,
        tried: Collection[str],
        downstream_costs: ZoneCostsMs,
    ) -> list[Candidate]:
        """Return some nodes that may be asked, others with each call."""
        candidates: list[Candidate] = []
        if len(peers) > max_count:
            start = int(self._rng.random() * len(peers))
            peers = peers[start:] + peers[:start]
        for peer in peers:
            if not peer.usable or peer.entry.name in tried or peer.is_suspect:
                continue
            candidates.append(self._build_candidate(peer, downstream_costs))
            if len(candidates) == max_count:
                break
        return candidates

    def _build_candidate(self, peer: Peer, downstream_costs: ZoneCostsMs) -> Candidate:
        zone = peer.entry.zone
        return build_candidate(peer, zone == self.zone, downstream_costs.get(zone, 0.0))

    def get_failure_ratio(self, service: str) -> float:
        """Return the share of calls that fail at a service, over its nodes."""
        service_peers = self.index.get_service_peers(service)
        ratios = [
            peer.state.failure_ratio
            for peer in service_peers.same_zone_peers + service_peers.cross_zone_peers
            if peer.state.instance
        ]
        return sum(ratios) / len(ratios) if ratios else 0.0

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
