"""The other nodes that a node knows, and the choice of a node for a call."""

import random
from collections.abc import Collection, Iterator

from ..observe.events import Journal, PEER_DISCOVERED, PEER_REMOVED
from ..supervisor import Supervisor
from .fleet_index import FleetIndex, ServicePeers
from .load_balancing import Candidate, choose, estimate_penalty_ms
from .model import NodeEntry
from .peer import Peer
from .peer_host import PeerHost
from .service_load import ServiceLoad
from .zone_costs import ZoneCostsMs

# Number of nodes compared for each call, in this node's zone and in other zones. The
# best of a few random nodes is nearly as good as the best of all, at a cost independent
# of fleet size.
SAME_ZONE_SAMPLE_SIZE = 5
CROSS_ZONE_SAMPLE_SIZE = 3


class Survey:
    """Load, costs and demand that nodes report, by service.

    Attributes:
        loads: Load of the backend servers.
        min_costs_ms: Lowest cost of a call in each zone, in milliseconds in addition to
            the call's service time.
        demand: Calls per second requested by the nodes' callers.
    """

    __slots__ = ("demand", "loads", "min_costs_ms")

    def __init__(self) -> None:
        self.loads: dict[str, ServiceLoad] = {}
        self.min_costs_ms: dict[str, ZoneCostsMs] = {}
        self.demand: dict[str, float] = {}

    def add(self, peer: Peer) -> None:
        """Add the state of a connected node."""
        state = peer.state
        for service, calls_per_second in state.demand.items():
            self.demand[service] = self.demand.get(service, 0.0) + calls_per_second
        if state.instance:
            service = peer.entry.service
            load = self.loads.setdefault(service, ServiceLoad())
            start_rate = peer.start_rate
            if start_rate:
                load.add_cold(start_rate, peer.cold_seconds)
            elif state.request_limit:
                load.add_limited(
                    state.request_limit, state.in_flight, state.slots, state.slot_ms
                )
            else:
                load.add(
                    state.in_flight,
                    state.slots,
                    state.slot_ms,
                    state.blocked,
                    state.work_ms,
                )
            self.record_cost(
                service, peer.entry.zone, estimate_penalty_ms(build_candidate(peer))
            )

    def record_cost(self, service: str, zone: str, cost_ms: float) -> None:
        """Record the cost in milliseconds of a call at one backend server."""
        costs_by_zone = self.min_costs_ms.setdefault(service, {})
        costs_by_zone[zone] = min(cost_ms, costs_by_zone.get(zone, cost_ms))


def build_candidate(
    peer: Peer, same_zone: bool = False, downstream_cost_ms: float = 0.0
) -> Candidate:
    """Return a peer as a load balancing candidate.

    Args:
        peer: The peer.
        same_zone: Whether the peer is in this node's availability zone.
        downstream_cost_ms: Cost in milliseconds of the further calls that a call makes
            if the peer serves it.
    """
    state = peer.state
    return Candidate(
        peer.entry.name,
        same_zone,
        state.slots,
        peer.in_flight,
        state.service_ms,
        peer.failure_ratio,
        downstream_cost_ms,
        peer.start_rate,
        state.request_limit,
        state.probe_due,
        peer.slowdown,
    )


class Fleet:
    """The other nodes: adds and removes peers, and picks a node for each call.

    Args:
        host: This node.
        supervisor: Runs a task for each peer.
        journal: Logs added and removed peers.
        rng: Picks the nodes compared for a call and breaks ties.
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
        """Return the number of known nodes, including this one."""
        return len(self._peers) + 1

    @property
    def zone(self) -> str:
        """This node's availability zone."""
        return self._host.entry.zone

    @property
    def index(self) -> FleetIndex:
        """The nodes by service and by availability zone, built when first needed."""
        if self._index is None:
            self._index = FleetIndex(self._host.entry, self._peers.values())
        return self._index

    def invalidate_index(self) -> None:
        """Rebuild the index before it is used again, as an entry has changed."""
        self._index = None

    def get(self, name: str) -> Peer | None:
        """Return the peer with a name, or None."""
        return self._peers.get(name)

    def update_node(self, entry: NodeEntry) -> None:
        """Add a node, or replace its entry if the new one has a later start time."""
        if entry.name == self._host.entry.name:
            return
        known_peer = self._peers.get(entry.name)
        if known_peer is not None:
            if entry.start_time_ms > known_peer.entry.start_time_ms:
                known_peer.entry = entry
                self._index = None
            return
        peer = Peer(entry, self._host, self._journal)
        self._peers[entry.name] = peer
        self._index = None
        self._journal.emit(PEER_DISCOVERED, peer=entry.name, address=entry.address)
        self._supervisor.start(f"peer {entry.name}", lambda: self._run(peer))

    @property
    def has_pending_requests(self) -> bool:
        """Whether requests to other nodes await a reply."""
        return any(peer.has_pending_requests for peer in self._peers.values())

    def check_liveness(self, now: float) -> None:
        """Ping or disconnect peers that do not answer; ``now`` in monotonic seconds."""
        for peer in list(self._peers.values()):
            peer.check_liveness(now)

    def list_readers(self) -> list[str]:
        """Return the names of the readers, sorted.

        The reader of an availability zone is its first connected node by name, so
        nodes that see each other agree on the readers without coordination. The first
        reader reads the configuration from the platform's store; the other nodes ask a
        reader whether their configuration is still the newest.
        """
        names_by_zone = self.index.list_first_by_zone(1)
        return sorted(names[0] for names in names_by_zone.values())

    def list_connected(self) -> list[Peer]:
        """Return the peers to which a stream is open."""
        return [peer for peer in self._peers.values() if peer.connected]

    def choose(
        self,
        service: str,
        own_candidate: Candidate | None,
        tried_names: Collection[str],
        cross_zone_surcharge_ms: float,
        failure_cost_ms: float,
        downstream_costs_ms: ZoneCostsMs,
        allowed_zones: Collection[str] | None = None,
    ) -> Candidate | None:
        """Return the node for the next attempt of a call, or None if no node is left.

        Args:
            service: The called service.
            own_candidate: This node, if its backend server provides the service; else
                None.
            tried_names: Names of nodes already tried.
            cross_zone_surcharge_ms: Extra cost of a call to another availability zone.
            failure_cost_ms: Cost of a failed call.
            downstream_costs_ms: Cost in milliseconds of the further calls that the call
                makes, by the zone in which it is served.
            allowed_zones: Zones in which the call may run; None for all.
        """
        service_peers = self.index.get_service_peers(service)
        same_zone_candidates = self._sample(
            service_peers.same_zone_peers,
            SAME_ZONE_SAMPLE_SIZE,
            tried_names,
            downstream_costs_ms,
            allowed_zones,
        )
        if own_candidate is not None and own_candidate.name not in tried_names:
            same_zone_candidates.append(own_candidate)
        min_downstream_cost_ms = min(downstream_costs_ms.values(), default=0.0)
        chosen = choose(
            same_zone_candidates,
            lambda: self._sample(
                service_peers.cross_zone_peers,
                CROSS_ZONE_SAMPLE_SIZE,
                tried_names,
                downstream_costs_ms,
                allowed_zones,
            ),
            cross_zone_surcharge_ms,
            min_downstream_cost_ms,
            failure_cost_ms,
            self._rng,
        )
        return chosen or self._find_suspect_peer(
            service_peers, tried_names, downstream_costs_ms, allowed_zones
        )

    def _find_suspect_peer(
        self,
        service_peers: ServicePeers,
        tried_names: Collection[str],
        downstream_costs_ms: ZoneCostsMs,
        allowed_zones: Collection[str] | None,
    ) -> Candidate | None:
        """Return a suspect node not yet tried, for calls with no other node left."""
        for peer in service_peers.same_zone_peers + service_peers.cross_zone_peers:
            if (
                peer.usable
                and peer.entry.name not in tried_names
                and (allowed_zones is None or peer.entry.zone in allowed_zones)
            ):
                return self._build_candidate(peer, downstream_costs_ms)
        return None

    def _sample(
        self,
        peers: list[Peer],
        max_candidates: int,
        tried_names: Collection[str],
        downstream_costs_ms: ZoneCostsMs,
        allowed_zones: Collection[str] | None,
    ) -> list[Candidate]:
        """Return up to ``max_candidates`` usable nodes, beginning at a random one."""
        candidates: list[Candidate] = []
        if len(peers) > max_candidates:
            start_index = int(self._rng.random() * len(peers))
            peers = peers[start_index:] + peers[:start_index]
        for peer in peers:
            if not peer.usable or peer.entry.name in tried_names or peer.is_suspect:
                continue
            if allowed_zones is not None and peer.entry.zone not in allowed_zones:
                continue
            candidates.append(self._build_candidate(peer, downstream_costs_ms))
            if len(candidates) == max_candidates:
                break
        return candidates

    def _build_candidate(
        self, peer: Peer, downstream_costs_ms: ZoneCostsMs
    ) -> Candidate:
        zone = peer.entry.zone
        return build_candidate(
            peer, zone == self.zone, downstream_costs_ms.get(zone, 0.0)
        )

    def reaches_all(self, service: str) -> bool:
        """Return whether streams to all other nodes of a service are open."""
        return all(peer.connected for peer in self.index.get_service_peers(service))

    def get_failure_ratio(self, service: str) -> float:
        """Return the average fraction of failed calls over a service's nodes."""
        ratios = [
            peer.state.failure_ratio
            for peer in self.index.get_service_peers(service)
            if peer.state.instance
        ]
        return sum(ratios) / len(ratios) if ratios else 0.0

    def survey(self) -> "Survey":
        """Return load, costs and demand of the connected peers, by service."""
        survey = Survey()
        for peer in self._peers.values():
            if peer.connected:
                survey.add(peer)
        return survey

    async def _run(self, peer: Peer) -> None:
        await peer.run()
        self._peers.pop(peer.entry.name, None)
        self._index = None
        self._journal.emit(PEER_REMOVED, peer=peer.entry.name)
