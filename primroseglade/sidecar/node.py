"""A sidecar node beside a backend server: assembly, start and graceful shutdown."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Collection
from typing import Protocol

from ..observe.events import (
    Journal,
    NODE_STARTED,
    NODE_STOPPED,
    NODE_STOPPING,
)
from ..supervisor import Supervisor
from .admission import Admission
from .answer_sizes import AnswerSizes
from .backend import Backend
from .backend_dialect import BackendDialect
from .backend_registration import BackendRegistration
from .call_graph import CallGraph
from .call_ratios import CallRatioEstimator
from .cross_zone_bytes import (
    CROSS_ZONE_LOG_INTERVAL_SECONDS,
    CrossZoneBytes,
    log_cross_zone_bytes,
)
from .deadlines import Deadlines
from .dispatch import Dispatcher
from .evacuations import Evacuations
from .fleet import Fleet
from .frames import PolicyAnswer, TokenGrant, TokenRequest
from .health_check import HealthChecker, HealthDialect
from .http_server import build_local_server, HttpServer
from .introduction import Introduction
from .load_balancing import compute_cross_zone_surcharge_ms
from .load_monitor import LoadMonitor
from .load_state import build_load_state
from .model import (
    NodeEntry,
    NodeState,
    Policy,
)
from .node_metrics import MAX_REPORTED_AGE_SECONDS, NodeMetrics
from .node_settings import NodeSettings
from .node_store import NodeStore
from .operator_requests import build_operator_handler
from .peer import Peer
from .peer_monitor import PeerMonitor, READER_POLL_SECONDS
from .peer_server import PeerServer
from .periodic_scheduler import PeriodicScheduler
from .policy_tracker import PolicyTracker, STORE_SOURCE
from .rate_control import RateControl
from .rate_monitor import RATE_LOG_INTERVAL_SECONDS
from .rate_tolerance import RateTolerance
from .request_handler import CallerDialect, RequestHandler
from .request_limit import RequestLimit
from .retry_budget import RetryBudget
from .running_calls import RunningCalls
from .server_connection import Handler
from .state_broadcast import BROADCAST_SECONDS, StateBroadcaster
from .suspect_calls import SuspectCalls
from .warm_up import WarmUp
from .zone_costs import ZoneCosts
from .zone_rules import ZoneRules

# Minimum time for which a node serves requests after it is told to stop. Callers stop
# sending after two failed readiness checks, one second apart; a few more requests
# arrive on connections that were being opened meanwhile.
MIN_LAME_DUCK_SECONDS = 3.2
# After this fraction of the grace period, a request is accepted only if its deadline
# lies before the end of the shutdown. Requests accepted from then on are thus never cut
# off.
DEADLINE_CHECK_GRACE_RATIO = 0.45
DRAIN_POLL_SECONDS = 0.05
BACKEND_LOG_INTERVAL_SECONDS = 1.0
# Reserved at the end of the grace period for the exit of the process on a machine short
# of processor time; a larger margin would cut off calls that are about to be answered.
STOP_MARGIN_SECONDS = 0.85


class NodeDialect(CallerDialect, BackendDialect, HealthDialect, Protocol):
    """The protocol spoken with callers and backend servers."""


HandlerFactory = Callable[["SidecarNode"], Handler]


class SidecarNode:
    """Owns the components of one node process and runs them.

    Args:
        settings: Settings of this process.
        dialect: The protocol spoken with callers and backend servers.
        store: Client of the platform's store.
        journal: Receives events.
        build_readiness_handler: Builds the handler of readiness checks.
        build_control_handler: Builds the handler of the backend server's status
            reports.
    """

    def __init__(
        self,
        settings: NodeSettings,
        dialect: NodeDialect,
        store: NodeStore,
        journal: Journal,
        build_readiness_handler: HandlerFactory,
        build_control_handler: HandlerFactory,
    ):
        self._settings = settings
        self._store = store
        self._journal = journal
        self._rng = random.Random()
        self._stopping = False
        self._entry = NodeEntry(
            settings.name,
            settings.peers,
            settings.zone,
            settings.service,
            int(time.time() * 1000),
        )
        self._supervisor = Supervisor("node", journal)
        self.evacuations = Evacuations(
            settings.zones, journal, self._handle_evacuations
        )
        self.policies = PolicyTracker(
            store,
            self.evacuations,
            settings.revoke,
            settings.config_apply,
            settings.first_start,
            journal,
            self._broadcast_state,
            self._handle_policy,
        )
        self.call_ratios = CallRatioEstimator()
        self.running_calls = RunningCalls()
        self.backend = Backend(
            settings.service,
            settings.backend,
            dialect,
            self.call_ratios,
            self.running_calls,
            WarmUp(
                lambda: self.policies.get_warm_up_limits(settings.service),
                settings.cold_overshoot,
                time.monotonic,
            ),
            RequestLimit(time.monotonic, assume_limited=not settings.first_start),
            journal,
            self._broadcast_state,
            self._persist_stated_drain,
            self._start_health_checks,
        )
        self._health_checker = HealthChecker(
            settings.backend,
            self.backend.pool,
            dialect,
            lambda: self.policies.get_health_path(settings.service),
            lambda: bool(self.backend.instance) and self.backend.warm_up.is_assumed,
            self.backend.queue.record_start,
            self.backend.cold.record_health,
        )
        self.fleet = Fleet(self, self._supervisor, journal, self._rng)
        self._introduction = Introduction(
            self._entry,
            store,
            self.fleet,
            settings.first_start,
            journal,
            self._rng,
            self._handle_nodes_listed,
        )
        self.registration = BackendRegistration(
            self.backend,
            self.fleet,
            store,
            self._supervisor,
            journal,
            self._rng,
            settings.first_start,
            self._broadcast_state,
        )
        self.rates = RateControl(
            self._entry,
            self.fleet,
            self._count_nodes,
            settings.first_start,
            RateTolerance(
                settings.quota_overshoot, settings.quota_slack, settings.quota_window
            ),
            journal,
            self._rng,
        )
        self.admission = Admission(self._rng)
        self.graph = CallGraph()
        self.answer_sizes = AnswerSizes()
        self.zone_costs = ZoneCosts(self.graph, self._estimate_cross_zone_surcharge_ms)
        self.node_metrics = NodeMetrics()
        self.cross_zone_bytes = CrossZoneBytes()
        self.retry_budget = RetryBudget(
            settings.retry_ratio, settings.retry_fixed, settings.retry_window
        )
        self._zone_rules = ZoneRules(settings.zones, self.evacuations, journal)
        self.suspects = SuspectCalls(
            settings,
            self.backend,
            self.fleet,
            dialect,
            journal,
            self._broadcast_state,
            self._health_checker.render,
        )
        self.dispatcher = Dispatcher(
            settings.name,
            self.backend,
            self.suspects,
            self.fleet,
            self.retry_budget,
            self.graph,
            self.zone_costs,
            self.answer_sizes,
            self._zone_rules,
            journal,
            self.node_metrics,
        )
        self.load_monitor = LoadMonitor(
            self.backend,
            self.fleet,
            self.admission,
            self.graph,
            self.zone_costs,
            self.call_ratios,
            self.policies,
            journal,
        )
        self._deadlines = Deadlines()
        self.request_handler = RequestHandler(
            settings.service,
            dialect,
            self.policies,
            self.rates.quotas,
            self.admission,
            self.graph,
            self.call_ratios,
            self.running_calls,
            self.retry_budget,
            self.dispatcher,
            self._deadlines,
            journal,
            self.node_metrics,
            self._rng,
        )
        self._peer_monitor = PeerMonitor(
            settings.name, self.fleet, self.policies, self._report_stall
        )
        self._peer_server = PeerServer(settings.peers, self, self.dispatcher, journal)
        self._state_broadcaster = StateBroadcaster(
            self._entry,
            self.fleet,
            self._peer_server,
            lambda: build_load_state(self),
            self.call_ratios,
        )
        self._scheduler = self._build_scheduler()
        self._outbound_server = HttpServer(
            settings.outbound,
            self.request_handler.handle,
            lambda: self.policies.limits,
        )
        self._readiness_server = build_local_server(
            settings.ready, build_readiness_handler(self)
        )
        self._control_server = build_local_server(
            settings.control, build_control_handler(self)
        )
        self._metrics_server = build_local_server(
            settings.metrics, build_operator_handler(self)
        )

    @property
    def entry(self) -> NodeEntry:
        """Address, zone, service and start time of this node."""
        return self._entry

    @property
    def drains(self) -> dict[str, int]:
        """Draining backend servers of other nodes: start times (Unix ms) by id."""
        return self.registration.recorded_drains

    @property
    def backend_calls_in_flight(self) -> int:
        """Calls running and queued at the backend server."""
        return self.backend.queue.in_flight

    @property
    def slowdown_percent(self) -> int:
        """How long work takes at the backend server, in percent of the average."""
        return self.backend.slowdown_percent

    @property
    def ready(self) -> bool:
        """Whether callers should send requests to this node."""
        return self.policies.policy is not None and not self._stopping

    async def run(self, stop_requested: asyncio.Event) -> None:
        """Serve until asked to stop or until a task fails for good, then shut down.

        Args:
            stop_requested: Set to request the shutdown.

        Raises:
            ExceptionGroup: A supervised task failed too often.
        """
        self._start()
        waiters = [
            asyncio.create_task(stop_requested.wait()),
            asyncio.create_task(self._supervisor.wait_failed()),
        ]
        done, pending = await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        await self._stop()
        for task in done:
            task.result()

    async def abort(self) -> None:
        """Close everything without draining, as a killed process would; for tests."""
        self._abort_connections()
        await self._supervisor.close()
        # Those that were accepted before the listeners closed.
        self._abort_connections()
        self._deadlines.close()
        await self._store.close()

    def build_full_state(self) -> NodeState:
        """Return the full state, which this node sends first on a new stream."""
        state = self._state_broadcaster.build_full_state()
        self.suspects.tracker.add_all(state)
        return state

    def record_ended_servers(self, state: NodeState) -> None:
        """Record the backend servers that ended under calls, as a state says."""
        self.suspects.tracker.apply_state(state)

    def handle_state(self, peer: Peer) -> None:
        """Fetch the policy from a peer whose state shows a newer version."""
        if peer.state.policy_version > self.policies.version:
            self._supervisor.start_once(
                "newer policy", lambda: self.policies.fetch_newer(peer)
            )

    def relay_state(self, peer: Peer) -> None:
        """Relay a peer's state to the nodes of this availability zone."""
        self._state_broadcaster.relay_state(peer.entry.name, peer.state)

    def apply_relayed_state(self, name: str, state: NodeState) -> None:
        """Apply a node's state that another peer relayed."""
        peer = self.fleet.get(name)
        if peer is not None:
            peer.apply_state(state)

    def record_policy_age(
        self, version: int, age_seconds: float, asked_at: float
    ) -> None:
        """Record when a peer's policy was last known to be the newest.

        Args:
            version: The peer's policy version.
            age_seconds: Seconds since that version was last known to be the newest.
            asked_at: When the peer was asked, as returned by ``read_age_clock``.
        """
        self.policies.record_peer_age(version, age_seconds, asked_at)

    def build_policy_answer(self, request_id: int) -> PolicyAnswer:
        """Return the active policy, its version, and how stale it may be."""
        age_ms = int(min(self.policies.age, MAX_REPORTED_AGE_SECONDS) * 1000) + 1
        return PolicyAnswer(
            request_id, self.policies.version, age_ms, self.policies.encoded_policy
        )

    def record_evacuations(
        self, zones: Collection[str], offset: int, peer: str
    ) -> None:
        """Record which zones are evacuated, according to a peer.

        Args:
            zones: The evacuated zones.
            offset: Offset up to which the operator's records are included.
            peer: Name of the peer.
        """
        self.evacuations.replace(zones, offset, peer)

    def record_drain(self, instance: str, start_time_ms: int) -> None:
        """Record that another node's backend server is draining."""
        self.registration.record_drain(instance, start_time_ms)

    def count_requests_in_flight(self) -> int:
        """Return the number of requests in flight at this node.

        These are requests of callers and of the backend server, its reports, and calls
        of other nodes. They count until the sender has taken the whole answer.
        """
        return (
            self._outbound_server.busy_connection_count
            + self._control_server.busy_connection_count
            + self._peer_server.calls_in_flight
            + self._peer_server.unsent_answers_stream_count
        )

    def apply_drains(self, drains: dict[str, int]) -> None:
        """Drain the local backend server if a peer has recorded it as draining.

        The other recorded drains are remembered, in case one of those backend servers
        reports to this node later.

        Args:
            drains: Start times in Unix milliseconds, by instance id. A backend server
                that was started later under the same id is not drained.
        """
        self.registration.apply_drains(drains)

    def handle_peer_clock_known(self) -> None:
        """Renew the lease of this node's share of the rate limits.

        The end of a lease is given on the receiver's clock, so no lease can be sent to
        a peer until its clock is known.
        """
        self.rates.renew_lease(time.monotonic())

    def record_lease(self, lender: NodeEntry, lease_end_ms: int) -> None:
        """Record that a node lends its share of the rate limits to this node.

        Args:
            lender: The lending node.
            lease_end_ms: End of the lease on this node's ``read_age_clock``, in ms.
        """
        self.rates.record_lease(lender, lease_end_ms)

    def answer_token_request(
        self, sender: str, request: TokenRequest, send: Callable[[TokenGrant], None]
    ) -> None:
        """Answer a node's token request, now or once tokens are available."""
        self.rates.answer(sender, request, send)

    def handle_entry_change(self) -> None:
        """Handle a node that came back at another place or with another service."""
        self.fleet.invalidate_index()

    def handle_hello(self, entry: NodeEntry) -> None:
        """Add a node that opened a stream to this one."""
        self.rates.record_node_start(entry)
        self.fleet.update_node(entry)

    def _abort_connections(self) -> None:
        self._peer_server.abort()
        for server in (
            self._outbound_server,
            self._readiness_server,
            self._control_server,
            self._metrics_server,
        ):
            server.abort()

    def _start(self) -> None:
        tasks: tuple[tuple[str, Callable[[], Awaitable[None]]], ...] = (
            ("peer server", self._peer_server.run),
            ("outbound", self._outbound_server.run),
            ("ready", self._readiness_server.run),
            ("control", self._control_server.run),
            ("metrics", self._metrics_server.run),
            ("policy", self.policies.run_long_polls),
            ("policy age", self.policies.run_periodic_reads),
            ("introduction", self._introduction.run),
            ("ticker", self._scheduler.run),
            ("silence", self._peer_monitor.run_liveness_checks),
        )
        for name, run_task in tasks:
            self._supervisor.start(name, run_task)
        self._journal.emit(
            NODE_STARTED,
            zone=self._settings.zone,
            service=self._settings.service,
            first_start=self._settings.first_start,
        )

    def _build_scheduler(self) -> PeriodicScheduler:
        scheduler = PeriodicScheduler(self._rng)
        scheduler.add(self.load_monitor.update)
        scheduler.add(self._state_broadcaster.relay_pending)
        scheduler.add(self._state_broadcaster.broadcast, BROADCAST_SECONDS)
        # Before the poll of the policy age: leases and polls are both sent as pings,
        # and a peer gets no second ping while one is unanswered.
        scheduler.add(self.rates.renew_lease)
        scheduler.add(self._peer_monitor.poll_policy_age, READER_POLL_SECONDS)
        scheduler.add(self.rates.monitor.log_buckets, RATE_LOG_INTERVAL_SECONDS)
        scheduler.add(lambda _: self.backend.log(), BACKEND_LOG_INTERVAL_SECONDS)
        scheduler.add(
            lambda _: log_cross_zone_bytes(self.cross_zone_bytes, self._journal),
            CROSS_ZONE_LOG_INTERVAL_SECONDS,
        )
        return scheduler

    async def _stop(self) -> None:
        """Drain in-flight requests, then close all connections.

        Broadcasts the stop to the other nodes first, so that they send no more calls
        here. Requests that callers and the backend server still send are served, and
        the responses ask the senders to close their connections.
        """
        stop_started_at = time.monotonic()
        self._stopping = True
        self._journal.emit(NODE_STOPPING, in_flight=self.count_requests_in_flight())
        self.backend.stop()
        self._broadcast_state()
        self._outbound_server.request_connection_close()
        stop_deadline = stop_started_at + self._settings.grace - STOP_MARGIN_SECONDS
        earliest_stop = min(stop_started_at + MIN_LAME_DUCK_SECONDS, stop_deadline)
        deadline_check_after = (
            stop_started_at + DEADLINE_CHECK_GRACE_RATIO * self._settings.grace
        )
        self.request_handler.stop(deadline_check_after, stop_deadline)
        while time.monotonic() < stop_deadline:
            if (
                time.monotonic() >= earliest_stop
                and not self.count_requests_in_flight()
            ):
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._outbound_server.stop_accepting()
        self._outbound_server.close_idle()
        await asyncio.sleep(DRAIN_POLL_SECONDS)
        # Requests may have arrived just before.
        while time.monotonic() < stop_deadline and self.count_requests_in_flight():
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._peer_server.finish()
        self._journal.emit(
            NODE_STOPPED,
            cut=self.count_requests_in_flight(),
            seconds=round(time.monotonic() - stop_started_at, 2),
        )
        await self._supervisor.close()
        self._deadlines.close()
        await self._store.close()

    def _count_nodes(self) -> int:
        """Return the number of known nodes; 0 until the store's nodes were listed."""
        return len(self.fleet) if self._introduction.nodes_listed else 0

    def _estimate_cross_zone_surcharge_ms(self, name: str) -> float:
        route = self.policies.routes.by_name.get(name)
        latency_tolerance = route.latency_tolerance if route is not None else 0.0
        return compute_cross_zone_surcharge_ms(
            latency_tolerance, self.answer_sizes.estimate(name)
        )

    def _report_stall(self, recently_stalled: bool) -> None:
        self._outbound_server.recently_stalled = recently_stalled

    def _handle_nodes_listed(self) -> None:
        self.rates.renew_lease(time.monotonic())

    def _handle_policy(self, policy: Policy) -> None:
        self._zone_rules.apply_policy(policy)
        self.backend.enable()

    def _handle_evacuations(self, source: str) -> None:
        self.backend.set_evacuated(self._entry.zone in self.evacuations.zones)
        if source == STORE_SOURCE:
            self._broadcast_state()

    def _persist_stated_drain(self, instance: str, start_time_ms: int) -> None:
        self.registration.persist_stated_drain(instance, start_time_ms)

    def _start_health_checks(self) -> None:
        self._supervisor.start_once("health check", self._health_checker.run)

    def _broadcast_state(self) -> None:
        self._state_broadcaster.broadcast_now()
