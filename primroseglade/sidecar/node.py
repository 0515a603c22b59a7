"""One node beside a backend server: its parts put together, started and stopped."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from ..observe.events import (
    Journal,
    NODE_STARTED,
    NODE_STOPPED,
    NODE_STOPPING,
    STORE_WRITE_FAILED,
)
from ..supervisor import Supervisor
from .admission import Admission
from .answer_sizes import AnswerSizes
from .backend import Backend, BackendDialect
from .backend_registration import Leaves
from .call_graph import CallGraph
from .call_ratios import OwnCalls
from .cross_zone_bytes import BYTES_SECONDS, tell_crossed, ZoneBytes
from .deadlines import Deadlines
from .dispatch import Dispatcher
from .fleet import Fleet
from .frames import PolicyAnswer, TokenGrant, TokenRequest
from .http_server import build_local_server, HttpServer
from .load_balancing import price_other_zone
from .load_monitor import LoadWatch
from .model import (
    NodeEntry,
    NodeState,
)
from .node_metrics import build_metrics, LONGEST_AGE_SECONDS, Meter
from .node_settings import NodeSettings
from .node_store import NodeStore
from .peer import Peer
from .peer_monitor import PeerWatch, READER_ASK_SECONDS
from .peer_server import PeerServer
from .periodic_scheduler import Ticker
from .policy_tracker import PolicyKeeper, StoreError
from .rate_control import RateControl
from .rate_monitor import RATE_LOG_SECONDS
from .rate_tolerance import Allowance
from .request_handler import CallerDialect, Entry
from .retry_budget import RetryBudget
from .server_connection import Handler
from .state_broadcast import TELL_SECONDS, Teller
from .zone_costs import ZoneCosts

STORE_RETRY_SECONDS = 0.5
STORE_TIMEOUT_SECONDS = 1.5
# Callers are told of a stop by two readiness checks, a second apart; some more come on
# connections that they are opening.
LAME_DUCK_SECONDS = 3.2
# Part of the grace after which callers that still come are served only if they must be
# answered before the end. Users excuse what is cut off only of those that came early.
CHOOSY_PART = 0.45
IDLE_POLL_SECONDS = 0.05
# Kept of the time that the platform gives, for the end of the process itself on a
# starved machine; more would cut calls that are about to be answered.
STOP_MARGIN_SECONDS = 0.85


class NodeDialect(CallerDialect, BackendDialect, Protocol):
    """How to speak to callers and backend servers."""


HandlerFactory = Callable[["SidecarNode"], Handler]


class SidecarNode:
    """A node process's parts.

    Args:
        settings: Of this process.
        dialect: How to speak to callers and backend servers.
        store: The platform's.
        journal: Where events are told.
        build_ready: Builds what answers readiness checks.
        build_control: Builds what takes the backend server's reports.
    """

    def __init__(
        self,
        settings: NodeSettings,
        dialect: NodeDialect,
        store: NodeStore,
        journal: Journal,
        build_ready: HandlerFactory,
        build_control: HandlerFactory,
    ):
        self._settings = settings
        self._store = store
        self._journal = journal
        self._rng = random.Random()
        self._stopping = False
        self._introduced = False
        self._entry = NodeEntry(
            settings.name,
            settings.peers,
            settings.zone,
            settings.service,
            int(time.time() * 1000),
        )
        self._supervisor = Supervisor("node", journal)
        self.policies = PolicyKeeper(
            store,
            settings.revoke,
            settings.config_apply,
            settings.first_start,
            journal,
            self._tell_all,
        )
        self.own_calls = OwnCalls()
        self.backend = Backend(
            settings.service,
            settings.backend,
            dialect,
            self.own_calls,
            journal,
            self._tell_all,
        )
        self.fleet = Fleet(self, self._supervisor, journal, self._rng)
        self.leaves = Leaves(
            self.backend,
            self.fleet,
            store,
            self._supervisor,
            journal,
            self._rng,
            settings.first_start,
            self._tell_all,
        )
        self.rates = RateControl(
            self._entry,
            self.fleet,
            self._count_nodes,
            settings.first_start,
            Allowance(
                settings.quota_overshoot, settings.quota_slack, settings.quota_window
            ),
            journal,
            self._rng,
        )
        self.admission = Admission(self._rng)
        self.graph = CallGraph()
        self.answer_sizes = AnswerSizes()
        self.zone_costs = ZoneCosts(self.graph, self._price_crossing)
        self.meter = Meter()
        self.crossed = ZoneBytes()
        self.budget = RetryBudget(
            settings.retry_ratio, settings.retry_fixed, settings.retry_window
        )
        self.dispatcher = Dispatcher(
            settings.name,
            self.backend,
            self.fleet,
            self.budget,
            self.graph,
            self.zone_costs,
            self.answer_sizes,
            journal,
            self.meter,
        )
        self._load_watch = LoadWatch(
            self.backend,
            self.fleet,
            self.admission,
            self.graph,
            self.zone_costs,
            self.own_calls,
            self.policies,
            journal,
        )
        self._deadlines = Deadlines()
        self.entry_point = Entry(
            settings.service,
            dialect,
            self.policies,
            self.rates.quotas,
            self.admission,
            self.graph,
            self.own_calls,
            self.budget,
            self.dispatcher,
            self._deadlines,
            journal,
            self.meter,
            self._rng,
        )
        self._peer_watch = PeerWatch(
            settings.name, self.fleet, self.policies, self._note_late
        )
        self._peer_server = PeerServer(settings.peers, self, self.dispatcher, journal)
        self._teller = Teller(
            self._entry,
            self.fleet,
            self._peer_server,
            self._build_load,
            self.own_calls,
        )
        self._ticker = self._build_ticker()
        self._outbound = HttpServer(
            settings.outbound,
            self.entry_point.handle,
            lambda: self.policies.limits,
        )
        self._ready = build_local_server(settings.ready, build_ready(self))
        self._control = build_local_server(settings.control, build_control(self))
        self._metrics = build_local_server(settings.metrics, build_metrics(self))

    @property
    def entry(self) -> NodeEntry:
        """How this node is found."""
        return self._entry

    @property
    def drains(self) -> dict[str, int]:
        """Backend servers beside other nodes that leave, kept for those."""
        return self.leaves.remembered

    @property
    def occupied(self) -> int:
        """Calls at work and waiting at the backend server."""
        return self.backend.queue.occupied

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.policies.policy is not None and not self._stopping

    async def run(self, stopping: asyncio.Event) -> None:
        """Start, serve until told to stop, and stop.

        Raises:
            ExceptionGroup: A part failed too often.
        """
        self._start()
        waits = [
            asyncio.create_task(stopping.wait()),
            asyncio.create_task(self._supervisor.wait_failed()),
        ]
        done, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        await self._stop()
        for task in done:
            task.result()

    async def abort(self) -> None:
        """End without notice, as a killed process does; for tests."""
        self._peer_server.abort()
        servers = (self._outbound, self._ready, self._control, self._metrics)
        for server in servers:
            server.abort()
        await self._supervisor.close()
        self._deadlines.close()
        await self._store.close()

    def build_state(self) -> NodeState:
        """Return all that this node tells of itself."""
        return self._teller.build_whole()

    def note_state(self, peer: Peer) -> None:
        """Take in what a peer told of itself."""
        if peer.state.policy_version > self.policies.version:
            self._supervisor.start_once(
                "newer policy", lambda: self.policies.note_newer(peer)
            )

    def hand_on(self, peer: Peer) -> None:
        """Tell the neighbours what a peer told."""
        self._teller.hand_on(peer.entry.name, peer.state)

    def take_handed_on(self, name: str, state: NodeState) -> None:
        """Take in what a peer told, from one that handed it on."""
        peer = self.fleet.get(name)
        if peer is not None:
            peer.take_state(state)

    def note_policy_age(self, version: int, age: float, asked_at: float) -> None:
        """Take in how old a peer's configuration is, asked at that moment."""
        self.policies.note_peer_age(version, age, asked_at)

    def build_policy_answer(self, request_id: int) -> PolicyAnswer:
        """Return the configuration in force."""
        age = int(min(self.policies.age, LONGEST_AGE_SECONDS) * 1000) + 1
        return PolicyAnswer(
            request_id, self.policies.version, age, self.policies.record
        )

    def note_drain(self, instance: str, born: int) -> None:
        """Remember that a backend server beside another node leaves."""
        self.leaves.remember(instance, born)

    def count_busy(self) -> int:
        """Return the requests under way here, of callers and of other nodes."""
        return self._outbound.busy + self._peer_server.busy

    def learn_drains(self, drains: dict[str, int]) -> None:
        """Take in which backend servers leave, as a peer remembers."""
        self.leaves.learn(drains)

    def note_clock(self) -> None:
        """Take in that a peer's clock is known from now on."""
        self.rates.renew_lease(time.monotonic())

    def note_lease(self, lender: NodeEntry, lease_ms: int) -> None:
        """Take in that a node lends its share of all rates."""
        self.rates.note_lease(lender, lease_ms)

    def answer_token_request(
        self, sender: str, request: TokenRequest, send: Callable[[TokenGrant], None]
    ) -> None:
        """Answer a node's request for tokens, at once or later."""
        self.rates.answer(sender, request, send)

    def greet(self, entry: NodeEntry) -> None:
        """Take in a node that introduces itself."""
        self.rates.note_start(entry)
        self.fleet.learn(entry)

    def _start(self) -> None:
        parts: tuple[tuple[str, Callable[[], Awaitable[None]]], ...] = (
            ("peer server", self._peer_server.run),
            ("outbound", self._outbound.run),
            ("ready", self._ready.run),
            ("control", self._control.run),
            ("metrics", self._metrics.run),
            ("policy", self.policies.follow),
            ("policy age", self.policies.confirm),
            ("introduction", self._introduce),
            ("ticker", self._ticker.run),
            ("silence", self._peer_watch.run_silence),
        )
        for name, work in parts:
            self._supervisor.start(name, work)
        self._journal.emit(
            NODE_STARTED,
            zone=self._settings.zone,
            service=self._settings.service,
            first_start=self._settings.first_start,
        )

    def _build_ticker(self) -> Ticker:
        ticker = Ticker(self._rng)
        ticker.add(self._load_watch.look)
        ticker.add(self._teller.hand_on_waiting)
        ticker.add(self._teller.tell, TELL_SECONDS)
        # Before the peers are asked: the question to the reader carries the lease.
        ticker.add(self.rates.renew_lease)
        ticker.add(self._peer_watch.ask, READER_ASK_SECONDS)
        ticker.add(self.rates.watch.log_buckets, RATE_LOG_SECONDS)
        ticker.add(lambda _: tell_crossed(self.crossed, self._journal), BYTES_SECONDS)
        return ticker

    async def _stop(self) -> None:
        """Stop without cutting a call off.

        Other nodes are told first, so that none sends a call here; what callers and
        the backend server still ask is served, each answer asking to go elsewhere.
        """
        started = time.monotonic()
        self._stopping = True
        self._journal.emit(NODE_STOPPING, in_flight=self.count_busy())
        self.backend.stop()
        self._tell_all()
        self._outbound.ask_to_close()
        latest = started + self._settings.grace - STOP_MARGIN_SECONDS
        earliest = min(started + LAME_DUCK_SECONDS, latest)
        choosy_after = started + CHOOSY_PART * self._settings.grace
        self.entry_point.stop(choosy_after, latest)
        while time.monotonic() < latest:
            if time.monotonic() >= earliest and not self.count_busy():
                break
            await asyncio.sleep(IDLE_POLL_SECONDS)
        self._outbound.close_idle()
        await asyncio.sleep(IDLE_POLL_SECONDS)
        self._peer_server.finish()
        self._journal.emit(
            NODE_STOPPED,
            cut=self.count_busy(),
            seconds=round(time.monotonic() - started, 2),
        )
        await self._supervisor.close()
        self._deadlines.close()
        await self._store.close()

    async def _introduce(self) -> None:
        """Make this node known in the store, then find the others there.

        In this order: of two nodes that start at once, at least one finds the other,
        and introduces itself on the stream that it opens. A restarted node is known:
        the others learn from its stream that its process is a new one.
        """
        written = False
        while True:
            try:
                if self._settings.first_start and not written:
                    await self._store.write_node(self._entry, STORE_TIMEOUT_SECONDS)
                    written = True
                entries = await self._store.list_nodes(STORE_TIMEOUT_SECONDS)
                if not written and not any(map(self._entry.is_found_by, entries)):
                    await self._store.write_node(self._entry, STORE_TIMEOUT_SECONDS)
                    written = True
                    continue
                for entry in entries:
                    self.fleet.learn(entry)
                self._introduced = True
                self.rates.renew_lease(time.monotonic())
                return
            except StoreError as error:
                self._journal.emit(STORE_WRITE_FAILED, what="node", error=str(error))
            await asyncio.sleep(self._rng.uniform(0.5, 1.0) * STORE_RETRY_SECONDS)

    def _count_nodes(self) -> int:
        """Return the number of nodes; 0 before the list of nodes was read."""
        return len(self.fleet) if self._introduced else 0

    def _build_load(self) -> NodeState:
        backend = self.backend
        return NodeState(
            backend.instance,
            backend.slots,
            round(self._load_watch.occupied_lately, 2),
            backend.service_ms,
            round(backend.failing, 3),
            self.policies.version,
            demand=self.admission.describe_demand(time.monotonic()),
            turn_ms=backend.turn_ms,
        )

    def _price_crossing(self, name: str) -> float:
        route = self.policies.routes.by_name.get(name)
        patience = route.patience if route is not None else 0.0
        return price_other_zone(patience, self.answer_sizes.expect(name))

    def _note_late(self, late: bool) -> None:
        self._outbound.late = late

    def _tell_all(self) -> None:
        self._teller.tell_all()
