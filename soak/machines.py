"""Runs a node and its backend server as processes, and injects faults into them."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import time
from collections.abc import Awaitable, Callable

from primroseglade.addresses import join_address

from .proxy import build_fault_proxy, FaultProxy

# All machines use the same ports, each on a loopback address of its own.
(
    OUTBOUND_PORT,
    READY_PORT,
    CONTROL_PORT,
    BACKEND_PORT,
    BACKEND_PROXY_PORT,
    STORE_PROXY_PORT,
) = range(8540, 8546)
INTERNAL_PORTS = [7000, 7015]
SERVICES = ("front", "deep")
ZONES = ("a", "b")
# Delay before a process that ended is restarted, as on the platform.
RESTART_DELAY_SECONDS = 0.3
SHUTDOWN_GRACE_SECONDS = 6.0


class Machine:
    """One emulated machine: a node, its backend server and their fault proxies.

    Args:
        number: Index of the machine, which determines its service, zone and address.
        network_prefix: First three octets of the loopback addresses.
        store_address: ``IP:PORT`` of the store.
        folder: Folder for settings and logs.
    """

    def __init__(
        self, number: int, network_prefix: str, store_address: str, folder: pathlib.Path
    ):
        self.number = number
        self.service = SERVICES[number % len(SERVICES)]
        self.zone = ZONES[number // len(SERVICES) % len(ZONES)]
        self.host = f"{network_prefix}.{10 + number}"
        self.name = f"node-{number}"
        self.folder = folder
        self.drain_acknowledged = asyncio.Event()
        self.events: asyncio.Queue[dict[str, object]] = asyncio.Queue()
        self.backend_proxy: FaultProxy = build_fault_proxy(
            self.host, BACKEND_PROXY_PORT, self.address(BACKEND_PORT)
        )
        self.store_proxy: FaultProxy = build_fault_proxy(
            self.host, STORE_PROXY_PORT, store_address
        )
        # When the node's process was started, stopped, killed, paused or resumed.
        self.node_disturbed_at: list[float] = []
        # When it was killed, paused or resumed, which is never planned.
        self.node_harmed_at: list[float] = []
        self._backend_starts = 0
        self._keeps_instance = False
        self._is_first_start = True
        self._node: asyncio.subprocess.Process | None = None
        self._backend: asyncio.subprocess.Process | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._supervisors: set[asyncio.Task[None]] = set()

    def address(self, port: int) -> str:
        """Return ``IP:PORT`` for a port of this machine."""
        return join_address(self.host, port)

    async def start(self) -> None:
        """Start the proxies, the node and the backend server."""
        await self.backend_proxy.start()
        await self.store_proxy.start()
        await self.start_node()
        await self.start_backend()

    async def start_node(self) -> None:
        """Write the node's settings and start its process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._build_settings()))
        self._is_first_start = False
        self._record_disturbance()
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self._node = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "primroseglade.platform",
                env=os.environ | {"PRIMROSEGLADE_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )
        self._supervise(self._node, self.start_node)

    async def start_backend(self) -> None:
        """Start the backend server, mostly under a new instance id."""
        if not self._keeps_instance:
            self._backend_starts += 1
        options = {
            "instance": f"i-{self.number}-{self._backend_starts}",
            "service": self.service,
            "address": self.address(BACKEND_PORT),
            "reached": self.address(BACKEND_PROXY_PORT),
            "control": self.address(CONTROL_PORT),
        }
        arguments = [part for k, v in options.items() for part in (f"--{k}", v)]
        if self._backend_starts % 2 or self._keeps_instance:
            arguments.append("--leaves-first")
        self._backend = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.backend",
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._reader_task = asyncio.create_task(self._read_events(self._backend))
        self._supervise(self._backend, self.start_backend)

    async def pause_node(self, seconds: float) -> None:
        """Suspend the node's process for some seconds (SIGSTOP)."""
        assert self._node is not None
        self._record_harm()
        _send_signal(self._node, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        _send_signal(self._node, signal.SIGCONT)
        self._record_harm()

    async def kill_node(self) -> None:
        """Kill the node, which is then restarted."""
        self._record_harm()
        await self._restart_node(signal.SIGKILL)

    async def stop_node(self) -> None:
        """Shut the node down gracefully; it is then restarted."""
        await self._restart_node(signal.SIGTERM)

    async def drain_backend(self) -> None:
        """Drain the backend server and start it again under a new instance id."""
        await self._restart_backend(signal.SIGTERM)

    async def drain_backend_twice(self, seconds: float) -> None:
        """Drain the backend server under one instance ID twice.

        The node is killed as soon as the second drain is acknowledged.

        Args:
            seconds: How long the second process serves before it is drained.
        """
        self._keeps_instance = True
        try:
            await self.drain_backend()
            await asyncio.sleep(RESTART_DELAY_SECONDS + seconds)
            self.drain_acknowledged.clear()
            draining = asyncio.create_task(self.drain_backend())
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.drain_acknowledged.wait(), seconds)
            await self.kill_node()
            await draining
        finally:
            self._keeps_instance = False

    async def kill_backend(self) -> None:
        """Kill the backend server and start it again under a new instance id."""
        await self._restart_backend(signal.SIGKILL)

    def tell_backend(self, **command: object) -> None:
        """Tell the backend server what its answers are to state about it."""
        backend = self._backend
        if backend is None or backend.stdin is None or backend.returncode is not None:
            return
        backend.stdin.write(json.dumps(command).encode() + b"\n")

    async def close(self) -> None:
        """Kill both processes and wait for them to end."""
        for task in list(self._supervisors):
            task.cancel()
        for process in (self._node, self._backend):
            if process is not None:
                _send_signal(process, signal.SIGKILL)
                await process.wait()

    async def _restart_node(self, signal_number: signal.Signals) -> None:
        process = self._node
        assert process is not None
        self._record_disturbance()
        _send_signal(process, signal.SIGCONT)
        _send_signal(process, signal_number)
        try:
            await asyncio.wait_for(process.wait(), SHUTDOWN_GRACE_SECONDS)
        except TimeoutError:
            # The platform kills a process that exceeds its shutdown grace period.
            _send_signal(process, signal.SIGKILL)
            await process.wait()
        await asyncio.sleep(RESTART_DELAY_SECONDS)

    async def _restart_backend(self, signal_number: signal.Signals) -> None:
        process = self._backend
        assert process is not None
        _send_signal(process, signal_number)
        await process.wait()
        await asyncio.sleep(RESTART_DELAY_SECONDS)

    def _supervise(
        self,
        process: asyncio.subprocess.Process,
        start: Callable[[], Awaitable[None]],
    ) -> None:
        """Start another process once this one has ended, for whatever reason."""

        async def restart() -> None:
            await process.wait()
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            await start()

        task = asyncio.create_task(restart())
        self._supervisors.add(task)
        task.add_done_callback(self._supervisors.discard)

    def _record_disturbance(self) -> None:
        self.node_disturbed_at.append(time.monotonic())

    def _record_harm(self) -> None:
        self._record_disturbance()
        self.node_harmed_at.append(time.monotonic())

    async def _read_events(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            event = json.loads(line)
            self.events.put_nowait(event)
            if event.get("acknowledged"):
                self.drain_acknowledged.set()

    def _build_settings(self) -> dict[str, object]:
        return {
            "node_name": self.name,
            "ip": self.host,
            "zone": self.zone,
            "service": self.service,
            "app_addr": self.address(BACKEND_PROXY_PORT),
            "listen": {
                "outbound": self.address(OUTBOUND_PORT),
                "ready": self.address(READY_PORT),
                "control": self.address(CONTROL_PORT),
            },
            "internal_ports": INTERNAL_PORTS,
            "first_start": self._is_first_start,
            "bounds": {
                "grace": f"{SHUTDOWN_GRACE_SECONDS}s",
                "revoke": "5000ms",
                "retry_budget_ratio": 0.2,
                "budget_min_retries": 50,
                "budget_window": "10s",
            },
            "platform": {"address": self.address(STORE_PROXY_PORT)},
        }


def _send_signal(
    process: asyncio.subprocess.Process, signal_number: signal.Signals
) -> None:
    """Send a signal to a process; do nothing if it has already ended."""
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal_number)
