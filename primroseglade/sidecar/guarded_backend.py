"""Runs calls on the local backend server, and logs under which calls it ends."""

import asyncio

from ..observe.events import BACKEND_ENDED, Journal
from ..verdicts import Reason, Refusal, Verdict
from .backend import Backend
from .backend_dialect import BackendDialect, ServedAnswer
from .end_detector import EndDetector
from .ended_servers import hash_request
from .frames import Call

# Calls remembered while it is open whether the process that ran them has ended.
MAX_UNRESOLVED_CALLS = 256


class GuardedBackend:
    """Finds out whether the process has ended under the calls that are lost.

    Args:
        backend: The local backend server.
        dialect: Finds out which requests are the same.
        journal: Logs ends.

    Attributes:
        ended_calls: Number of calls under which a process ended.
    """

    def __init__(self, backend: Backend, dialect: BackendDialect, journal: Journal):
        self._backend = backend
        self._dialect = dialect
        self._journal = journal
        self._detector = EndDetector(backend)
        self._unresolved: set[asyncio.Task[None]] = set()
        self.ended_calls = 0

    async def serve(self, call: Call, remaining: float) -> ServedAnswer:
        """Run a call on the backend server.

        Args:
            call: The call to run.
            remaining: Seconds until the call's deadline.

        Raises:
            Refusal: The call got no usable answer.
        """
        try:
            return await self._backend.serve(call, remaining)
        except Refusal as refusal:
            if (
                refusal.reason is Reason.CONNECTION_LOST
                and refusal.verdict is not Verdict.NOT_RUN
                and not self._backend.draining
                and len(self._unresolved) < MAX_UNRESOLVED_CALLS
            ):
                task = asyncio.create_task(self._find_end(call, self._backend.lifetime))
                self._unresolved.add(task)
                task.add_done_callback(self._unresolved.discard)
            raise

    async def _find_end(self, call: Call, lifetime: tuple[str, int]) -> None:
        """Log the end of the process under a lost call, if it has ended."""
        if not await self._detector.is_refused():
            if not await self._detector.is_replaced(lifetime):
                return
        self.ended_calls += 1
        workspace = call.context.workspace if call.context is not None else 0
        identity = self._dialect.get_identity(call)
        self._journal.emit(
            BACKEND_ENDED,
            request=call.request_id.decode("latin-1"),
            backend=lifetime[0],
            suspect=f"{hash_request(identity, call.body, workspace):016x}",
        )
