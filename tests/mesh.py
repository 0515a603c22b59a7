"""Nodes beside stand-ins of backend servers and of the store, in one process."""

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncIterator
from typing import Any

from primroseglade.observe.events import Journal
from primroseglade.platform.dialect import PlatformDialect
from primroseglade.platform.reports import build_control, build_ready
from primroseglade.platform.store import StoreClient
from primroseglade.sidecar.http_client import ConnectionPool, Response
from primroseglade.sidecar.node import SidecarNode
from primroseglade.sidecar.node_settings import NodeSettings
from primroseglade.stand_ins.mesh_backend import MeshBackend
from primroseglade.stand_ins.store import StoreStandIn

HOST = "api.example"


# Below the ports that the kernel gives to outgoing connections: one of those, found
# free, is often taken by a connection of the same test before it is listened on.
# Each is handed out once: two nodes with one port would never come up.
PORTS = iter(random.sample(range(20_000, 32_000), 12_000))


def find_address() -> str:
    """Return a loopback address that is free now and stays so."""
    for port in PORTS:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
    raise AssertionError("no port is free")


def build_path(name: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    path = {
        "name": name,
        "path_prefix": f"/{name}/",
        "kind": "safe",
        "timeout": "2000ms",
        "target_latency": "500ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
    return path | changes


# Routes of the mesh that most tests use.
PATHS = (
    build_path("front", "front"),
    build_path("deep", "deep"),
    build_path("once", "deep", kind="unsafe"),
    build_path("inner", "deep", public=True),
)


def build_configuration(version: int, *paths: dict[str, Any], **changes: Any) -> Any:
    """Return a configuration as the operator writes it."""
    tenants = [
        {
            "name": "north",
            "api_keys": ["key-1", "key-2"],
            "priority": 1,
            "rate_per_s": 10_000,
            "burst": 10_000,
        }
    ]
    configuration = {
        "version": version,
        "services": [],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": tenants,
        "virtual_hosts": [{"host": HOST, "paths": list(paths)}],
    }
    return configuration | changes


def build_settings(name: str, service: str, **changes: Any) -> NodeSettings:
    """Return a node's settings with free addresses."""
    fields: dict[str, Any] = {
        "name": name,
        "zone": "a",
        "service": service,
        "backend": find_address(),
        "host": "127.0.0.1",
        "outbound": find_address(),
        "ready": find_address(),
        "control": find_address(),
        "peers": find_address(),
        "metrics": find_address(),
        "first_start": True,
        "grace": 2.0,
        "revoke": 5.0,
        "config_apply": 2.0,
        "retry_ratio": 0.2,
        "retry_fixed": 50,
        "retry_window": 10.0,
        "quota_overshoot": 0.1,
        "quota_slack": 20,
        "quota_window": 5.0,
    }
    return NodeSettings(**(fields | changes))


def build_node(settings: NodeSettings, store: str) -> SidecarNode:
    """Return a node that is not started."""
    journal = Journal(settings.name, "error")
    return SidecarNode(
        settings,
        PlatformDialect(),
        StoreClient(store, journal),
        journal,
        build_ready,
        lambda node: build_control(node, journal),
    )


class Place:
    """A node and the backend server beside it."""

    def __init__(self, settings: NodeSettings, store: str):
        self.settings = settings
        self.store = store
        self.stopping = asyncio.Event()
        self.node = build_node(settings, store)
        self.backend = MeshBackend(
            f"i-{settings.name}", settings.service, settings.backend, settings.control
        )
        self.task: asyncio.Task[None] | None = None
        self.backend_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start both."""
        self.task = asyncio.create_task(self.node.run(self.stopping))
        self.backend_task = asyncio.create_task(self.backend.run())

    async def kill_node(self) -> None:
        """End the node without notice."""
        assert self.task is not None
        self.task.cancel()
        await asyncio.wait({self.task})
        await self.node.abort()

    def start_node_again(self, **changes: Any) -> None:
        """Start another process of the same node."""
        for name, value in changes.items():
            setattr(self.settings, name, value)
        self.stopping = asyncio.Event()
        self.node = build_node(self.settings, self.store)
        self.task = asyncio.create_task(self.node.run(self.stopping))

    async def close(self) -> None:
        """End both."""
        if self.backend_task is not None:
            self.backend_task.cancel()
        await self.kill_node()


class Mesh:
    """A store and some places."""

    def __init__(self) -> None:
        self.store_address = find_address()
        self.store = StoreStandIn(self.store_address)
        self.places: list[Place] = []

    def add(self, service: str, **changes: Any) -> Place:
        """Add a node with its backend server; it is not started."""
        name = f"{service}-{len(self.places)}"
        place = Place(build_settings(name, service, **changes), self.store_address)
        self.places.append(place)
        return place

    async def wait_usable(self, seconds: float = 5.0) -> None:
        """Wait until every node knows all others and their backend servers."""
        try:
            async with asyncio.timeout(seconds):
                while not all(self._sees_all(place) for place in self.places):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise AssertionError(self.describe()) from None

    def describe(self) -> str:
        """Return what each node sees, for a failed test's report."""
        lines = []
        for place in self.places:
            node = place.node
            lines.append(
                f"{place.settings.name}: version {node.policies.version}, "
                f"backend {node.backend.instance!r}, peers "
                f"{[(p.entry.name, p.connected, p.state.instance) for p in node.fleet]}"
            )
        return "\n".join(lines)

    def _sees_all(self, place: Place) -> bool:
        node = place.node
        peers = [peer for peer in node.fleet if peer.connected and peer.state.instance]
        others = len(self.places) - 1
        return node.ready and bool(node.backend.instance) and len(peers) == others


@contextlib.asynccontextmanager
async def run_mesh(mesh: Mesh) -> AsyncIterator[Mesh]:
    """Run a mesh's store and places."""
    store = asyncio.create_task(mesh.store.run())
    await asyncio.sleep(0.05)
    for place in mesh.places:
        place.start()
    try:
        await mesh.wait_usable()
        yield mesh
    finally:
        for place in mesh.places:
            await place.close()
        store.cancel()


async def ask(
    place: Place,
    path: str,
    request_id: str = "r1",
    key: str | None = "key-1",
    remaining_ms: int = 2000,
    method: str = "GET",
    body: bytes = b"",
    headers: str = "",
) -> Response:
    """Send one request to a node as a caller does, on a new connection."""
    pool = ConnectionPool(place.settings.outbound, 1.0)
    authorization = f"Authorization: Token {key}\r\n" if key else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Primroseglade-Request-Id: {request_id}\r\n"
        f"X-Primroseglade-Deadline-Ms: {remaining_ms}\r\n"
        f"{authorization}{headers}Content-Length: {len(body)}\r\n\r\n"
    )
    connection = await pool.acquire()
    try:
        return await connection.exchange(head.encode() + body)
    finally:
        connection.close()


def get_header(answer: Response, name: str) -> str:
    """Return a header's value, empty where it is absent."""
    for header, value in answer.headers:
        if header.lower() == name.lower().encode():
            return value.decode()
    return ""
