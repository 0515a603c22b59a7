"""A node and the backend server beside it, as processes that faults are done to."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

from primroseglade.addresses import join_address

from .proxy import build_proxy, Proxy

# Ports of a place; every place has a loopback address of its own.
OUTBOUND, READY, CONTROL, BACKEND, BACKEND_LINK, STORE_LINK = range(8540, 8546)
INTERNAL_PORTS = [7000, 7015]
SERVICES = ("front", "deep")
ZONES = ("a", "b")
# Before a killed process is started again, as the platform does it.
RESTART_SECONDS = 0.3
GRACE_SECONDS = 6.0


class Place:
    """One machine of the soak.

    Args:
        number: Of this place.
        network: First three numbers of the loopback addresses in use.
        store: Address of the store.
        folder: For settings and logs.
    """

    def __init__(self, number: int, network: str, store: str, folder: pathlib.Path):
        self.number = number
        self.service = SERVICES[number % len(SERVICES)]
        self.zone = ZONES[number // len(SERVICES) % len(ZONES)]
        self.host = f"{network}.{10 + number}"
        self.name = f"node-{number}"
        self.folder = folder
        self.told: asyncio.Queue[dict[str, object]] = asyncio.Queue()
        self.backend_link: Proxy = build_proxy(
            self.host, BACKEND_LINK, self.address(BACKEND)
        )
        self.store_link: Proxy = build_proxy(self.host, STORE_LINK, store)
        self._lives = 0
        self._first_start = True
        self._node: asyncio.subprocess.Process | None = None
        self._backend: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    def address(self, port: int) -> str:
        """Return one of this place's addresses."""
        return join_address(self.host, port)

    async def start(self) -> None:
        """Start links, node and backend server."""
        await self.backend_link.start()
        await self.store_link.start()
        await self.start_node()
        await self.start_backend()

    async def start_node(self) -> None:
        """Start the node's process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._build_settings()))
        self._first_start = False
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self._node = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "primroseglade.platform",
                env=os.environ | {"PRIMROSEGLADE_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )

    async def start_backend(self) -> None:
        """Start another life of the backend server."""
        self._lives += 1
        options = {
            "instance": f"i-{self.number}-{self._lives}",
            "service": self.service,
            "address": self.address(BACKEND),
            "reached": self.address(BACKEND_LINK),
            "control": self.address(CONTROL),
        }
        arguments = [part for k, v in options.items() for part in (f"--{k}", v)]
        self._backend = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.backend",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
        )
        self._reader = asyncio.create_task(self._read(self._backend))

    async def pause_node(self, seconds: float) -> None:
        """Stop the node's process for a while."""
        assert self._node is not None
        _signal(self._node, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        _signal(self._node, signal.SIGCONT)

    async def kill_node(self) -> None:
        """Kill the node and start it again."""
        await self._end_node(signal.SIGKILL)

    async def stop_node(self) -> None:
        """Stop the node as planned and start it again."""
        await self._end_node(signal.SIGTERM)

    async def leave_backend(self) -> None:
        """Have the backend server leave, and start another life of it."""
        await self._end_backend(signal.SIGTERM)

    async def kill_backend(self) -> None:
        """Kill the backend server and start it again."""
        await self._end_backend(signal.SIGKILL)

    async def close(self) -> None:
        """End both processes."""
        for process in (self._node, self._backend):
            if process is not None:
                _signal(process, signal.SIGKILL)
                await process.wait()

    async def _end_node(self, number: signal.Signals) -> None:
        process = self._node
        assert process is not None
        _signal(process, signal.SIGCONT)
        _signal(process, number)
        try:
            await asyncio.wait_for(process.wait(), GRACE_SECONDS)
        except TimeoutError:
            # The platform kills what has not ended after its grace.
            _signal(process, signal.SIGKILL)
            await process.wait()
        await asyncio.sleep(RESTART_SECONDS)
        if process is self._node:
            await self.start_node()

    async def _end_backend(self, number: signal.Signals) -> None:
        process = self._backend
        assert process is not None
        _signal(process, number)
        await process.wait()
        await asyncio.sleep(RESTART_SECONDS)
        if process is self._backend:
            await self.start_backend()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.told.put_nowait(json.loads(line))

    def _build_settings(self) -> dict[str, object]:
        return {
            "node_name": self.name,
            "ip": self.host,
            "zone": self.zone,
            "service": self.service,
            "app_addr": self.address(BACKEND_LINK),
            "listen": {
                "outbound": self.address(OUTBOUND),
                "ready": self.address(READY),
                "control": self.address(CONTROL),
            },
            "internal_ports": INTERNAL_PORTS,
            "first_start": self._first_start,
            "bounds": {
                "grace": f"{GRACE_SECONDS}s",
                "revoke": "5000ms",
                "retry_budget_ratio": 0.2,
                "budget_min_retries": 50,
                "budget_window": "10s",
            },
            "platform": {"address": self.address(STORE_LINK)},
        }


def _signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a process of the soak; it may have ended by itself."""
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(number)
