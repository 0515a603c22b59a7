"""A node: wires its components, starts them and shuts down gracefully."""

import asyncio
import time
from typing import Any

from .announcing import ANNOUNCEMENT_PATH_PREFIX, build_announcement_application
from .calls.backend import BackendServer
from .calls.context import ContextSigner
from .calls.dispatch import Dispatcher, RetryBudget
from .calls.entries import CallersEntry, EntryDependencies, NestedEntry, RelayEntry
from .calls.handles import Handles
from .calls.relay import Relay
from .calls.routing import Router
from .document.fold import Outcome
from .errors import InputError
from .fleet.configuration import Configuration
from .fleet.confirm import Confirmer
from .fleet.control import ControlClient, ControlServer, PeerError
from .fleet.gossip import Gossip
from .fleet.log_reader import LogReader
from .fleet.members import Member, Members, State
from .fleet.puller import PeerPuller
from .fleet.seal import Sealer
from .fleet.snapshots import SnapshotWriter
from .fleet.stream import MembershipStream
from .limits.throttle import Throttle
from .listener import Listener
from .network import Network
from .observe.decisions import DecisionLog
from .observe.events import Journal, NODE_STARTED, NODE_STOPPED, NODE_STOPPING
from .observe.metrics import Metrics
from .observe.traces import Tracer
from .operations.record import OperationTable
from .operations.recorder import Recorder
from .operator_pages import build_operator_application
from .platform.log import LogClient, LogUnavailableError
from .rates.coordinator import RateCoordinator
from .settings.node import NodeSettings
from .supervisor import Supervisor

START_TIMEOUT_SECONDS = 5.0


class Node:
    """Builds, starts and stops the components of a node process.

    Args:
        settings: Settings of this process.
        network: Reachability of addresses; tests inject network partitions.
    """

    def __init__(self, settings: NodeSettings, network: Network | None = None):
        self._settings = settings
        self._network = network or Network()
        self._journal = Journal(settings.instance, settings.log.level)
        self._metrics = Metrics()
        self._decisions = DecisionLog()
        self._tracer = Tracer(
            settings.instance, settings.traces.sampled, settings.traces.kept
        )
        self._supervisor = Supervisor("node", self._journal)
        self._build_fleet()
        self._build_rates()
        self._build_calls()
        self._build_listeners()

    @property
    def settings(self) -> NodeSettings:
        """Settings of the process."""
        return self._settings

    @property
    def members(self) -> Members:
        """Members of the fleet, as known to this node."""
        return self._members

    @property
    def configuration(self) -> Configuration:
        """The configuration that this node has."""
        return self._configuration

    @property
    def confirmer(self) -> Confirmer:
        """Collects from all instances which configuration they have."""
        return self._confirmer

    @property
    def metrics(self) -> Metrics:
        """Metrics of the node."""
        return self._metrics

    @property
    def journal(self) -> Journal:
        """Log of the node's events."""
        return self._journal

    @property
    def decision_records(self) -> DecisionLog:
        """Records of refused and slow calls."""
        return self._decisions

    @property
    def tracer(self) -> Tracer:
        """Creates and keeps the node's spans."""
        return self._tracer

    @property
    def rates(self) -> RateCoordinator:
        """The node's rate limiting."""
        return self._rates

    @property
    def backend(self) -> BackendServer:
        """The local backend server of this node."""
        return self._backend

    @property
    def listeners(self) -> dict[str, str]:
        """Addresses by listener name."""
        addresses = {
            name: listener.address for name, listener in self._listeners.items()
        }
        return addresses | {"control": self._server.address}

    async def start(self) -> None:
        """Open the listeners, and load the configuration from its log or from peers.

        Also returns if no configuration could be loaded. The instance then refuses
        every call as ``not run``, with the reason, until it receives one.
        """
        for name, listener in self._listeners.items():
            self._supervisor.start(name, listener.run)
        self._supervisor.start("control", self._server.run)
        for listener in self._listeners.values():
            await listener.wait_started()
        await self._load_state()
        self._supervisor.start("gossip", self._gossip.run)
        self._supervisor.start("puller", self._puller.run)
        self._supervisor.start("log reader", self._reader.run)
        self._supervisor.start("snapshots", self._snapshots.run)
        self._rates.start(self._supervisor)
        self._supervisor.start(
            "membership stream", lambda: self._stream.run(self._members.own)
        )
        self._supervisor.start(
            "discovery", lambda: self._stream.run_discovery(self._gossip.join_peers)
        )
        self._journal.emit(NODE_STARTED, **self.listeners)

    async def run(self, stopping: asyncio.Event) -> None:
        """Start, serve until ``stopping`` is set, and stop.

        Raises:
            ExceptionGroup: A component failed too often.
        """
        await self.start()
        tasks = [
            asyncio.create_task(stopping.wait()),
            asyncio.create_task(self._supervisor.wait_failed()),
        ]
        done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        await self.stop()
        for task in done:
            task.result()

    async def stop(self) -> None:
        """Shut down gracefully, without interrupting calls in flight.

        The order matters. First the node refuses new work as not run, and announces
        the stop to the fleet. Callers that do not know of the stop yet are served
        through other nodes for some time, and are asked to send no more calls on their
        connections. Only then are calls in flight drained and the listeners closed.
        """
        self._journal.emit(
            NODE_STOPPING, in_flight=self._entry_dependencies.in_flight.count
        )
        self._backend.stop_serving()
        for entry in self._entries:
            entry.disable_keep_alive()
        await self._gossip.announce_change(serving=False)
        await self._stream.leave(self._members.own)
        await asyncio.sleep(self._settings.timeouts.lame_duck)
        drain_timeout = self._settings.timeouts.drain
        try:
            await asyncio.wait_for(
                self._entry_dependencies.in_flight.wait_idle(), drain_timeout
            )
        except TimeoutError:
            pass
        await self._rates.release_leases()
        await self._gossip.announce_change(state=State.LEFT)
        for listener in self._listeners.values():
            listener.stop(drain_timeout)
        await self._close()
        self._journal.emit(NODE_STOPPED)

    async def kill(self) -> None:
        """Stop without notice, as a killed process does; for tests and the demo."""
        for listener in self._listeners.values():
            listener.abort()
        await self._close()

    def describe(self) -> dict[str, Any]:
        """Return the state of the node, and of the fleet as this node knows it."""
        configuration = self._configuration
        return {
            "instance": self._settings.instance,
            "zone": self._settings.zone,
            "time": round(time.time(), 3),
            "listeners": self.listeners,
            "in_flight": self._entry_dependencies.in_flight.count,
            "configuration": {
                "ready": configuration.ready,
                "next_offset": configuration.next_offset,
                "age_seconds": round(min(configuration.age, 1e9), 3),
                "reads_log": self._reader.is_reader(),
            },
            "backend_server": self._backend.to_dict(),
            "throttled": self._throttle.describe(),
            "rates_held": self._rates.holder.describe(),
            "members": sorted(
                (member.to_dict() for member in self._members),
                key=lambda fields: fields["instance"],
            ),
        }

    async def _close(self) -> None:
        await self._supervisor.close()
        self._relay.close()
        await self._client.close()
        await self._log.close()

    async def _load_state(self) -> None:
        """Load configuration and members from the log, else from peers."""
        contacts = list(self._settings.seeds)
        try:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                await self._reader.start()
                contacts = await self._stream.find_contacts() + contacts
        except (TimeoutError, LogUnavailableError):
            pass
        await self._gossip.join_peers(contacts)
        if self._configuration.ready:
            return
        for control in contacts:
            try:
                await self._puller.pull(control)
            except (PeerError, InputError):
                continue
            if self._configuration.ready:
                return

    def _build_fleet(self) -> None:
        settings = self._settings
        sealer = Sealer(settings.fleet_secret, settings.instance)
        self._server = ControlServer(
            settings.listen.control, sealer, self._metrics, self._journal
        )
        self._client = ControlClient(sealer, self._metrics, self._network)
        self._log = LogClient(settings.platform, network=self._network)
        self._configuration = Configuration(
            settings.fleet_secret, self._journal, self._metrics
        )
        own = Member(
            settings.instance,
            int(time.time() * 1000),
            zone=settings.zone,
            control=self._server.address,
        )
        self._members = Members(own)
        self._puller = PeerPuller(
            self._configuration, self._client, lambda: self._gossip.exchange_now()
        )
        self._gossip = Gossip(
            self._members,
            self._client,
            self._journal,
            self._metrics,
            settings.fleet.period,
            settings.fleet.suspicion,
            lambda: (self._configuration.next_offset, self._configuration.age),
            self._puller.handle_peer_offset,
        )
        self._reader = LogReader(
            self._configuration,
            self._log,
            self._members,
            settings.fleet.readers,
            self._journal,
        )
        self._snapshots = SnapshotWriter(
            self._configuration,
            self._log,
            self._reader,
            settings.fleet.snapshot,
            self._journal,
        )
        self._stream = MembershipStream(
            self._log, settings.fleet.renewal, settings.fleet.discovery
        )
        self._confirmer = Confirmer(self._configuration, self._members, self._client)
        self._recorder = Recorder(self._members, self._client, OperationTable())
        for component in (self._puller, self._gossip, self._confirmer, self._recorder):
            component.register(self._server)
        self._configuration.watch(self._apply_outcome)
        self._members.watch(self._handle_member_change)

    def _build_rates(self) -> None:
        self._rates = RateCoordinator(
            self._settings,
            self._members,
            self._configuration,
            self._confirmer,
            self._client,
            self._journal,
            self._metrics,
        )
        self._rates.register(self._server)

    def _build_calls(self) -> None:
        settings = self._settings
        handles = Handles()
        context_signer = ContextSigner(settings.fleet_secret, settings.instance)
        self._entry_dependencies = EntryDependencies(
            settings,
            self._configuration,
            self._journal,
            self._metrics,
            self._tracer,
            self._decisions,
        )
        self._backend = BackendServer(
            settings,
            lambda service, address: self._configuration.document.trusts(
                service, address
            ),
            lambda workspace, key: self._configuration.document.is_key_valid(
                workspace, key
            ),
            self._announce_backend,
            handles,
            self._journal,
            self._metrics,
        )
        self._router = Router(self._members)
        self._throttle = Throttle()
        self._relay = Relay(settings, context_signer, self._network)
        dispatcher = Dispatcher(
            self._members,
            self._router,
            self._backend,
            self._relay,
            RetryBudget(settings.retries.share),
            self._throttle,
            self._journal,
            self._metrics,
        )
        self._callers_entry = CallersEntry(
            self._entry_dependencies,
            dispatcher,
            self._router,
            self._rates.limiter,
            self._recorder,
        )
        self._relay_entry = RelayEntry(
            self._entry_dependencies, self._backend, context_signer
        )
        self._nested_entry = NestedEntry(self._entry_dependencies, dispatcher, handles)
        self._entries = (self._callers_entry, self._relay_entry, self._nested_entry)

    def _build_listeners(self) -> None:
        listen = self._settings.listen
        max_header_bytes = self._settings.limits.header
        announcements = build_announcement_application(self._backend)
        nested = self._nested_entry

        async def serve_backend(scope: Any, receive: Any, send: Any) -> None:
            is_announcement = scope["raw_path"].startswith(ANNOUNCEMENT_PATH_PREFIX)
            await (announcements if is_announcement else nested)(scope, receive, send)

        operator = build_operator_application(self)
        self._listeners = {
            "callers": Listener(self._callers_entry, listen.callers, max_header_bytes),
            "relay": Listener(self._relay_entry, listen.relay, max_header_bytes),
            "backend": Listener(serve_backend, listen.backend, max_header_bytes),
            "operator": Listener(operator, listen.operator, max_header_bytes),
        }
        self._members.update_own(
            callers=self._listeners["callers"].address,
            relay=self._listeners["relay"].address,
            operator=self._listeners["operator"].address,
        )

    def _announce_backend(self) -> None:
        announced = self._backend.announcement
        serving = self._backend.serving
        own = self._members.own
        serving_since_ms = own.serving_since_ms
        if serving and not own.serving:
            serving_since_ms = int(time.time() * 1000)
        self._members.update_own(
            service=announced.service if announced else "",
            backend_server=announced.address if announced else "",
            slots=(announced.slots or 0) if announced else 0,
            serving=serving,
            serving_since_ms=serving_since_ms,
        )

    def _apply_outcome(self, outcome: Outcome) -> None:
        if not outcome.accepted:
            return
        self._backend.apply_document()
        self._rates.apply_document()
        self._gossip.exchange_now()

    def _handle_member_change(self, member: Member, _: Member | None) -> None:
        if not member.reachable:
            self._router.remove_stats(member.instance)
            self._relay.remove_pool(member.relay)
