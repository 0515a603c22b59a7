"""Index of a fleet's nodes by service and by availability zone."""

import itertools
from collections.abc import Iterable, Iterator

from .model import NodeEntry
from .peer import Peer


class ServicePeers:
    """The peers that provide one service, in this node's zone and in other zones."""

    __slots__ = ("cross_zone_peers", "same_zone_peers")

    def __init__(self) -> None:
        self.same_zone_peers: list[Peer] = []
        self.cross_zone_peers: list[Peer] = []

    def __iter__(self) -> Iterator[Peer]:
        return itertools.chain(self.same_zone_peers, self.cross_zone_peers)


NO_PEERS = ServicePeers()


class FleetIndex:
    """The nodes by service and by zone; rebuilt when a node is added or removed.

    Args:
        own_entry: Entry of this node.
        peers: The other nodes.
    """

    __slots__ = ("_nodes_by_zone", "_own_entry", "_peers_by_service")

    def __init__(self, own_entry: NodeEntry, peers: Iterable[Peer]):
        self._own_entry = own_entry
        self._peers_by_service: dict[str, ServicePeers] = {}
        # By zone, the name and peer of each node, sorted by name. The peer is None for
        # this node.
        self._nodes_by_zone: dict[str, list[tuple[str, Peer | None]]] = {
            own_entry.zone: [(own_entry.name, None)]
        }
        for peer in peers:
            entry = peer.entry
            service_peers = self._peers_by_service.setdefault(
                entry.service, ServicePeers()
            )
            (
                service_peers.same_zone_peers
                if entry.zone == own_entry.zone
                else service_peers.cross_zone_peers
            ).append(peer)
            self._nodes_by_zone.setdefault(entry.zone, []).append((entry.name, peer))
        for names in self._nodes_by_zone.values():
            names.sort(key=lambda item: item[0])

    @property
    def zone_count(self) -> int:
        """Number of availability zones."""
        return len(self._nodes_by_zone)

    def get_service_peers(self, service: str) -> ServicePeers:
        """Return the peers that provide a service."""
        return self._peers_by_service.get(service, NO_PEERS)

    def list_first_by_zone(
        self, name_count: int, connected_only: bool = True
    ) -> dict[str, list[str]]:
        """Return, by zone, the first names of its nodes in alphabetical order.

        Args:
            name_count: Maximum number of nodes per zone.
            connected_only: Whether to leave out peers to which no stream is open.
        """
        names_by_zone: dict[str, list[str]] = {}
        for zone, nodes in self._nodes_by_zone.items():
            names: list[str] = []
            for name, peer in nodes:
                if peer is None or peer.connected or not connected_only:
                    names.append(name)
                    if len(names) == name_count:
                        break
            if names:
                names_by_zone[zone] = names
        return names_by_zone
