"""Tells the end of the backend server's process from the loss of a connection.

A connection may be lost because it was reset, or because an answer was. A process has
ended if nothing listens at its address, or if another one answers or reports there.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from .client_connection import ExchangeError, Response
from .health_check import HealthAnswer

# A process that answers no health check for this long may be paused or cut off.
MAX_PROBE_SECONDS = 0.3
# Pause after a probe whose connection was lost: the process may be ending.
PROBE_PAUSE_SECONDS = 0.01
# A report of the next process comes within a few heartbeats.
MAX_REPORT_WAIT_SECONDS = 5.0
REPORT_POLL_SECONDS = 0.1


class ProbedPool(Protocol):
    """The part of a connection pool that is needed."""

    async def probe(self, request: bytes | None) -> Response | None:
        """Open a connection, and return the response to a request on it."""


class Lifetime(Protocol):
    """What is known of the backend server's process."""

    @property
    def lifetime(self) -> tuple[str, int]:
        """Instance ID and start time of the last reported process."""

    @property
    def draining(self) -> bool:
        """Whether the process is about to end as planned."""

    @property
    def pool(self) -> ProbedPool:
        """Connections to the process."""


class EndDetector:
    """Finds out whether the process has ended under calls that were lost.

    Args:
        backend: The local backend server.
        render_health_check: Returns a health check; None if there is none.
        read_health: Returns what the answer to one shows; None if it is invalid.
    """

    __slots__ = ("_backend", "_probe", "_read_health", "_render_health_check")

    def __init__(
        self,
        backend: Lifetime,
        render_health_check: Callable[[], bytes | None],
        read_health: Callable[[Response], HealthAnswer | None],
    ):
        self._backend = backend
        self._render_health_check = render_health_check
        self._read_health = read_health
        self._probe: asyncio.Task[bool] | None = None

    async def has_ended(self) -> bool:
        """Return whether the process has certainly ended.

        Calls that are lost together share one probe.
        """
        if self._probe is None or self._probe.done():
            self._probe = asyncio.create_task(self._run_probe())
        return await asyncio.shield(self._probe)

    async def is_replaced(self, lifetime: tuple[str, int]) -> bool:
        """Wait for reports, and return whether they are of another process.

        Args:
            lifetime: Instance ID and start time of the process that ran the calls.
        """
        give_up_at = time.monotonic() + MAX_REPORT_WAIT_SECONDS
        while time.monotonic() < give_up_at:
            await asyncio.sleep(REPORT_POLL_SECONDS)
            if self._backend.lifetime != lifetime:
                return True
            if self._backend.draining:
                return False
        return False

    async def _run_probe(self) -> bool:
        instance, _ = self._backend.lifetime
        try:
            async with asyncio.timeout(MAX_PROBE_SECONDS):
                while True:
                    try:
                        return await self._is_other_instance(instance)
                    except ExchangeError as error:
                        if error.refused:
                            return True
                    await asyncio.sleep(PROBE_PAUSE_SECONDS)
        except TimeoutError:
            return False

    async def _is_other_instance(self, instance: str) -> bool:
        """Return whether another instance answers a health check.

        Raises:
            ExchangeError: The connection was refused or lost.
        """
        response = await self._backend.pool.probe(self._render_health_check())
        health = self._read_health(response) if response is not None else None
        return health is not None and health.instance != instance
