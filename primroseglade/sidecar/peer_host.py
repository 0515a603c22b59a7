"""What a peer needs of the local node."""

from collections.abc import Collection
from typing import Protocol, TYPE_CHECKING

from .cross_zone_bytes import CrossZoneBytes
from .model import NodeEntry, NodeState

if TYPE_CHECKING:
    from .peer import Peer


class PeerHost(Protocol):
    """What a ``Peer`` needs of the local node."""

    @property
    def entry(self) -> NodeEntry:
        """Name, address and location of this node."""

    @property
    def cross_zone_bytes(self) -> CrossZoneBytes:
        """Counter of the bytes sent to other availability zones."""

    def handle_entry_change(self) -> None:
        """Handle a node that came back at another place or with another service."""

    def apply_drains(self, drains: dict[str, int]) -> None:
        """Drain the local backend server if a peer has recorded it as draining.

        The other recorded drains are remembered, in case one of those backend servers
        reports to this node later.

        Args:
            drains: Start times in Unix milliseconds, by instance id. A backend server
                that was started later under the same id is not drained.
        """

    def record_ended_servers(self, state: NodeState) -> None:
        """Record the backend servers that ended under calls, as a state says."""

    def handle_state(self, peer: "Peer") -> None:
        """Handle a new state of a peer."""

    def relay_state(self, peer: "Peer") -> None:
        """Relay a peer's state to the nodes of this zone."""

    def apply_relayed_state(self, name: str, state: NodeState) -> None:
        """Apply a peer's state that another node relayed."""

    def record_policy_age(
        self, version: int, age_seconds: float, asked_at: float
    ) -> None:
        """Record when a peer's configuration was last known to be the newest.

        Args:
            version: Version of the configuration in force at the peer.
            age_seconds: Seconds since that version was last known to be the newest.
            asked_at: When the peer was asked, as returned by ``read_age_clock``.
        """

    def record_evacuations(
        self, zones: Collection[str], offset: int, peer: str
    ) -> None:
        """Record which zones are evacuated, according to a peer.

        Args:
            zones: The evacuated zones.
            offset: Offset up to which the operator's records are included.
            peer: Name of the peer.
        """

    def handle_peer_clock_known(self) -> None:
        """Handle that a peer's clock has become known on a new stream.

        From now on, leases can be sent to the peer.
        """
