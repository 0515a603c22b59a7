"""State of the local backend server, and the calls that this node runs on it."""

import asyncio
import math
import time
from collections.abc import Callable

from ..observe.events import (
    BACKEND_ANNOUNCED,
    BACKEND_ANSWER_MALFORMED,
    BACKEND_DRAINING,
    BACKEND_REPORT_REFUSED,
    BACKEND_UNAVAILABLE,
    Journal,
)
from ..verdicts import may_have_run, not_run, Reason, Refusal
from .backend_dialect import BackendDialect, ParsedAnswerHead, ServedAnswer
from .backend_queue import BackendQueue
from .call_ratios import CallRatioEstimator
from .client_connection import ExchangeError, MalformedResponseError, Response
from .cold_tracker import ColdTracker
from .drained_lifetimes import DrainedLifetimes
from .failure_ratio import FailureRatio
from .frames import Call
from .http_client import ConnectionPool
from .http_messages import MIN_FAILURE_STATUS
from .load_balancing import Candidate
from .model import BackendState, StatusReport
from .request_context import read_context
from .request_limit import RequestLimit
from .running_calls import RunningCall, RunningCalls
from .statement_recorder import StatementRecorder
from .statements import Statements
from .warm_up import WarmUp
from .work_pace import WorkPace

CONNECT_TIMEOUT_SECONDS = 1.0
# A call with less time until its deadline is not sent: its answer would be too late.
MIN_REMAINING_SECONDS = 0.002
# A call that got no answer and is canceled after more than this many average service
# times counts as a failure of the backend server: few calls run that long. Its slot is
# given to another call earlier (`MAX_SLOT_SERVICE_TIMES`).
UNANSWERED_SERVICE_TIMES = 4.0
# Fraction of the concurrency limit that is announced to other nodes while the backend
# server is cold and starts are not limited. According to operators, it works at half
# its speed until it has warmed up.
COLD_CAPACITY_RATIO = 0.5
# Maximum delay of a status report. The first report of a backend server may arrive this
# long after a request to drain it.
MAX_REPORT_DELAY_SECONDS = 10.0
# Drains of backend servers elsewhere are remembered too, as peers relay them.
MAX_DRAINED_INSTANCES = 4096
# Status of an answer from another instance than the call names.
MISDIRECTED_STATUS = 421
EVACUATED_DETAIL = "the backend server's zone is evacuated"


class BackendRefusal(Refusal):
    """A refusal by the backend server itself, which the request has reached."""


class Backend:
    """Tracks the backend server's incarnation and state, and runs calls on it.

    An incarnation is one lifetime of the backend server's process. It is identified by
    the instance ID and the start time.

    Args:
        service: Service of the backend server, as configured by the platform.
        address: Address of the backend server, as configured by the platform.
        dialect: Builds requests and parses answers.
        call_ratios: Counts the calls that the backend server runs, by route.
        running_calls: Receives the calls that run on the backend server.
        warm_up: Tracks whether the backend server is cold.
        request_limit: Tracks the limit on requests that the backend server states.
        journal: Logs changes of state.
        broadcast_state: Announces the state of this node to the others at once.
        persist_drain: Records a drain that the backend server stated in an answer, so
            that it survives a restart of this node; called with instance ID and start
            time.
        request_health_check: Starts health checks, to learn whether the backend server
            is cold.
    """

    def __init__(
        self,
        service: str,
        address: str,
        dialect: BackendDialect,
        call_ratios: CallRatioEstimator,
        running_calls: RunningCalls,
        warm_up: WarmUp,
        request_limit: RequestLimit,
        journal: Journal,
        broadcast_state: Callable[[], None],
        persist_drain: Callable[[str, int], None],
        request_health_check: Callable[[], None],
    ):
        self._service = service
        self._address = address
        self._dialect = dialect
        self._call_ratios = call_ratios
        self._running_calls = running_calls
        self._journal = journal
        self._broadcast_state = broadcast_state
        self._persist_drain = persist_drain
        self._report: StatusReport | None = None
        # The start time is 0 until a drain request or a report names it.
        self._drained = DrainedLifetimes(MAX_DRAINED_INSTANCES)
        # By instance ID: a drain request that names no start time applies to the first
        # incarnation whose report arrives before this time.
        self._unspecified_drain_until: dict[str, float] = {}
        # Start time of the newest incarnation that was drained here. Drains of other
        # nodes' backend servers, which peers relay too, do not count.
        self._newest_drained_start_ms = 0
        self._draining = True
        self._unavailable = False
        self._node_stopping = False
        self._enabled = False
        self._evacuated = False
        self._failure_ratio = FailureRatio(time.monotonic)
        # Since they were last logged.
        self._malformed_answers = 0
        self._malformed_reason = ""
        self.warm_up = warm_up
        self.cold = ColdTracker(
            service,
            warm_up,
            journal,
            lambda: self.instance,
            self._handle_cold_change,
            request_health_check,
        )
        self.pool = ConnectionPool(address, CONNECT_TIMEOUT_SECONDS, self.cold.assume)
        self.request_limit = request_limit
        self._work_pace = WorkPace()
        self.statements = StatementRecorder(
            service,
            request_limit,
            self._work_pace,
            journal,
            lambda: self._report.instance if self._report else "",
            self._handle_limit_change,
        )
        self.queue = BackendQueue(1, (warm_up, request_limit))

    @property
    def service(self) -> str:
        """The service that the backend server provides."""
        return self._service

    @property
    def instance(self) -> str:
        """Instance ID of the backend server; empty while it accepts no calls."""
        if (
            self._report is None
            or not self._enabled
            or self._evacuated
            or self._draining
            or self._unavailable
            or self._node_stopping
        ):
            return ""
        return self._report.instance

    @property
    def slots(self) -> int:
        """Slots to announce to other nodes: the queue's concurrency limit.

        The limit is a fraction of the backend server's own slots. Only a part of it is
        announced while the backend server is cold, unless starts are limited then. If
        it states a limit on requests, only the slots that these occupy are announced.
        """
        if self.request_limit.rate:
            occupied_slots = math.ceil(
                self.request_limit.rate * self.queue.slot_seconds
            )
            return min(self.queue.concurrency_limit, max(1, occupied_slots))
        if self.warm_up.remaining_seconds > 0 and not self.warm_up.start_rate:
            return max(1, int(self.queue.concurrency_limit * COLD_CAPACITY_RATIO))
        return self.queue.concurrency_limit

    @property
    def service_ms(self) -> float:
        """Average service time of a call in milliseconds, 0 before the first."""
        if not self.queue.has_measurement:
            return 0.0
        return round(self.queue.service_seconds * 1000, 2)

    @property
    def slot_ms(self) -> float:
        """Average milliseconds for which a call holds a slot, 0 before the first."""
        if not self.queue.has_measurement:
            return 0.0
        return round(self.queue.slot_seconds * 1000, 2)

    @property
    def work_ms(self) -> float:
        """Average milliseconds of work on a call, 0 before the first.

        The backend server does not work while it waits for calls of its own.
        """
        if not self.queue.has_measurement:
            return 0.0
        return round(self.queue.work_seconds * 1000, 2)

    @property
    def failure_ratio(self) -> float:
        """Fraction of recent calls that failed."""
        return self._failure_ratio.value

    @property
    def slowdown_percent(self) -> int:
        """How long work takes at this moment, in percent of the average."""
        return round(self._work_pace.get_slowdown(time.monotonic()) * 100)

    @property
    def start_time_ms(self) -> int:
        """Start time of the reported incarnation in ms, 0 before the first report."""
        return self._report.start_time_ms if self._report else 0

    @property
    def lifetime(self) -> tuple[str, int]:
        """Instance ID and start time of the last reported process."""
        report = self._report
        return (report.instance, report.start_time_ms) if report else ("", 0)

    @property
    def draining(self) -> bool:
        """Whether the backend server is about to end as planned."""
        return self._draining

    def build_candidate(self, node: str) -> Candidate | None:
        """Return a load-balancing candidate, None if the server accepts no calls.

        Args:
            node: Name of this node.
        """
        if not self.instance:
            return None
        return Candidate(
            node,
            True,
            self.slots,
            self.queue.in_flight,
            self.service_ms,
            self.failure_ratio,
            start_rate=self.warm_up.start_rate,
            request_limit=self.request_limit.rate,
            probe_due=self.request_limit.is_probe_due,
            slowdown=self._work_pace.get_slowdown(time.monotonic()),
        )

    def enable(self) -> None:
        """Accept calls, as this node now has a configuration.

        Before, it is unknown how many calls a cold backend server tolerates.
        """
        if self._enabled:
            return
        self._enabled = True
        if self.warm_up.start_rate:
            self.cold.log()
        else:
            self.cold.assume()

    def set_evacuated(self, evacuated: bool) -> None:
        """Accept no calls while the zone is evacuated, and few calls at first after it.

        Args:
            evacuated: Whether the zone is evacuated now.
        """
        if evacuated == self._evacuated:
            return
        self._evacuated = evacuated
        if evacuated:
            self.queue.refuse_queued_calls(Reason.ZONE_EVACUATED, EVACUATED_DETAIL)
        else:
            self.cold.assume()

    def stop(self) -> None:
        """Accept no further calls, because this node is stopping."""
        self._node_stopping = True

    def is_stale(self, report: StatusReport) -> bool:
        """Return whether a report is outdated by a later report or drain."""
        last_report = self._report
        if (
            report.start_time_ms
            and report.start_time_ms < self._newest_drained_start_ms
        ):
            return True
        if last_report is None:
            return False
        if report.start_time_ms != last_report.start_time_ms:
            return report.start_time_ms < last_report.start_time_ms
        if report.instance != last_report.instance:
            return False
        return report.sequence <= last_report.sequence

    def apply_report(self, report: StatusReport) -> bool:
        """Apply a status report.

        Returns:
            Whether the report was applied: False if it is stale, or if its service or
            address differs from the configured one.
        """
        if report.service != self._service or report.address != self._address:
            self._journal.emit(
                BACKEND_REPORT_REFUSED,
                backend=report.instance,
                reason="service or address differs from the configured one",
            )
            return False
        if self.is_stale(report):
            return False
        last_report = self._report
        is_new_incarnation = (
            last_report is None
            or last_report.instance != report.instance
            or last_report.start_time_ms != report.start_time_ms
        )
        self._report = report
        was_unavailable = self._unavailable
        if is_new_incarnation:
            self._reset_for_incarnation(report)
        if self._match_drain(report):
            self._draining = True
        elif report.state is BackendState.DRAINING:
            self.drain(report.instance, report.start_time_ms)
        else:
            if self._draining or self._unavailable:
                self._journal.emit(BACKEND_ANNOUNCED, backend=report.instance)
            self._draining = False
            self._unavailable = False
            if last_report is None or (was_unavailable and not is_new_incarnation):
                # The report may be older than a restart under the same id.
                self.cold.assume()
        self.cold.record_report(report.cold_remaining_seconds)
        return True

    def _match_drain(self, report: StatusReport) -> bool:
        """Return whether a drain applies to the reported incarnation.

        A pending drain request without a start time is bound to this incarnation.
        """
        instance, start_time_ms = report.instance, report.start_time_ms
        drain_until = self._unspecified_drain_until.pop(instance, 0.0)
        # The drain request arrived before the first report of this incarnation.
        is_unspecified = time.monotonic() < drain_until
        if not is_unspecified and not self._drained.covers(instance, start_time_ms):
            return False
        self._drained.add(instance, start_time_ms)
        return True

    def drain(self, instance: str, start_time_ms: int, source: str = "report") -> None:
        """Send no further calls to a backend server that is being drained.

        The drain applies to the whole incarnation: a report that was sent before the
        drain and arrives later does not make the backend server available again.

        Args:
            instance: Instance ID of the backend server.
            start_time_ms: Start time of the incarnation; 0 if unknown.
            source: Where the drain was learned of, for the log: ``report``, ``answer``
                or ``record``, which the store or a peer keeps.
        """
        last_report = self._report
        if last_report is not None and last_report.instance == instance:
            start_time_ms = start_time_ms or last_report.start_time_ms
            if start_time_ms >= last_report.start_time_ms:
                self._start_draining(instance, source)
            self._newest_drained_start_ms = max(
                self._newest_drained_start_ms, start_time_ms
            )
        self._drained.add(instance, start_time_ms)
        if not start_time_ms:
            self._unspecified_drain_until[instance] = (
                time.monotonic() + MAX_REPORT_DELAY_SECONDS
            )

    def suspend(self) -> None:
        """Accept no calls until the reported incarnation reports again.

        For a deregistration that names an earlier start of the same instance: it is
        either late, or the clock was set back before the process started that sent it.
        Only a late one is followed by reports of the later start.
        """
        if self._report is not None:
            self._start_draining(self._report.instance, "report")

    def _start_draining(self, instance: str, source: str) -> None:
        if not self._draining:
            self._journal.emit(BACKEND_DRAINING, backend=instance, source=source)
        self._draining = True

    async def serve(self, call: Call, remaining: float) -> ServedAnswer:
        """Run a call on the backend server.

        Args:
            call: The call to run.
            remaining: Seconds until the call's deadline.

        Raises:
            Refusal: The call got no usable answer. The verdict says whether the call
                may have run, judging by the bytes sent and received.
        """
        self._check_instance(call)
        deadline = time.monotonic() + remaining
        _check_remaining_time(remaining)
        context = read_context(call.context, time.monotonic())
        slot = await self.queue.acquire(
            call.latency_target_ms / 1000,
            remaining,
            call.nested,
            context,
            call.remaining_calls,
        )
        started = time.monotonic()
        completed = succeeded = False
        self._call_ratios.record_start(call.route, started)
        running_call = self._running_calls.start(
            call.request_id, call.route, context, slot
        )
        running_call.call = call
        try:
            # The backend server may have been drained while the call was queued.
            self._check_instance(call)
            served = await self._exchange(call, deadline, running_call)
            completed = True
            succeeded = served.status < MIN_FAILURE_STATUS
            return served
        except asyncio.CancelledError:
            # The caller gave up. If the call has run far longer than usual, this counts
            # as a failure of the backend server: a lost answer raises no error.
            elapsed = time.monotonic() - started
            if elapsed > UNANSWERED_SERVICE_TIMES * self.queue.service_seconds:
                self._failure_ratio.record(True)
            raise
        finally:
            now = time.monotonic()
            self._running_calls.end(running_call)
            self._call_ratios.record_end(
                call.route, started, now, succeeded, running_call.calls
            )
            blocked_seconds = running_call.measure_blocked_seconds(now)
            self.queue.release(slot, now - started, completed, blocked_seconds)

    def _reset_for_incarnation(self, report: StatusReport) -> None:
        """Replace the state that was kept for the previous incarnation."""
        self.pool.close_idle()
        self._draining = True
        self._failure_ratio.reset()
        self.warm_up.record_cold_time(0.0)
        self._work_pace.reset()
        self.request_limit.reset()
        self.queue.resize(report.slots)

    def count_blocked(self) -> int:
        """Return the number of calls in flight that wait for calls of their own."""
        return self._running_calls.count_blocked(self.queue.reclaimed_slots)

    def log(self) -> None:
        """Log what has changed in the last second."""
        self.statements.log_changes()
        if self._malformed_answers:
            self._journal.emit(
                BACKEND_ANSWER_MALFORMED,
                backend=self._report and self._report.instance,
                answers=self._malformed_answers,
                reason=self._malformed_reason,
            )
            self._malformed_answers = 0
        self.queue.statistics.log(
            self._journal,
            self.instance,
            self.queue.queued,
            self.count_blocked(),
        )

    def _record_statements(
        self, statements: Statements, instance: str, start_time_ms: int, sent_at: float
    ) -> None:
        """Record what an answer states about the backend server.

        Args:
            statements: What it states.
            instance: Instance ID of the backend server that answered.
            start_time_ms: Start time of its incarnation.
            sent_at: ``time.monotonic()`` when the answered call was sent.
        """
        self.statements.log_errors(statements)
        if statements.draining:
            self._record_stated_drain(instance, start_time_ms)
        elif instance == self.instance and start_time_ms == self.start_time_ms:
            self.statements.record(statements, sent_at)

    def _handle_cold_change(self) -> None:
        self.queue.start_queued_calls()
        self._broadcast_state()

    def _handle_limit_change(self) -> None:
        self.queue.start_queued_calls()
        self._broadcast_state()

    def _record_stated_drain(self, instance: str, start_time_ms: int) -> None:
        """Drain a backend server that states in an answer that it is about to stop."""
        if self._drained.covers(instance, start_time_ms):
            return
        had_instance = bool(self.instance)
        self.drain(instance, start_time_ms, "answer")
        if had_instance and not self.instance:
            self._broadcast_state()
        self._persist_drain(instance, start_time_ms)

    def mark_unavailable(self) -> None:
        """Accept no calls for a backend server that has crashed, and announce it.

        A crashed backend server sends no report. Without the announcement, other nodes
        would keep sending calls here, which fail before they are retried elsewhere, and
        would count the slots as capacity for admission. The next report makes the
        backend server available again. If it was sent before the crash, the next call
        marks the backend server unavailable once more.
        """
        if self._unavailable:
            return
        self._unavailable = True
        # The next process may be cold for longer than the one that has ended.
        self.warm_up.record_cold_time(0.0)
        self.pool.close_idle()
        self._journal.emit(
            BACKEND_UNAVAILABLE, backend=self._report and self._report.instance
        )
        self._broadcast_state()

    def _check_instance(self, call: Call) -> None:
        """Refuse a call for another instance, or any call if none is accepted."""
        if self._evacuated:
            raise not_run(Reason.ZONE_EVACUATED, EVACUATED_DETAIL)
        if not self.instance:
            raise not_run(Reason.DRAINING, "the backend server accepts no calls")
        if call.instance != self.instance:
            raise not_run(Reason.DRAINING, "the backend server was replaced")

    async def _exchange(
        self, call: Call, deadline: float, running_call: RunningCall
    ) -> ServedAnswer:
        parsed: ParsedAnswerHead | None = None

        def is_answer_to_call(answer: Response) -> bool:
            nonlocal parsed
            parsed = self._dialect.read_answer(answer)
            return parsed.request_id == call.request_id or (
                not parsed.request_id and answer.status >= 300
            )

        try:
            connection = await self.pool.acquire(non_idempotent=not call.idempotent)
        except ExchangeError as error:
            self._failure_ratio.record(True)
            if error.refused:
                self.mark_unavailable()
            raise not_run(Reason.CONNECTION_LOST, error.detail) from error
        try:
            # The zone may have been evacuated while the connection was opened.
            self._check_instance(call)
            remaining = deadline - time.monotonic()
            _check_remaining_time(remaining)
            request = self._dialect.finish_request(call, remaining)
            was_probe_due = self.request_limit.is_probe_due
            self.queue.record_start(running_call.slot)
            if was_probe_due:
                # Other nodes need not send a probe any more.
                self._broadcast_state()
            sent_at = time.monotonic()
            start_time_ms = self.start_time_ms
            answer = await connection.exchange(
                request, is_answer_to_call, call.head.startswith(b"HEAD ")
            )
        except ExchangeError as error:
            self._failure_ratio.record(True)
            if isinstance(error, MalformedResponseError):
                self._malformed_answers += 1
                self._malformed_reason = error.detail
            if not error.sent:
                raise not_run(Reason.CONNECTION_LOST, error.detail) from error
            raise may_have_run(Reason.CONNECTION_LOST, error.detail) from error
        finally:
            self.pool.release(connection)
        assert parsed is not None
        if answer.status != MISDIRECTED_STATUS:
            self._record_statements(
                parsed.statements, call.instance, start_time_ms, sent_at
            )
        self._check_answer(answer, parsed, running_call)
        return ServedAnswer(
            answer.status, parsed, answer.body, start_time_ms, running_call
        )

    def _check_answer(
        self, answer: Response, parsed: ParsedAnswerHead, running_call: RunningCall
    ) -> None:
        """Check that an answer of the backend server is valid.

        Answers with a status of 300 or above are valid without a signature.

        Raises:
            Refusal: The answer is a refusal, or its signature is missing.
        """
        if parsed.not_executed or answer.status == MISDIRECTED_STATUS:
            self._failure_ratio.record(True)
            if answer.status == MISDIRECTED_STATUS:
                # Another backend server has the address; the next report names it.
                self._draining = True
                raise BackendRefusal(
                    Reason.DRAINING, detail="another instance has the address"
                )
            detail = "the backend server refused the call"
            raise BackendRefusal(Reason.OVERLOADED, detail=detail)
        if answer.status < 300 and not parsed.signed:
            self._failure_ratio.record(True)
            detail = "the answer carries no signature of the backend server"
            raise may_have_run(Reason.ANSWER_BROKEN, detail)
        if not running_call.failed_by_request:
            self._failure_ratio.record(answer.status >= MIN_FAILURE_STATUS)


def _check_remaining_time(remaining: float) -> None:
    """Refuse a call that cannot be answered before its deadline."""
    if remaining < MIN_REMAINING_SECONDS:
        raise not_run(Reason.DEADLINE_EXCEEDED, "too little time left to send the call")
