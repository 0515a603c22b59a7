"""Status reports of the backend server, and drains that survive a node restart.

A draining backend server gets no more requests, because it is about to stop.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from ..observe.events import Journal, STORE_WRITE_FAILED
from ..supervisor import Supervisor
from .backend import Backend
from .drained_lifetimes import DrainedLifetimes
from .fleet import Fleet
from .model import BackendState, StatusReport
from .node_store import NodeStore
from .policy_tracker import StoreError

# A backend server waits 1 s for the acknowledgement of its report.
ACK_TIMEOUT_SECONDS = 0.8
# Number of other nodes asked to record a drain, so that one of them can fail without
# losing the drain.
DRAIN_REPLICA_COUNT = 2
# Interval of checks whether the store has accepted a drain.
STORED_DRAIN_POLL_SECONDS = 0.005
STORE_RETRY_SECONDS = 0.5
STORE_TIMEOUT_SECONDS = 1.5
# Maximum number of drains that a node records for others; the oldest are evicted.
MAX_RECORDED_DRAINS = 512
# Lifetimes of the local backend server whose drains the store has.
MAX_STORED_DRAINS = 64


class BackendRegistration:
    """Handles status reports of the backend server, and persists its drain.

    An acknowledged drain is binding: a few seconds later no request may reach the
    backend server. A node that is killed after the acknowledgement and restarted would
    have lost the drain, so the drain is acknowledged only once the store or another
    node has recorded it.

    Args:
        backend: The backend server of this node.
        fleet: The other nodes, which can record drains for this one.
        store: The platform's store.
        supervisor: Runs store writes that take longer than handling a report.
        journal: Logs failures of the store.
        rng: Picks the nodes that record a drain.
        first_start: Whether the whole fleet starts for the first time, so that no
            drains are recorded yet.
        broadcast_state: Broadcasts this node's state immediately.
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
        self._drains_loaded = asyncio.Event()
        if first_start:
            self._drains_loaded.set()
        self._stored = DrainedLifetimes(MAX_STORED_DRAINS)
        # Start times of drains that are being written to the store, by instance ID.
        self._unstored_start_times: dict[str, int] = {}
        self._recorded = DrainedLifetimes(MAX_RECORDED_DRAINS)

    @property
    def recorded_drains(self) -> dict[str, int]:
        """Draining backend servers of other nodes: start times (Unix ms) by id."""
        return self._recorded.start_times

    def record_drain(self, instance: str, start_time_ms: int) -> None:
        """Record that another node's backend server is draining.

        Args:
            instance: Id of the backend server.
            start_time_ms: Unix time of its start, in milliseconds.
        """
        self._recorded.add(instance, start_time_ms)

    def apply_drains(self, drains: dict[str, int]) -> None:
        """Drain the local backend server if the store or a peer has recorded its drain.

        The other recorded drains are remembered, in case one of those backend servers
        reports to this node later.

        Args:
            drains: Start times in Unix milliseconds, by instance id. A backend server
                that was started later under the same id is not drained.
        """
        for instance, start_time_ms in drains.items():
            self._backend.drain(instance, start_time_ms, "record")

    async def handle_report(self, report: StatusReport) -> bool:
        """Apply a status report; return whether to acknowledge it."""
        previous_instance = self._backend.instance
        is_draining = report.state is BackendState.DRAINING
        if not self._drains_loaded.is_set():
            self._supervisor.start_once("stored drains", self._load_drains)
            if not self._backend.lifetime[0] and not is_draining:
                await self._wait_for_stored_drains()
        if self._backend.is_stale(report):
            if is_draining:
                if self._is_earlier_lifetime(report.instance, report.start_time_ms):
                    # The drain would have no effect on the lifetime in use.
                    return False
                # The stale report is acknowledged below, so its drain must take effect.
                self._backend.drain(report.instance, report.start_time_ms)
        elif not self._backend.apply_report(report):
            return False
        if self._backend.instance != previous_instance:
            self._broadcast_state()
        if is_draining:
            return await self._persist_drain(report.instance, report.start_time_ms)
        return True

    async def handle_deregistration(self, instance: str, start_time_ms: int) -> bool:
        """Drain a backend server that deregisters; return whether to acknowledge it.

        Args:
            instance: Id of the backend server.
            start_time_ms: Unix time of its start, in milliseconds; 0 if unknown.
        """
        previous_instance = self._backend.instance
        if not start_time_ms:
            start_time_ms = self._estimate_start_time(instance)
        self._backend.drain(instance, start_time_ms)
        if self._is_earlier_lifetime(instance, start_time_ms):
            self._backend.suspend()
        if previous_instance and not self._backend.instance:
            self._broadcast_state()
        return await self._persist_drain(instance, start_time_ms)

    def persist_stated_drain(self, instance: str, start_time_ms: int) -> None:
        """Persist a drain that the backend server stated in an answer.

        Args:
            instance: Id of the backend server.
            start_time_ms: Unix time of its start, in milliseconds.
        """
        self._supervisor.start_once(
            f"stated drain of {instance} started at {start_time_ms}",
            lambda: self._persist_drain(instance, start_time_ms),
        )

    def _estimate_start_time(self, instance: str) -> int:
        """Return the reported start of an instance in Unix ms; now if there is none.

        A drain covers all lifetimes that began up to the time that it names.
        """
        reported_instance, reported_start_ms = self._backend.lifetime
        if instance == reported_instance:
            return reported_start_ms
        return int(time.time() * 1000)

    def _is_earlier_lifetime(self, instance: str, start_time_ms: int) -> bool:
        """Return whether the reported process has replaced a lifetime of its ID."""
        reported_instance, reported_start_ms = self._backend.lifetime
        return instance == reported_instance and start_time_ms < reported_start_ms

    async def _wait_for_stored_drains(self) -> None:
        """Wait for the drains that the store has, unless it does not answer in time.

        What peers have recorded does not replace them: after a restart of all nodes,
        no peer has any. Without an answer the report is handled first; the drains are
        applied once they are read.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ACK_TIMEOUT_SECONDS):
                await self._drains_loaded.wait()

    async def _load_drains(self) -> None:
        while not self._drains_loaded.is_set():
            try:
                drains = await self._store.list_drains(STORE_TIMEOUT_SECONDS)
            except StoreError as error:
                self._journal.emit(STORE_WRITE_FAILED, what="drains", error=str(error))
                await asyncio.sleep(STORE_RETRY_SECONDS)
                continue
            previous_instance = self._backend.instance
            self.apply_drains(drains)
            self._drains_loaded.set()
            if previous_instance and not self._backend.instance:
                self._broadcast_state()

    async def _persist_drain(self, instance: str, start_time_ms: int) -> bool:
        """Persist a drain; return whether the store or a peer has recorded it."""
        if self._stored.covers(instance, start_time_ms):
            return True
        self._unstored_start_times[instance] = max(
            start_time_ms, self._unstored_start_times.get(instance, 0)
        )
        peers = self._fleet.list_connected()
        self._rng.shuffle(peers)
        replication_tasks = [
            asyncio.create_task(
                peer.replicate_drain(instance, start_time_ms, ACK_TIMEOUT_SECONDS)
            )
            for peer in peers[:DRAIN_REPLICA_COUNT]
        ]
        try:
            async with asyncio.timeout(ACK_TIMEOUT_SECONDS):
                while not self._stored.covers(instance, start_time_ms):
                    self._supervisor.start_once(
                        f"drain of {instance}", lambda: self._write_drain(instance)
                    )
                    await asyncio.sleep(STORED_DRAIN_POLL_SECONDS)
        except TimeoutError:
            # The write continues in the background until the store accepts it.
            pass
        results = await asyncio.gather(*replication_tasks, return_exceptions=True)
        is_replicated = any(not isinstance(result, BaseException) for result in results)
        return is_replicated or self._stored.covers(instance, start_time_ms)

    async def _write_drain(self, instance: str) -> None:
        """Write the drain of an instance's newest lifetime until the store has it."""
        while (start_time_ms := self._unstored_start_times.get(instance)) is not None:
            try:
                await self._store.write_drain(
                    instance, start_time_ms, STORE_TIMEOUT_SECONDS
                )
            except StoreError as error:
                self._journal.emit(STORE_WRITE_FAILED, what="drain", error=str(error))
                await asyncio.sleep(STORE_RETRY_SECONDS)
                continue
            self._stored.add(instance, start_time_ms)
            if self._unstored_start_times[instance] == start_time_ms:
                del self._unstored_start_times[instance]
