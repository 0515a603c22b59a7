"""A supervisor tree of asyncio tasks."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from .observe.events import Journal, TASK_FAILED, TASK_GIVEN_UP

MIN_RESTART_DELAY_SECONDS = 0.05
MAX_RESTART_DELAY_SECONDS = 5.0
# A child that ran for this long has recovered; its failures are counted from 0 again.
FAILURE_RESET_SECONDS = 30.0
MAX_CONSECUTIVE_FAILURES = 20
CANCEL_RETRY_SECONDS = 0.2

TaskFactory = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs child tasks, restarts those that fail, and ends them in reverse order.

    A child that returns is done. A child that raises is restarted with exponential
    backoff. A child with too many consecutive failures makes ``wait_failed`` raise,
    which ends the process; the platform then replaces it.

    Args:
        name: Name of the supervisor in task names and events.
        journal: Journal that receives the failures.
    """

    def __init__(self, name: str, journal: Journal):
        self._name = name
        self._journal = journal
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._failed: asyncio.Future[None] | None = None

    @property
    def children(self) -> list[str]:
        """Names of the running children, in the order of their start."""
        return list(self._tasks)

    def start(self, name: str, work: TaskFactory) -> None:
        """Start a child.

        Raises:
            ValueError: A child of this name is running.
        """
        if name in self._tasks:
            raise ValueError(f"{self._name} is already running {name}")
        task = asyncio.create_task(
            self._run_with_restarts(name, work), name=f"{self._name}/{name}"
        )
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    def start_once(self, name: str, work: TaskFactory) -> None:
        """Start a child unless one of this name is running."""
        if name not in self._tasks:
            self.start(name, work)

    async def end(self, name: str) -> None:
        """Cancel a child and wait until it has ended."""
        task = self._tasks.get(name)
        while task is not None and not task.done():
            # A single cancellation can be lost: `asyncio.wait_for` in Python 3.11
            # swallows one that coincides with its inner result, and the child goes on.
            # Without the repetition, about one in several dozen stops of a node hung.
            task.cancel()
            await asyncio.wait({task}, timeout=CANCEL_RETRY_SECONDS)

    async def wait_failed(self) -> None:
        """Wait until a child has failed too often.

        Raises:
            ExceptionGroup: Contains the child's last error.
        """
        if self._failed is None:
            self._failed = asyncio.get_running_loop().create_future()
        await self._failed

    async def close(self) -> None:
        """End all children in reverse order of their start."""
        for name in reversed(self.children):
            await self.end(name)

    async def _run_with_restarts(self, name: str, work: TaskFactory) -> None:
        clock = asyncio.get_running_loop().time
        failures = 0
        while True:
            started = clock()
            try:
                await work()
                return
            except Exception as error:
                if clock() - started > FAILURE_RESET_SECONDS:
                    failures = 0
                failures += 1
                self._log_failure(name, error, failures)
                if failures >= MAX_CONSECUTIVE_FAILURES:
                    self._give_up(name, error)
                    return
            max_delay = min(
                MAX_RESTART_DELAY_SECONDS, MIN_RESTART_DELAY_SECONDS * 2**failures
            )
            await asyncio.sleep(random.uniform(max_delay / 2, max_delay))

    def _log_failure(self, name: str, error: Exception, failures: int) -> None:
        self._journal.emit(
            TASK_FAILED,
            task=f"{self._name}/{name}",
            error=f"{type(error).__name__}: {error}",
            failures=failures,
        )

    def _give_up(self, name: str, error: Exception) -> None:
        self._journal.emit(TASK_GIVEN_UP, task=f"{self._name}/{name}")
        if self._failed is None:
            self._failed = asyncio.get_running_loop().create_future()
        if not self._failed.done():
            group = ExceptionGroup(f"{self._name}/{name} failed too often", [error])
            self._failed.set_exception(group)
