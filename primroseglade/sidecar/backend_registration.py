"""Backend servers that leave: what was acknowledged outlives this process."""

import asyncio
import random
from collections.abc import Callable

from ..observe.events import Journal, STORE_WRITE_FAILED
from ..supervisor import Supervisor
from .backend import Backend
from .fleet import Fleet
from .model import BackendState, StatusReport
from .node_store import NodeStore
from .policy_tracker import StoreError

# A backend server waits one second for the acknowledgement of its report.
ACK_TIMEOUT_SECONDS = 0.8
# Other nodes that are asked to remember a leaving backend server, so that one
# remains where another fails.
DRAIN_REPLICAS = 2
STORE_POLL_SECONDS = 0.005
STORE_RETRY_SECONDS = 0.5
STORE_TIMEOUT_SECONDS = 1.5
# Ids of leaving backend servers that a node remembers for others.
MAX_RECORDED_DRAINS = 512


class BackendRegistration:
    """Takes reports of the backend server, and keeps that it leaves.

    An acknowledged leave binds: no request may reach the backend server some seconds
    later. A node that was killed right after the acknowledgement, and started again,
    would not know. So a leave is acknowledged once the store or another node has it.

    Args:
        backend: The own backend server.
        fleet: Nodes that may remember for this one.
        store: The platform's.
        supervisor: Runs writes that outlast a report.
        journal: Where failures are told.
        rng: Picks the nodes that remember.
        first_start: Whether the whole fleet starts for the first time.
        broadcast_state: Tells the other nodes at once what changed here.
    """

    def __init__(
        self,
        backend: Backend,
        fleet: Fleet,
        store: NodeStore,
        supervisor: Supervisor,
        journal: Journal,
        rng: random.Random,
        first_start: bool,
        broadcast_state: Callable[[], None],
    ):
        self._backend = backend
        self._fleet = fleet
        self._store = store
        self._supervisor = supervisor
        self._journal = journal
        self._rng = rng
        self._broadcast_state = broadcast_state
        self._drains_loaded = first_start
        self._stored_drains: set[str] = set()
        self._recorded_drains: dict[str, int] = {}

    @property
    def recorded_drains(self) -> dict[str, int]:
        """Backend servers beside other nodes that leave, kept for those."""
        return self._recorded_drains

    def record_drain(self, instance: str, start_time_ms: int) -> None:
        """Remember that a backend server beside another node leaves."""
        while len(self._recorded_drains) >= MAX_RECORDED_DRAINS:
            self._recorded_drains.pop(next(iter(self._recorded_drains)))
        self._recorded_drains[instance] = start_time_ms

    def apply_drains(self, drains: dict[str, int]) -> None:
        """Take in which backend servers leave, as a peer remembers."""
        self._drains_loaded = True
        for instance, start_time_ms in drains.items():
            self._backend.drain(instance, start_time_ms)

    async def handle_report(self, report: StatusReport) -> bool:
        """Take in a status report; return whether to acknowledge it."""
        previous_instance = self._backend.instance
        if not previous_instance and not self._drains_loaded:
            await self._load_drains()
        draining = report.state is BackendState.DRAINING
        if self._backend.is_stale(report):
            if draining:
                # Overtaken by a later report; what is acknowledged below binds.
                self._backend.drain(report.instance, report.start_time_ms)
        elif not self._backend.apply_report(report):
            return False
        if self._backend.instance != previous_instance:
            self._broadcast_state()
        if draining:
            return await self._persist_drain(report.instance, report.start_time_ms)
        return True

    async def handle_deregistration(self, instance: str, start_time_ms: int) -> bool:
        """Take in that a backend server leaves; return whether to acknowledge it."""
        previous_instance = self._backend.instance
        self._backend.drain(instance, start_time_ms)
        if previous_instance and not self._backend.instance:
            self._broadcast_state()
        return await self._persist_drain(
            instance, start_time_ms or self._backend.start_time_ms
        )

    async def _load_drains(self) -> None:
        try:
            drains = await self._store.list_drains(ACK_TIMEOUT_SECONDS)
        except StoreError as error:
            # Peers tell what they remember as streams to them open; whoever has an
            # acknowledged leave is the store or one of them.
            self._journal.emit(STORE_WRITE_FAILED, what="drains", error=str(error))
            return
        self.apply_drains(drains)

    async def _persist_drain(self, instance: str, start_time_ms: int) -> bool:
        """Have a leave kept, and return whether it is."""
        if instance in self._stored_drains:
            return True
        self._supervisor.start_once(
            f"drain of {instance}", lambda: self._write_drain(instance, start_time_ms)
        )
        peers = self._fleet.list_connected()
        self._rng.shuffle(peers)
        replications = [
            asyncio.create_task(
                peer.replicate_drain(instance, start_time_ms, ACK_TIMEOUT_SECONDS)
            )
            for peer in peers[:DRAIN_REPLICAS]
        ]
        try:
            async with asyncio.timeout(ACK_TIMEOUT_SECONDS):
                while instance not in self._stored_drains:
                    await asyncio.sleep(STORE_POLL_SECONDS)
        except TimeoutError:
            # The store may come back; the write goes on meanwhile.
            pass
        results = await asyncio.gather(*replications, return_exceptions=True)
        replicated = any(not isinstance(result, BaseException) for result in results)
        return replicated or instance in self._stored_drains

    async def _write_drain(self, instance: str, start_time_ms: int) -> None:
        while True:
            try:
                await self._store.write_drain(
                    instance, start_time_ms, STORE_TIMEOUT_SECONDS
                )
                self._stored_drains.add(instance)
                return
            except StoreError as error:
                self._journal.emit(STORE_WRITE_FAILED, what="drain", error=str(error))
            await asyncio.sleep(STORE_RETRY_SECONDS)
