"""Processes that a benchmark starts, with their CPU time and memory."""

import asyncio
import contextlib
import json
import os
import pathlib
import sys
import tempfile
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from primroseglade.settings.node import generate_secret
from primroseglade.stand_ins.log import LogStandIn

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
START_TIMEOUT_SECONDS = 40.0


class Process:
    """A process that a benchmark started."""

    def __init__(self, process: asyncio.subprocess.Process, name: str):
        self._process = process
        self.name = name

    @property
    def cpu_seconds(self) -> float:
        """CPU time used so far, user and system, in seconds."""
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    @property
    def memory_mib(self) -> float:
        """Resident memory in MiB."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    async def kill_and_wait(self) -> None:
        """Kill the process and wait for its end."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()


class Processes:
    """Runs nodes and backend servers as processes, and the log stand-in in this one."""

    def __init__(self, settings: dict[str, Any] | None = None):
        self._settings = settings or {}
        self._secret = generate_secret()
        self._started: list[Process] = []
        self._folder = tempfile.TemporaryDirectory()
        self.log = LogStandIn()
        self._log_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Processes":
        self._log_task = asyncio.create_task(self.log.run())
        await self.log.wait_started()
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self._started:
            await process.kill_and_wait()
        self.log.stop()
        assert self._log_task is not None
        await self._log_task
        self._folder.cleanup()

    async def start(self, name: str, *arguments: str) -> Process:
        """Start ``python ARGUMENTS``."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        started = Process(process, name)
        self._started.append(started)
        return started

    async def start_node(
        self, instance: str, zone: str, first_port: int, **settings: Any
    ) -> tuple[Process, dict[str, str]]:
        """Start a node on five successive ports; return it and its addresses."""
        names = ("callers", "relay", "control", "backend", "operator")
        listen = {name: f"127.0.0.1:{first_port + n}" for n, name in enumerate(names)}
        fields = {
            "instance": instance,
            "zone": zone,
            "platform": self.log.address,
            "fleet_secret": self._secret,
            "listen": listen,
        }
        fields |= self._settings | settings
        path = pathlib.Path(self._folder.name, f"{instance}.json")
        path.write_text(json.dumps(fields))  # noqa: ASYNC240
        process = await self.start(
            instance, "-m", "primroseglade", "node", "--settings", str(path)
        )
        await wait_for_page(f"http://{listen['operator']}/status")
        return process, listen

    async def start_backend(self, service: str, node: str, listen: str) -> Process:
        """Start a backend server with 150 slots that answers without delay."""
        return await self.start(
            service,
            *("-m", "primroseglade", "stand-in", "backend", "--service", service),
            *("--node", node, "--listen", listen, "--work", "0", "--slots", "150"),
        )


async def wait_for_page(url: str) -> None:
    """Wait until a URL answers."""
    async with (
        asyncio.timeout(START_TIMEOUT_SECONDS),
        aiohttp.ClientSession() as session,
    ):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(url) as response:
                    await response.read()
                    return
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def run_processes(**settings: Any) -> AsyncIterator[Processes]:
    """Provide `Processes` and stop them all at the end of the block."""
    async with Processes(settings) as processes:
        yield processes
