"""Runs nodes, stand-in backend servers and a stand-in store in one process."""

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncIterator
from typing import Any, Self

from primroseglade.addresses import parse_address
from primroseglade.observe.events import Journal
from primroseglade.platform.dialect import PlatformDialect
from primroseglade.platform.reports import (
    build_control_handler,
    build_readiness_handler,
)
from primroseglade.platform.store import StoreClient
from primroseglade.sidecar.client_connection import Response
from primroseglade.sidecar.frames import (
    Call,
    encode_frame,
    Frame,
    FrameReader,
    Hello,
)
from primroseglade.sidecar.http_client import ConnectionPool
from primroseglade.sidecar.model import NodeEntry
from primroseglade.sidecar.node import SidecarNode
from primroseglade.sidecar.node_settings import NodeSettings
from primroseglade.stand_ins.mesh_backend import MeshBackend
from primroseglade.stand_ins.store import StoreStandIn

HOST = "api.example"
# Of a connection whose other end is slow to read.
RECEIVE_BUFFER_BYTES = 16_384


# Below the ephemeral ports: one of those, found free, is often taken by an outgoing
# connection of the same test before a node listens on it. Each port is used only once,
# because two nodes with the same port would never start.
PORTS = iter(random.sample(range(20_000, 32_000), 12_000))


def find_address() -> str:
    """Return a free loopback address that is not returned again."""
    for port in PORTS:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
    raise AssertionError("no port is free")


def build_path(name: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route in the operator's configuration format."""
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


# The routes that most tests use.
PATHS = (
    build_path("front", "front"),
    build_path("deep", "deep"),
    build_path("once", "deep", kind="unsafe"),
    build_path("inner", "deep", public=True),
)


def build_configuration(version: int, *paths: dict[str, Any], **changes: Any) -> Any:
    """Return a policy in the operator's configuration format."""
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
    """Return settings of a node, with free addresses."""
    fields: dict[str, Any] = {
        "name": name,
        "zone": "a",
        "zones": {"a": "r", "b": "r", "c": "s"},
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
        "cold_overshoot": 1.0,
    }
    return NodeSettings(**(fields | changes))


def build_node(settings: NodeSettings, store: str) -> SidecarNode:
    """Return a node without starting it."""
    journal = Journal(settings.name, "error")
    return SidecarNode(
        settings,
        PlatformDialect(),
        StoreClient(store, journal),
        journal,
        build_readiness_handler,
        lambda node: build_control_handler(node, journal),
    )


class MeshInstance:
    """A node and its backend server, which run and fail separately."""

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
        """Start the node and the backend server."""
        self.task = asyncio.create_task(self.node.run(self.stopping))
        self.backend_task = asyncio.create_task(self.backend.run())

    async def kill_node(self) -> None:
        """Stop the node without a graceful shutdown."""
        assert self.task is not None
        self.task.cancel()
        await asyncio.wait({self.task})
        await self.node.abort()

    def restart_node(self, **changes: Any) -> None:
        """Start the node anew, as a new process would.

        Args:
            **changes: Settings that differ from before.
        """
        for name, value in changes.items():
            setattr(self.settings, name, value)
        self.stopping = asyncio.Event()
        self.node = build_node(self.settings, self.store)
        self.task = asyncio.create_task(self.node.run(self.stopping))

    async def close(self) -> None:
        """Stop the node and the backend server."""
        if self.backend_task is not None:
            self.backend_task.cancel()
        await self.kill_node()


class Mesh:
    """A stand-in store and the instances that use it."""

    def __init__(self) -> None:
        self.store_address = find_address()
        self.store = StoreStandIn(self.store_address)
        self.instances: list[MeshInstance] = []

    def add(self, service: str, **changes: Any) -> MeshInstance:
        """Add an instance without starting it."""
        name = f"{service}-{len(self.instances)}"
        instance = MeshInstance(
            build_settings(name, service, **changes), self.store_address
        )
        self.instances.append(instance)
        return instance

    async def wait_until_connected(self, seconds: float = 5.0) -> None:
        """Wait until each node knows the others with their backend servers."""
        try:
            async with asyncio.timeout(seconds):
                while not all(
                    self._knows_all_peers(instance) for instance in self.instances
                ):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise AssertionError(self.describe()) from None

    def describe(self) -> str:
        """Return each node's view of the mesh, for the report of a failed test."""
        lines = []
        for instance in self.instances:
            node = instance.node
            lines.append(
                f"{instance.settings.name}: version {node.policies.version}, "
                f"backend {node.backend.instance!r}, peers "
                f"{[(p.entry.name, p.connected, p.state.instance) for p in node.fleet]}"
            )
        return "\n".join(lines)

    def _knows_all_peers(self, instance: MeshInstance) -> bool:
        node = instance.node
        peers = [peer for peer in node.fleet if peer.connected and peer.state.instance]
        expected_peers = len(self.instances) - 1
        return (
            node.ready and bool(node.backend.instance) and len(peers) == expected_peers
        )


@contextlib.asynccontextmanager
async def run_mesh(mesh: Mesh) -> AsyncIterator[Mesh]:
    """Run a mesh's store and instances."""
    store = asyncio.create_task(mesh.store.run())
    await asyncio.sleep(0.05)
    for instance in mesh.instances:
        instance.start()
    try:
        await mesh.wait_until_connected()
        yield mesh
    finally:
        for instance in mesh.instances:
            await instance.close()
        store.cancel()


async def send_request(
    instance: MeshInstance,
    path: str,
    request_id: str = "r1",
    key: str | None = "key-1",
    remaining_ms: int = 2000,
    method: str = "GET",
    body: bytes = b"",
    headers: str = "",
) -> Response:
    """Send one request to a node on a new connection and return the response."""
    pool = ConnectionPool(instance.settings.outbound, 1.0)
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
    """Return a header's value; empty if it is absent."""
    for header, value in answer.headers:
        if header.lower() == name.lower().encode():
            return value.decode()
    return ""


def build_request(request_id: str, headers: str = "", path: str = "/front/a") -> bytes:
    """Return a request without a body, as a caller sends it."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token key-1\r\n"
        f"X-Primroseglade-Request-Id: {request_id}\r\n"
        f"X-Primroseglade-Deadline-Ms: 9000\r\n{headers}\r\n"
    ).encode()


def build_call_frames(instance: MeshInstance, count: int) -> bytes:
    """Return what another node sends that makes calls to an instance."""
    data = encode_frame(Hello(NodeEntry("far-1", "127.0.0.1:9", "a", "far", 1)))
    for number in range(1, count + 1):
        request_id = f"call-{number}"
        call = Call(
            number,
            instance.backend.instance,
            instance.settings.service,
            request_id.encode(),
            9000.0,
            9000.0,
            True,
            False,
            build_request(request_id).removesuffix(b"\r\n"),
            b"",
        )
        data += encode_frame(call)
    return data


class SlowReader:
    """A connection whose other end sends, and which reads only when told to.

    Args:
        address: ``IP:PORT`` to connect to.
        buffer_bytes: Receive buffer of its kernel.
    """

    def __init__(self, address: str, buffer_bytes: int = RECEIVE_BUFFER_BYTES):
        self._address = address
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self._sock.setblocking(False)

    async def send(self, data: bytes) -> None:
        """Connect, send, and leave what comes back unread."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._sock, parse_address(self._address))
        await loop.sock_sendall(self._sock, data)

    async def read(self) -> AsyncIterator[bytes]:
        """Yield what was received, until the other end closes the connection."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while data := await loop.sock_recv(self._sock, 1 << 20):
                yield data

    async def read_frames(self) -> AsyncIterator[Frame]:
        """Yield the frames of a stream between nodes, until it is closed."""
        frame_reader = FrameReader()
        async for data in self.read():
            for frame in frame_reader.feed(data):
                yield frame

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


class FakeServer:
    """A backend server that a test writes byte by byte; closes with its context."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exception: object) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0.01)

    @property
    def address(self) -> str:
        """``IP:PORT`` of the server."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    @property
    def connection_count(self) -> int:
        """Number of connections that were opened."""
        return len(self._writers)

    async def answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer the request with this head."""
        raise NotImplementedError

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self.answer(await reader.readuntil(b"\r\n\r\n"), writer)
