"""Registers a starting node in the platform's store and connects it to the others."""

import asyncio
import random
from collections.abc import Callable

from ..observe.events import Journal, STORE_WRITE_FAILED
from .fleet import Fleet
from .model import NodeEntry
from .node_store import NodeStore
from .policy_tracker import StoreError

STORE_RETRY_SECONDS = 0.5
STORE_TIMEOUT_SECONDS = 1.5


class Introduction:
    """Registers this node in the store, then connects to the nodes listed there.

    The order ensures that of two nodes starting at once at least one finds the other
    and opens a stream to it. A restarted node is registered already; the Hello on its
    new streams shows the other nodes that its process is a new one.

    Args:
        entry: This node.
        store: Client of the platform's store.
        fleet: Receives the other nodes.
        first_start: Whether the whole fleet starts for the first time.
        journal: Logs failed calls to the store.
        rng: Draws the pauses between attempts.
        handle_nodes_listed: Called once the other nodes are known.

    Attributes:
        nodes_listed: Whether the store's nodes have been listed.
    """

    def __init__(
        self,
        entry: NodeEntry,
        store: NodeStore,
        fleet: Fleet,
        first_start: bool,
        journal: Journal,
        rng: random.Random,
        handle_nodes_listed: Callable[[], None],
    ):
        self._entry = entry
        self._store = store
        self._fleet = fleet
        self._first_start = first_start
        self._journal = journal
        self._rng = rng
        self._handle_nodes_listed = handle_nodes_listed
        self.nodes_listed = False

    async def run(self) -> None:
        """Retry until this node is registered and the others are listed."""
        registered = False
        while True:
            try:
                if self._first_start and not registered:
                    await self._store.write_node(self._entry, STORE_TIMEOUT_SECONDS)
                    registered = True
                entries = await self._store.list_nodes(STORE_TIMEOUT_SECONDS)
                if not registered and not any(
                    map(self._entry.equals_except_start_time, entries)
                ):
                    await self._store.write_node(self._entry, STORE_TIMEOUT_SECONDS)
                    registered = True
                    continue
                for entry in entries:
                    self._fleet.update_node(entry)
                self.nodes_listed = True
                self._handle_nodes_listed()
                return
            except StoreError as error:
                self._journal.emit(STORE_WRITE_FAILED, what="node", error=str(error))
            await asyncio.sleep(self._rng.uniform(0.5, 1.0) * STORE_RETRY_SECONDS)
