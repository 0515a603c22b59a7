"""The nodes of a fleet by service and by availability zone."""

from collections.abc import Iterable

from .model import NodeEntry
from .peer import Peer


class Places:
    """The nodes of one service, in this node's zone and in others."""

    __slots__ = ("far", "near")

    def __init__(self) -> None:
        self.near: list[Peer] = []
        self.far: list[Peer] = []


NOWHERE = Places()


class FleetIndex:
    """Built anew when a node comes or goes.

    Args:
        own: This node.
        peers: The others.
    """

    __slots__ = ("_own", "_places", "_zones")

    def __init__(self, own: NodeEntry, peers: Iterable[Peer]):
        self._own = own
        self._places: dict[str, Places] = {}
        # The names of a zone's nodes in order; None stands for this node.
        self._zones: dict[str, list[tuple[str, Peer | None]]] = {
            own.zone: [(own.name, None)]
        }
        for peer in peers:
            entry = peer.entry
            places = self._places.setdefault(entry.service, Places())
            (places.near if entry.zone == own.zone else places.far).append(peer)
            self._zones.setdefault(entry.zone, []).append((entry.name, peer))
        for names in self._zones.values():
            names.sort(key=lambda item: item[0])

    @property
    def zones(self) -> int:
        """Number of availability zones."""
        return len(self._zones)

    def get_places(self, service: str) -> Places:
        """Return the nodes of a service."""
        return self._places.get(service, NOWHERE)

    def list_first(self, count: int, connected: bool = True) -> dict[str, list[str]]:
        """Return the first nodes of each zone by name.

        Args:
            count: How many of each zone.
            connected: Whether only nodes are meant to which a stream is open.
        """
        first: dict[str, list[str]] = {}
        for zone, nodes in self._zones.items():
            names: list[str] = []
            for name, peer in nodes:
                if peer is None or peer.connected or not connected:
                    names.append(name)
                    if len(names) == count:
                        break
            if names:
                first[zone] = names
        return first
