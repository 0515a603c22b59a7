"""What a node keeps in the platform's store."""

from typing import Protocol

from .model import NodeEntry
from .policy_tracker import PolicyStore


class NodeStore(PolicyStore, Protocol):
    """What a node keeps in the platform's store."""

    async def list_nodes(self, timeout: float) -> list[NodeEntry]:
        """Return the nodes that made themselves known."""

    async def write_node(self, entry: NodeEntry, timeout: float) -> None:
        """Make a node known."""

    async def write_drain(
        self, instance: str, start_time_ms: int, timeout: float
    ) -> None:
        """Keep that a backend server leaves."""

    async def list_drains(self, timeout: float) -> dict[str, int]:
        """Return the backend servers that leave, with the start of their lifetime."""

    async def close(self) -> None:
        """Close the connections."""
