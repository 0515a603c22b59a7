"""The backend server beside this node: the only way to it leads through here."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from ..observe.events import (
    BACKEND_ANNOUNCED,
    BACKEND_DRAINING,
    BACKEND_GONE,
    BACKEND_REPORT_REFUSED,
    Journal,
)
from ..verdicts import may_have_run, not_run, Reason, Refusal
from .backend_queue import BackendQueue
from .call_ratios import CallRatioEstimator
from .frames import Call
from .http_client import Answer, ConnectionPool, ExchangeError
from .load_balancing import Candidate
from .model import BackendState, StatusReport

CONNECT_TIMEOUT_SECONDS = 1.0
# A call with less time left is not begun.
MIN_REMAINING_SECONDS = 0.002
# Weight of a new outcome in the share of failed calls, about the last 30 calls.
FAILURE_SMOOTHING = 1 / 32
# Times the usual work after which a call without an answer counts as failed; few calls
# work for so long.
UNANSWERED_SERVICE_TIMES = 4.0
# A backend server that is still slow after its start works half as fast, as its
# operators say; it is told to others as having fewer slots.
COLD_CAPACITY_RATIO = 0.5
# Reports may come some seconds late, also after the backend server was told to leave.
MAX_REPORT_DELAY_SECONDS = 10.0


class BackendAnswer:
    """What the adapter reads in a backend server's answer.

    Args:
        head: Status line and headers to hand on.
        request_id: Of the request that it answers.
        signed: Whether it bears the backend server's signature.
        not_executed: Whether it says that the request did not run.
    """

    __slots__ = ("head", "not_executed", "request_id", "signed")

    def __init__(
        self, head: bytes, request_id: bytes, signed: bool, not_executed: bool
    ):
        self.head = head
        self.request_id = request_id
        self.signed = signed
        self.not_executed = not_executed


class BackendDialect(Protocol):
    """How to speak to backend servers; the platform's adapter knows."""

    def finish_request(self, call: Call, remaining: float) -> bytes:
        """Return a request's bytes for the backend server."""

    def read_answer(self, answer: Answer) -> BackendAnswer:
        """Return what an answer says."""


class ServedAnswer:
    """A backend server's answer to a call."""

    __slots__ = ("answer", "body", "status")

    def __init__(self, status: int, answer: BackendAnswer, body: bytes):
        self.status = status
        self.answer = answer
        self.body = body


class BackendRefusal(Refusal):
    """A refusal by the backend server itself: the request reached it."""


class Backend:
    """Knows the backend server's lifetime and state, and runs calls on it.

    Args:
        service: What the platform says it serves.
        address: Where the platform says it listens.
        dialect: How to speak to it.
        call_ratios: Counts its runs.
        journal: Where changes are told.
        broadcast_state: Tells the other nodes at once what changed here.
    """

    def __init__(
        self,
        service: str,
        address: str,
        dialect: BackendDialect,
        call_ratios: CallRatioEstimator,
        journal: Journal,
        broadcast_state: Callable[[], None],
    ):
        self._service = service
        self._address = address
        self._dialect = dialect
        self._call_ratios = call_ratios
        self._journal = journal
        self._broadcast_state = broadcast_state
        self._report: StatusReport | None = None
        self._drained_start_times: dict[str, int] = {}
        # Until when a leave that named no lifetime holds for the next report.
        self._unspecified_drain_until: dict[str, float] = {}
        # Start of the newest lifetime that left here. Peers tell of backend servers
        # that left elsewhere too, which say nothing of the one here.
        self._newest_drained_start_ms = 0
        self._draining = True
        self._unavailable = False
        self._stopping = False
        self._cold_until = 0.0
        self._failure_ratio = 0.0
        self._pool = ConnectionPool(address, CONNECT_TIMEOUT_SECONDS)
        self.queue = BackendQueue(1)

    @property
    def service(self) -> str:
        """What it serves."""
        return self._service

    @property
    def instance(self) -> str:
        """Id of the backend server that takes calls now; empty if there is none."""
        if (
            self._report is None
            or self._draining
            or self._unavailable
            or self._stopping
        ):
            return ""
        return self._report.instance

    @property
    def slots(self) -> int:
        """Calls at work at once, as others should reckon with."""
        if time.monotonic() < self._cold_until:
            return max(1, int(self.queue.concurrency_limit * COLD_CAPACITY_RATIO))
        return self.queue.concurrency_limit

    @property
    def service_ms(self) -> float:
        """Usual milliseconds of work of a call, 0 before the first."""
        if not self.queue.has_measurement:
            return 0.0
        return round(self.queue.service_seconds * 1000, 2)

    @property
    def slot_ms(self) -> float:
        """Usual milliseconds for which a call holds a slot, 0 before the first."""
        if not self.queue.has_measurement:
            return 0.0
        return round(self.queue.slot_seconds * 1000, 2)

    @property
    def failure_ratio(self) -> float:
        """Share of calls that failed there lately."""
        return self._failure_ratio

    @property
    def start_time_ms(self) -> int:
        """Start of the lifetime that is known, 0 if none is."""
        return self._report.start_time_ms if self._report else 0

    def build_candidate(self, node: str) -> Candidate | None:
        """Return it as a place for calls of this node; None if it takes none."""
        if not self.instance:
            return None
        return Candidate(
            node,
            True,
            self.slots,
            self.queue.in_flight,
            self.service_ms,
            self._failure_ratio,
        )

    def stop(self) -> None:
        """Take no further calls: this node stops."""
        self._stopping = True

    def is_stale(self, report: StatusReport) -> bool:
        """Whether a report is of an earlier lifetime, or late in this one."""
        known = self._report
        if (
            report.start_time_ms
            and report.start_time_ms < self._newest_drained_start_ms
        ):
            return True
        if known is None:
            return False
        if report.start_time_ms != known.start_time_ms:
            return report.start_time_ms < known.start_time_ms
        if report.instance != known.instance:
            return False
        return report.sequence <= known.sequence

    def apply_report(self, report: StatusReport) -> bool:
        """Take in a report and return whether it names the backend server here."""
        if report.service != self._service or report.address != self._address:
            self._journal.emit(
                BACKEND_REPORT_REFUSED,
                backend=report.instance,
                reason="of another service or address",
            )
            return False
        if self.is_stale(report):
            return False
        known = self._report
        is_new_incarnation = (
            known is None
            or known.instance != report.instance
            or known.start_time_ms != report.start_time_ms
        )
        self._report = report
        if is_new_incarnation:
            self._start_incarnation(report)
        if self._is_drained(report):
            self._draining = True
        elif report.state is BackendState.DRAINING:
            self.drain(report.instance, report.start_time_ms)
        else:
            if self._draining or self._unavailable:
                self._journal.emit(BACKEND_ANNOUNCED, backend=report.instance)
            self._draining = False
            self._unavailable = False
        return True

    def _is_drained(self, report: StatusReport) -> bool:
        """Whether a report is of a lifetime that was told to leave."""
        if report.instance not in self._drained_start_times:
            return False
        if time.monotonic() < self._unspecified_drain_until.get(report.instance, 0.0):
            # The leave named no lifetime, and came before any report of it.
            self._drained_start_times[report.instance] = report.start_time_ms
            del self._unspecified_drain_until[report.instance]
        return self._drained_start_times[report.instance] == report.start_time_ms

    def drain(self, instance: str, start_time_ms: int) -> None:
        """Send nothing more to a backend server that leaves.

        It binds for the lifetime: a report that was sent before and comes after,
        saying that the backend server is ready, changes nothing.
        """
        known = self._report
        if known is not None and known.instance == instance:
            start_time_ms = start_time_ms or known.start_time_ms
            if not self._draining:
                self._journal.emit(BACKEND_DRAINING, backend=instance)
            if start_time_ms == known.start_time_ms:
                self._draining = True
            self._newest_drained_start_ms = max(
                self._newest_drained_start_ms, start_time_ms
            )
        self._drained_start_times[instance] = start_time_ms
        if not start_time_ms:
            self._unspecified_drain_until[instance] = (
                time.monotonic() + MAX_REPORT_DELAY_SECONDS
            )

    async def serve(self, call: Call, remaining: float) -> ServedAnswer:
        """Run a call on the backend server.

        Raises:
            Refusal: With a verdict that the bytes sent and received allow.
        """
        self._check_instance(call)
        deadline = time.monotonic() + remaining
        _check_remaining_time(remaining)
        slot = await self.queue.acquire(
            call.latency_target_ms / 1000, remaining, call.nested
        )
        started = time.monotonic()
        completed = False
        self._call_ratios.record_start(call.route, started)
        try:
            # It may have left while the call waited.
            self._check_instance(call)
            served = await self._exchange(call, deadline)
            completed = True
            return served
        except asyncio.CancelledError:
            # Its caller gave up. Where it waited for much longer than usual, nothing
            # more would have come: answers that get lost show in no other way.
            elapsed = time.monotonic() - started
            if elapsed > UNANSWERED_SERVICE_TIMES * self.queue.service_seconds:
                self._record_outcome(failed=True)
            raise
        finally:
            now = time.monotonic()
            self._call_ratios.record_end(call.route, now)
            self.queue.release(slot, now - started, completed)

    def _start_incarnation(self, report: StatusReport) -> None:
        self._pool.close_idle()
        self._draining = True
        self._failure_ratio = 0.0
        self._cold_until = time.monotonic() + report.cold_remaining
        self.queue.resize(report.slots)

    def _mark_unavailable(self) -> None:
        """Take no calls for a backend server that has crashed.

        It says nothing when it does. While others took it for usable, a part of all
        calls failed here first, and admission let in what its slots would have served.
        A report proves that it lives; one that was under way is refuted by the next
        call.
        """
        if self._unavailable:
            return
        self._unavailable = True
        self._pool.close_idle()
        self._journal.emit(BACKEND_GONE, backend=self._report and self._report.instance)
        self._broadcast_state()

    def _check_instance(self, call: Call) -> None:
        if not self.instance:
            raise not_run(Reason.DRAINING, "the backend server takes no calls")
        if call.instance != self.instance:
            raise not_run(Reason.DRAINING, "another backend server is here now")

    async def _exchange(self, call: Call, deadline: float) -> ServedAnswer:
        parsed: BackendAnswer | None = None

        def is_answer_to_call(answer: Answer) -> bool:
            nonlocal parsed
            parsed = self._dialect.read_answer(answer)
            return parsed.request_id == call.request_id or (
                not parsed.request_id and answer.status >= 300
            )

        try:
            connection = await self._pool.acquire(once=not call.idempotent)
        except ExchangeError as error:
            self._record_outcome(failed=True)
            if error.refused:
                self._mark_unavailable()
            raise not_run(Reason.CONNECTION_LOST, error.detail) from error
        try:
            remaining = deadline - time.monotonic()
            _check_remaining_time(remaining)
            request = self._dialect.finish_request(call, remaining)
            answer = await connection.exchange(
                request, is_answer_to_call, call.head.startswith(b"HEAD ")
            )
        except ExchangeError as error:
            self._record_outcome(failed=True)
            if not error.sent:
                raise not_run(Reason.CONNECTION_LOST, error.detail) from error
            raise may_have_run(Reason.CONNECTION_LOST, error.detail) from error
        finally:
            self._pool.release(connection)
        assert parsed is not None
        return self._classify_answer(answer, parsed)

    def _classify_answer(self, answer: Answer, parsed: BackendAnswer) -> ServedAnswer:
        """Tell an answer from a refusal of the backend server."""
        if parsed.not_executed or answer.status == 421:
            self._record_outcome(failed=True)
            if answer.status == 421:
                # Another backend server has the address; the next report says which.
                self._draining = True
                raise BackendRefusal(Reason.DRAINING, detail="another instance")
            detail = "the backend server refused it"
            raise BackendRefusal(Reason.OVERLOADED, detail=detail)
        if answer.status < 300 and not parsed.signed:
            self._record_outcome(failed=True)
            detail = "an answer without the backend server's signature"
            raise may_have_run(Reason.ANSWER_BROKEN, detail)
        self._record_outcome(failed=answer.status >= 500)
        return ServedAnswer(answer.status, parsed, answer.body)

    def _record_outcome(self, failed: bool) -> None:
        self._failure_ratio += FAILURE_SMOOTHING * (float(failed) - self._failure_ratio)


def _check_remaining_time(remaining: float) -> None:
    """Refuse a call whose caller has left: what it would get done is of no use."""
    if remaining < MIN_REMAINING_SECONDS:
        raise not_run(Reason.DEADLINE_EXCEEDED, "its time passed on the way")
