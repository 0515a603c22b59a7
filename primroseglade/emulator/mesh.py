"""Nodes of an emulated deployment: the nodes' own code without network and store.

Calls and states pass between nodes by function calls, after the delays of the network.
Everything else is that of a real node: routing, admission, queues, retries, warm-up.
"""

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from ..observe.events import Journal
from ..sidecar.backend_dialect import ParsedAnswerHead
from ..sidecar.client_connection import Response
from ..sidecar.frames import (
    Call,
    CallAnswer,
    CallRefused,
    Frame,
    PolicyAnswer,
    PolicyRequest,
    State,
    States,
)
from ..sidecar.health_check import HealthAnswer
from ..sidecar.http_messages import render_status_line, Reply, Request
from ..sidecar.model import (
    BackendState,
    CallerLimits,
    NodeEntry,
    Policy,
    Route,
    RouteKind,
    ServiceOptions,
    StatusReport,
    Tenant,
    WeightedService,
)
from ..sidecar.node import SidecarNode
from ..sidecar.node_settings import NodeSettings
from ..sidecar.outgoing_call import OutgoingCall
from ..sidecar.peer import Peer
from ..sidecar.quota import TokenDecision
from ..sidecar.request_handler import CallerFields
from ..sidecar.statements import StatedLimit, Statements
from ..sidecar.warm_up import WarmUpLimits
from ..verdicts import Refusal
from .backend_server import (
    EmulatedBackendServer,
    LEAVING_HEADER,
    LIMIT_HEADER,
    REFUSED_STATUS,
)
from .deployment import Deployment

HOST = "emulated"
REPORT_INTERVAL_SECONDS = 1.5
# Seconds after which a node's process is up again.
NODE_RESTART_SECONDS = 0.5
HEALTH_PATH = "/health"
RETRY_AFTER = b"Retry-After: "
UNUSED_ADDRESS = "127.0.0.1:0"
WORKSPACE = Tenant("callers", None, 0, 0)
KEY = b"key"
ADMITTED = TokenDecision(granted=True)


class BackendRequest:
    """What an emulated connection sends: a call and the time left for it."""

    __slots__ = ("call", "remaining")

    def __init__(self, call: Call, remaining: float):
        self.call = call
        self.remaining = remaining


class EmulatedDialect:
    """Reads and renders messages of emulated callers and backend servers."""

    def read_request(self, request: Request) -> CallerFields:
        """Return the fields of a request: its ID and timeout are its headers."""
        (request_id, timeout), *key = request.headers
        parent_id = request_id.rpartition(b".")[0]
        return CallerFields(
            request_id, HOST.encode(), KEY if key else b"", float(timeout), parent_id
        )

    def render_request(self, request: Request, service: str, tenant: str) -> bytes:
        """Return the head to forward, of which nothing is needed."""
        return b""

    def render_refusal(self, request_id: bytes, refusal: Refusal) -> Reply:
        """Return the answer that reports a refusal."""
        status = refusal.reason.status
        head = render_status_line(
            status if refusal.verdict.value != "not run" or status == 429 else 503
        )
        if refusal.retry_after is not None:
            head += RETRY_AFTER + str(refusal.retry_after).encode()
        return Reply(head, b"")

    def finish_request(self, call: Call, remaining: float) -> Any:
        """Return what an emulated connection sends."""
        return BackendRequest(call, remaining)

    def get_identity(self, call: Call | OutgoingCall) -> bytes:
        """Return the call's ID: emulated requests differ from each other."""
        return call.request_id

    def read_answer(self, answer: Response) -> ParsedAnswerHead:
        """Return the head of an answer, which is always signed."""
        head = render_status_line(answer.status)
        headers = dict(answer.headers)
        limit = headers.get(LIMIT_HEADER)
        statements = Statements(
            StatedLimit(float(limit)) if limit else None, LEAVING_HEADER in headers
        )
        return ParsedAnswerHead(
            head, b"", True, answer.status == REFUSED_STATUS, statements
        )

    def render_health_check(self, path: str, address: str) -> Any:
        """Return a health check, which is no call."""
        return None

    def read_health(self, answer: Response) -> HealthAnswer | None:
        """Return what the answer to a health check says."""
        (instance, cold_seconds), *_ = answer.headers
        return HealthAnswer(instance.decode(), float(cold_seconds))


class EmulatedConnection:
    """A connection of a node to its backend server."""

    __slots__ = ("_server",)

    def __init__(self, server: EmulatedBackendServer):
        self._server = server

    async def exchange(
        self,
        request: BackendRequest | None,
        accept: Any = None,
        head_only: bool = False,
    ) -> Response:
        """Return the response to a call, or to a health check."""
        if request is None:
            cold_seconds = str(self._server.cold_seconds).encode()
            return Response(200, [(self._server.instance.encode(), cold_seconds)])
        response = await self._server.answer(request.call, request.remaining)
        if accept is not None:
            accept(response)
        return response


class EmulatedPool:
    """Connections of a node to its backend server; there is always a free one."""

    def __init__(self, server: EmulatedBackendServer):
        self._connection = EmulatedConnection(server)

    async def acquire(self, non_idempotent: bool = False) -> EmulatedConnection:
        """Return a connection."""
        return self._connection

    def release(self, connection: EmulatedConnection) -> None:
        """Return a connection to the pool."""

    def close_idle(self) -> None:
        """Close all idle connections."""

    async def probe(self, request: None) -> None:
        """Open a connection: it is never refused, as all ends are known."""


class EmulatedStore:
    """A store that holds nothing; nodes are introduced and configured by the mesh."""

    def decode(self, record: bytes) -> Policy:
        """Return the policy of the mesh; set when the mesh is built."""
        raise NotImplementedError

    async def list_drains(self, timeout: float) -> dict[str, int]:
        """Return no drains."""
        return {}

    async def write_drain(
        self, instance: str, start_time_ms: int, timeout: float
    ) -> None:
        """Record nothing."""

    async def close(self) -> None:
        """Do nothing."""


class ReplySlot:
    """Takes the place of the stream on which a node answers a call."""

    __slots__ = ("frame",)

    def __init__(self) -> None:
        self.frame: Frame | None = None

    def send(self, frame: Frame, route: str = "") -> None:
        """Keep the answer."""
        self.frame = frame

    async def wait_for_room(self, answer_bytes: int) -> None:
        """Return at once: nothing is sent."""


class EmulatedPeer(Peer):
    """Another node, to which calls and questions go through the mesh."""

    def __init__(self, entry: NodeEntry, node: SidecarNode, mesh: "EmulatedMesh"):
        super().__init__(entry, node, Journal(node.entry.name, "error"))
        self._mesh = mesh
        self._node = node

    @property
    def connected(self) -> bool:
        """Whether the other node runs and can be reached."""
        return self._mesh.is_reachable(self._node.entry, self.entry)

    @property
    def is_suspect(self) -> bool:
        """Whether the other node seems to be silent; emulated ones never are."""
        return False

    def send_ping(self, lease_end_ms: int = 0) -> bool:
        """Send no ping: no configuration ages and no rates are emulated."""
        return False

    def lend_share(self, lease_seconds: float) -> bool:
        """Lend nothing."""
        return False

    async def _request(self, frame: Any) -> Frame:
        return await self._mesh.exchange(self._node.entry, self.entry, frame)


class MeshNode:
    """A node and the backend server beside it.

    Attributes:
        node: The node's current process.
        server: The backend server.
        running: Whether the node's process runs.
    """

    __slots__ = ("entry", "node", "running", "server", "task")

    def __init__(self, entry: NodeEntry, server: EmulatedBackendServer):
        self.entry = entry
        self.server = server
        self.running = False
        self.node: SidecarNode
        self.task: asyncio.Task[None]


class EmulatedMesh:
    """All nodes of a deployment.

    Args:
        deployment: The deployment.
        seed: Seed of all random choices.

    Attributes:
        cut_zones: Zones that are cut off from all others.
    """

    def __init__(self, deployment: Deployment, seed: int):
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._policy = build_policy(deployment)
        self._request_ids = itertools.count()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.cut_zones = ""
        self.nodes: dict[str, MeshNode] = {}
        for service in deployment.services.values():
            speeds = itertools.cycle(service.speeds)
            for number, zone in enumerate(service.zones):
                self._add_node(service.name, zone, number, next(speeds))

    def __iter__(self) -> Iterable[MeshNode]:
        return iter(self.nodes.values())

    def start(self) -> None:
        """Start all nodes; their backend servers are warm."""
        for mesh_node in self.nodes.values():
            self.start_node(mesh_node)

    def start_node(self, mesh_node: MeshNode) -> None:
        """Start the process of a node, which knows all others."""
        entry = NodeEntry(
            mesh_node.entry.name,
            UNUSED_ADDRESS,
            mesh_node.entry.zone,
            mesh_node.entry.service,
            int(time.monotonic() * 1000),
        )
        mesh_node.entry = entry
        node = self._build_node(entry)
        mesh_node.node = node
        mesh_node.running = True
        server = mesh_node.server
        node.backend.pool = EmulatedPool(server)
        node._peer_server.send = lambda frame, is_recipient=lambda _: True: (
            self._broadcast(mesh_node, frame, is_recipient)
        )
        for other in self.nodes.values():
            if other is mesh_node:
                continue
            peer = EmulatedPeer(other.entry, node, self)
            node.fleet._peers[other.entry.name] = peer
            if other.running:
                peer.apply_state(other.node.build_full_state().copy())
                known = other.node.fleet._peers[entry.name]
                known.entry = entry
                known.state.sequence = 0
        server.on_crash = node.backend.cold.assume
        server.on_start = lambda: self.spawn(self._report(mesh_node))
        node.policies._apply_record(b"", 0.0, 0.0, "emulator")
        mesh_node.task = self.spawn(self._run_node(mesh_node))

    def stop_node(self, mesh_node: MeshNode) -> None:
        """Kill the process of a node."""
        mesh_node.running = False
        mesh_node.task.cancel()

    async def restart_all(self, down_seconds: float) -> None:
        """Power off all machines; nodes and backend servers come back cold."""
        for mesh_node in self.nodes.values():
            self.stop_node(mesh_node)
            mesh_node.server.crash(down_seconds)
        await asyncio.sleep(down_seconds + NODE_RESTART_SECONDS)
        self.start()

    def is_reachable(self, one: NodeEntry, other: NodeEntry) -> bool:
        """Return whether two nodes can reach each other."""
        if not self.nodes[other.name].running or not self.nodes[one.name].running:
            return False
        return one.zone == other.zone or not (
            one.zone in self.cut_zones or other.zone in self.cut_zones
        )

    def get_delay(self, one: NodeEntry, other: NodeEntry) -> float:
        """Return the one-way delay between two nodes in seconds."""
        if one.zone == other.zone:
            return self._deployment.same_zone_delay
        return self._deployment.cross_zone_delay

    async def exchange(self, one: NodeEntry, other: NodeEntry, frame: Any) -> Frame:
        """Send a call or a question to another node, and return its answer.

        Raises:
            ConnectionError: The other node cannot be reached, or was lost meanwhile.
        """
        if not self.is_reachable(one, other):
            raise ConnectionError("the node cannot be reached")
        delay = self.get_delay(one, other)
        await asyncio.sleep(delay)
        target = self.nodes[other.name].node
        if isinstance(frame, PolicyRequest):
            return PolicyAnswer(frame.id, 0, 0, b"")
        assert isinstance(frame, Call)
        frame.remaining_ms -= delay * 1000
        slot = ReplySlot()
        await asyncio.create_task(target._peer_server._serve(slot, frame))
        await asyncio.sleep(delay)
        if not self.is_reachable(one, other):
            raise ConnectionError("the stream to the node was lost")
        assert isinstance(slot.frame, CallAnswer | CallRefused)
        return slot.frame

    async def call(
        self,
        mesh_node: MeshNode,
        route: str,
        seconds: float,
        nested: bool,
        parent_id: bytes = b"",
    ) -> Reply:
        """Send a request to a node as a caller or its backend server does.

        Args:
            mesh_node: The node.
            route: Name of the route.
            seconds: Time for which the caller waits.
            nested: Whether the backend server makes the call.
            parent_id: ID of the call for which it makes it.
        """
        request_id = str(next(self._request_ids)).encode()
        if parent_id:
            request_id = b"%b.%b" % (parent_id, request_id)
        headers = [(request_id, str(seconds).encode())]
        if not nested:
            headers.append((b"key", KEY))
        request = Request(
            b"GET", f"/{route}/".encode(), headers, b"", True, "", time.monotonic()
        )
        handler = mesh_node.node.request_handler
        return await asyncio.create_task(handler.handle(request))

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a task of the mesh."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """Cancel all tasks of the mesh."""
        for task in list(self._tasks):
            task.cancel()

    def _add_node(self, service: str, zone: str, number: int, speed: float) -> None:
        name = f"{service}-{zone}-{number}"
        entry = NodeEntry(name, UNUSED_ADDRESS, zone, service, 0)

        async def make_call(parent_id: bytes, route: str, seconds: float) -> int:
            described = self._deployment.routes[route]
            seconds = min(seconds, described.budget_ms / 1000)
            node = self.nodes[name]
            reply = await self.call(node, route, seconds, True, parent_id)
            return read_status(reply)

        server = EmulatedBackendServer(
            name,
            self._deployment.services[service],
            self._deployment.routes,
            speed,
            make_call,
            random.Random(self._rng.random()),
        )
        self.nodes[name] = MeshNode(entry, server)

    def _build_node(self, entry: NodeEntry) -> SidecarNode:
        settings = build_settings(entry, self._deployment)
        store = EmulatedStore()
        store.decode = lambda record: self._policy  # type: ignore[method-assign]
        node = SidecarNode(
            settings,
            EmulatedDialect(),
            store,  # type: ignore[arg-type]
            Journal(entry.name, "error"),
            lambda node: None,  # type: ignore[arg-type,return-value]
            lambda node: None,  # type: ignore[arg-type,return-value]
        )
        node._rng.seed(self._rng.random())
        node.rates.quotas.acquire = (  # type: ignore[method-assign]
            lambda tenant, version, rolled_out, deliver: deliver(ADMITTED)
        )
        return node

    async def _run_node(self, mesh_node: MeshNode) -> None:
        """Run the periodic tasks of a node, and report its backend server's status."""
        await asyncio.sleep(self._rng.uniform(0.0, 0.25))
        scheduler = asyncio.create_task(mesh_node.node._scheduler.run())
        try:
            while True:
                await self._report(mesh_node)
                await asyncio.sleep(REPORT_INTERVAL_SECONDS)
        finally:
            scheduler.cancel()

    async def _report(self, mesh_node: MeshNode) -> None:
        server = mesh_node.server
        if server.down or not mesh_node.running:
            return
        service = self._deployment.services[mesh_node.entry.service]
        report = StatusReport(
            server.instance,
            service.name,
            UNUSED_ADDRESS,
            service.slots,
            BackendState.READY,
            server.cold_seconds,
            int(time.monotonic() * 1000),
            server.lives + 1,
        )
        await mesh_node.node.registration.handle_report(report)

    def _broadcast(
        self, sender: MeshNode, frame: Frame, is_recipient: Callable[[NodeEntry], bool]
    ) -> None:
        loop = asyncio.get_running_loop()
        by_delay: dict[float, list[MeshNode]] = {}
        for other in self.nodes.values():
            if other is sender or not is_recipient(other.entry):
                continue
            if self.is_reachable(sender.entry, other.entry):
                delay = self.get_delay(sender.entry, other.entry)
                by_delay.setdefault(delay, []).append(other)
        for delay, recipients in by_delay.items():
            loop.call_later(delay, self._deliver, sender, frame, recipients)

    def _deliver(
        self, sender: MeshNode, frame: Frame, recipients: list[MeshNode]
    ) -> None:
        for recipient in recipients:
            if not recipient.running:
                continue
            node = recipient.node
            if isinstance(frame, State):
                peer = node.fleet._peers[sender.entry.name]
                if peer.apply_state(frame.state.copy()) and frame.relay:
                    node.relay_state(peer)
            elif isinstance(frame, States):
                for name, state in frame.states:
                    node.apply_relayed_state(name, state.copy())


def read_status(reply: Reply) -> int:
    """Return the status of a reply."""
    return int(reply.head[9:12])


def read_retry_after(reply: Reply) -> float | None:
    """Return the time after which a refused caller should come back, if given."""
    _, found, value = reply.head.partition(RETRY_AFTER)
    return float(value) if found else None


def build_policy(deployment: Deployment) -> Policy:
    """Return the configuration of a deployment: one host, one workspace, no rates."""
    routes = [
        Route(
            route.name,
            HOST,
            f"/{route.name}/",
            RouteKind.SAFE if route.idempotent else RouteKind.UNSAFE,
            [WeightedService(route.service, 1.0)],
            route.timeout_ms / 1000,
            route.target_ms / 1000,
            route.priority,
            2,
            not route.value,
        )
        for route in deployment.routes.values()
    ]
    services = {}
    for service in deployment.services.values():
        limits = None
        if service.cold_calls_per_second:
            limits = WarmUpLimits(
                service.cold_calls_per_second, service.warm_up_seconds
            )
        services[service.name] = ServiceOptions(service.name, HEALTH_PATH, limits)
    return Policy(1, routes, {KEY: WORKSPACE}, CallerLimits(), services, {})


def build_settings(entry: NodeEntry, deployment: Deployment) -> NodeSettings:
    """Return the settings of an emulated node."""
    return NodeSettings(
        name=entry.name,
        zone=entry.zone,
        zones=dict.fromkeys(deployment.zones, "region"),
        service=entry.service,
        backend=UNUSED_ADDRESS,
        host="127.0.0.1",
        outbound=UNUSED_ADDRESS,
        ready=UNUSED_ADDRESS,
        control=UNUSED_ADDRESS,
        peers=UNUSED_ADDRESS,
        metrics=UNUSED_ADDRESS,
        first_start=True,
        grace=6.0,
        revoke=1e6,
        config_apply=1e6,
        retry_ratio=0.2,
        retry_fixed=deployment.retry_fixed,
        retry_window=10.0,
        quota_overshoot=0.1,
        quota_slack=20,
        quota_window=5.0,
        cold_overshoot=deployment.cold_overshoot,
    )
