"""Tells the end of the backend server's process from the loss of a connection.

A connection may be lost because it was reset, or because an answer was. A process has
ended if nothing listens at its address, or if another one reports from there.
"""

import asyncio
import time
from typing import Protocol

# A report of the next process comes within a few heartbeats.
MAX_REPORT_WAIT_SECONDS = 5.0
REPORT_POLL_SECONDS = 0.1


class ListeningPool(Protocol):
    """The part of a connection pool that is needed."""

    async def is_refused(self) -> bool:
        """Return whether connections are refused."""


class Lifetime(Protocol):
    """What is known of the backend server's process."""

    @property
    def lifetime(self) -> tuple[str, int]:
        """Instance ID and start time of the last reported process."""

    @property
    def draining(self) -> bool:
        """Whether the process is about to end as planned."""

    @property
    def pool(self) -> ListeningPool:
        """Connections to the process."""


class EndDetector:
    """Finds out whether the process has ended under calls that were lost.

    Args:
        backend: The local backend server.
    """

    __slots__ = ("_backend", "_probe")

    def __init__(self, backend: Lifetime):
        self._backend = backend
        self._probe: asyncio.Task[bool] | None = None

    async def is_refused(self) -> bool:
        """Return whether nothing listens at the address of the process.

        Calls that are lost together share one probe.
        """
        if self._probe is None or self._probe.done():
            self._probe = asyncio.create_task(self._backend.pool.is_refused())
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
