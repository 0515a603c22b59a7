"""Runs calls on the local backend server, and watches for requests that end it."""

import asyncio
import time
from collections.abc import Callable

from ..verdicts import not_run, Reason, Refusal, Verdict
from .backend import Backend
from .backend_dialect import ServedAnswer
from .end_detector import EndDetector
from .ended_servers import hash_server
from .frames import Call
from .suspect_requests import Standing
from .suspect_tracker import LostCall, SuspectTracker
from .trial_gate import TrialGate

# Calls remembered while it is open whether the process that ran them has ended.
MAX_UNRESOLVED_CALLS = 256


class GuardedBackend:
    """Admits calls of suspect requests, and records under which calls a process ends.

    Args:
        backend: The local backend server.
        tracker: Knows which requests are suspect.
        detector: Finds out whether the process has ended.
        is_runner: Returns whether trials of a request run at this node.
        get_limit: Returns the number of ended backend servers at which requests are
            blocked.
    """

    def __init__(
        self,
        backend: Backend,
        tracker: SuspectTracker,
        detector: EndDetector,
        is_runner: Callable[[int], bool],
        get_limit: Callable[[], int],
    ):
        self._backend = backend
        self._tracker = tracker
        self._is_runner = is_runner
        self._get_limit = get_limit
        self._gate = TrialGate(tracker)
        self._detector = detector
        self._unresolved: set[asyncio.Task[None]] = set()

    async def serve(self, call: Call, remaining: float) -> ServedAnswer:
        """Run a call on the backend server.

        Args:
            call: The call to run.
            remaining: Seconds until the call's deadline.

        Raises:
            Refusal: The call got no usable answer. It names the backend servers that
                ended under the call's request.
        """
        self._tracker.learn(call.ended_servers)
        request = self._tracker.find(call)
        try:
            return await self._serve(call, request, remaining)
        except Refusal as refusal:
            request = request or self._tracker.find(call)
            refusal.ended_servers = self._tracker.requests.export(request)
            raise

    async def _serve(self, call: Call, request: int, remaining: float) -> ServedAnswer:
        arrived_at = time.monotonic()
        is_trial = request != 0 and await self._enter(call, request, remaining)
        remaining -= time.monotonic() - arrived_at
        try:
            if is_trial:
                await self._check_listening()
            served = await self._backend.serve(call, remaining)
        except Refusal as refusal:
            if (
                refusal.reason is Reason.CONNECTION_LOST
                and refusal.verdict is not Verdict.NOT_RUN
            ):
                lifetime = self._backend.lifetime
                is_decisive = self._gate.runs_alone(request)
                if await self._handle_loss(call, request, is_decisive):
                    refusal.ended_server = hash_server(*lifetime)
            raise
        finally:
            if is_trial:
                self._gate.leave(request)
        self._handle_answer(call, request, served)
        return served

    async def _enter(self, call: Call, request: int, remaining: float) -> bool:
        """Wait until a call may run; return whether its run is a trial.

        Raises:
            Refusal: It may not run; the verdict is `NOT_RUN`.
        """
        may_try = bool(call.ended_servers) or self._is_runner(request)
        limit = self._get_limit()
        is_trial = await self._gate.enter(request, may_try, limit, remaining)
        if call.ended_servers and not is_trial:
            # The sender has missed that the request was cleared.
            self._tracker.repeat_clearing(request)
        return is_trial

    async def _check_listening(self) -> None:
        """Refuse a trial on a process that has already ended, which proves nothing."""
        if await self._detector.has_ended():
            self._backend.mark_unavailable()
            detail = "nothing listens at the backend server's address"
            raise not_run(Reason.CONNECTION_LOST, detail)

    def _handle_answer(self, call: Call, request: int, served: ServedAnswer) -> None:
        """Clear the request of a call that has run to its end, if it is suspect."""
        request = request or self._tracker.find(call)
        if not request:
            return
        run = served.run
        if run.ended_servers:
            ended = self._tracker.requests.export(request)
            served.ended_servers = tuple(
                e for e in ended if e.server in run.ended_servers
            )
        elif (
            not run.failed_by_request
            and self._tracker.requests.get_standing(request) is not Standing.CLEAR
        ):
            self._tracker.clear(request)

    async def _handle_loss(self, call: Call, request: int, is_decisive: bool) -> bool:
        """Return whether the process has ended under a call that was lost.

        A report may show it later; other nodes are then told, but not the sender.

        Args:
            call: The call.
            request: Hash of its request; 0 if it was not suspect.
            is_decisive: Whether it ran as the only trial.
        """
        backend = self._backend
        if backend.draining:
            return False
        lifetime = backend.lifetime
        lost = LostCall(
            call.request_id, request or self._tracker.identify(call), is_decisive
        )
        if await self._detector.has_ended():
            backend.mark_unavailable()
            self._record_end(lifetime, lost)
            return True
        if len(self._unresolved) < MAX_UNRESOLVED_CALLS:
            task = asyncio.create_task(self._wait_for_report(lifetime, lost))
            self._unresolved.add(task)
            task.add_done_callback(self._unresolved.discard)
        return False

    async def _wait_for_report(self, lifetime: tuple[str, int], lost: LostCall) -> None:
        if await self._detector.is_replaced(lifetime):
            self._record_end(lifetime, lost)

    def _record_end(self, lifetime: tuple[str, int], lost: LostCall) -> None:
        self._tracker.record_end(hash_server(*lifetime), lifetime[0], [lost])
