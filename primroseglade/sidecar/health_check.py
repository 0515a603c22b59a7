"""Health checks of the local backend server, which tell how long it stays cold.

They are sent only while it is unknown whether the backend server is cold. At all other
times its status reports suffice.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from .client_connection import ExchangeError, Response
from .http_client import ConnectionPool

# Timeout of one check, and pause before the next if it showed nothing.
CHECK_TIMEOUT_SECONDS = 0.5
RETRY_SECONDS = 0.5


class HealthAnswer:
    """A backend server's answer to a health check.

    Args:
        instance: Instance ID of the backend server.
        cold_seconds: Seconds for which it stays cold; 0 if it is warm.
    """

    __slots__ = ("cold_seconds", "instance")

    def __init__(self, instance: str, cold_seconds: float):
        self.instance = instance
        self.cold_seconds = cold_seconds


class HealthDialect(Protocol):
    """Renders health checks and reads their answers, for one platform."""

    def render_health_check(self, path: str, address: str) -> bytes:
        """Return the bytes of a health check."""

    def read_health(self, answer: Response) -> HealthAnswer | None:
        """Return what an answer says; None if it names no backend server."""


class HealthChecker:
    """Sends health checks until one shows whether the backend server is cold.

    Args:
        address: Address of the backend server.
        pool: Connections to it.
        dialect: Renders checks and reads answers.
        get_path: Returns the path of health checks; empty if there is none.
        is_needed: Returns whether it is unknown if the backend server is cold.
        record_check: Called when a check is sent.
        record_answer: Receives each answer.
    """

    def __init__(
        self,
        address: str,
        pool: ConnectionPool,
        dialect: HealthDialect,
        get_path: Callable[[], str],
        is_needed: Callable[[], bool],
        record_check: Callable[[], None],
        record_answer: Callable[[HealthAnswer], None],
    ):
        self._address = address
        self._pool = pool
        self._dialect = dialect
        self._get_path = get_path
        self._is_needed = is_needed
        self._record_check = record_check
        self._record_answer = record_answer

    def render(self) -> bytes | None:
        """Return a health check to be sent now; None if there is no path for it."""
        path = self._get_path()
        if not path:
            return None
        self._record_check()
        return self._dialect.render_health_check(path, self._address)

    async def run(self) -> None:
        """Check until an answer shows what is needed, or until that is not needed."""
        path = self._get_path()
        while path and self._is_needed():
            answer = await self._check(path)
            if answer is not None:
                self._record_answer(answer)
            if self._is_needed():
                await asyncio.sleep(RETRY_SECONDS)

    async def _check(self, path: str) -> HealthAnswer | None:
        """Return the answer to one check, or None if there is no usable one."""
        request = self._dialect.render_health_check(path, self._address)
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                connection = await self._pool.acquire()
                try:
                    self._record_check()
                    answer = await connection.exchange(request)
                finally:
                    self._pool.release(connection)
        except (TimeoutError, ExchangeError):
            # The next check, or the next status report, shows what this one did not.
            return None
        return self._dialect.read_health(answer)
