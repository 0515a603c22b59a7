"""The interface of the platform's store, as nodes use it."""

from typing import Protocol

from .model import NodeEntry
from .policy_tracker import PolicyStore


class NodeStore(PolicyStore, Protocol):
    """Keeps nodes, drains and policies in the platform's store.

    All methods with a timeout, in seconds, raise `StoreError` on failure.
    """

    async def list_nodes(self, timeout: float) -> list[NodeEntry]:
        """Return the registered nodes."""

    async def write_node(self, entry: NodeEntry, timeout: float) -> None:
        """Register a node."""

    async def write_drain(
        self, instance: str, start_time_ms: int, timeout: float
    ) -> None:
        """Record a backend server as draining; ``start_time_ms`` is a Unix time."""

    async def list_drains(self, timeout: float) -> dict[str, int]:
        """Return the latest start times in Unix ms of draining backend servers, by id.

        A drain covers the lifetime that started then, and all earlier ones.
        """

    async def close(self) -> None:
        """Close the connections to the store."""
