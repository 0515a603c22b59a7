"""Applies what answers of the local backend server state about it."""

import time
from collections.abc import Callable

from ..observe.events import BACKEND_LIMIT, BACKEND_SLOWED, Journal, VALUE_IGNORED
from .request_limit import RequestLimit
from .statements import Statements
from .work_pace import WorkPace

# Slowdown from which on a backend server is logged as slow, and slowdown below which it
# is logged as recovered.
SLOW_RATIO = 1.5
RECOVERED_RATIO = 1.2
# Minimum time between log lines about invalid values of the same kind: each answer may
# state another one.
ERROR_LOG_INTERVAL_SECONDS = 60.0


class StatementRecorder:
    """Records and logs statements of the local backend server.

    Args:
        service: Service of the backend server.
        request_limit: Tracks the limit on requests that the backend server states.
        work_pace: Tracks how long work takes there.
        journal: Logs stated limits, slowdowns and invalid values.
        get_instance: Returns the instance ID of the backend server, for the log.
        handle_limit_change: Called when the stated limit has changed.
    """

    def __init__(
        self,
        service: str,
        request_limit: RequestLimit,
        work_pace: WorkPace,
        journal: Journal,
        get_instance: Callable[[], str],
        handle_limit_change: Callable[[], None],
    ):
        self._service = service
        self._request_limit = request_limit
        self._work_pace = work_pace
        self._journal = journal
        self._get_instance = get_instance
        self._handle_limit_change = handle_limit_change
        self._logged_sent_count = 0
        self._slow_logged = False
        # When an invalid value was last logged, by the first word of the text.
        self._errors_logged_at: dict[str, float] = {}

    def record(self, statements: Statements, sent_at: float) -> None:
        """Record what an answer of the current incarnation states.

        Args:
            statements: What it states.
            sent_at: ``time.monotonic()`` when the answered call was sent.
        """
        load = statements.load
        if load is not None and load.work_time_ratio is not None:
            self._work_pace.record(load.work_time_ratio, time.monotonic())
        if self._request_limit.record_statement(statements.request_limit, sent_at):
            self._log_request_limit()
            self._handle_limit_change()

    def log_errors(self, statements: Statements) -> None:
        """Log invalid values of an answer, unless such ones were logged recently."""
        now = time.monotonic()
        for error in statements.errors:
            kind = error.partition(" ")[0]
            logged_at = self._errors_logged_at.get(kind)
            if logged_at is None or now - logged_at > ERROR_LOG_INTERVAL_SECONDS:
                self._errors_logged_at[kind] = now
                self._journal.emit(VALUE_IGNORED, service=self._service, reason=error)

    def log_changes(self) -> None:
        """Log the limit in force, and slowdowns; to be called once per second."""
        self._log_slowdown()
        sent_count = self._request_limit.sent_count
        if self._request_limit.rate:
            self._log_request_limit()
        self._logged_sent_count = sent_count

    def _log_slowdown(self) -> None:
        slowdown = self._work_pace.get_slowdown(time.monotonic())
        threshold = RECOVERED_RATIO if self._slow_logged else SLOW_RATIO
        if (slowdown >= threshold) == self._slow_logged:
            return
        self._slow_logged = not self._slow_logged
        self._journal.emit(
            BACKEND_SLOWED,
            backend=self._get_instance(),
            slowdown=round(slowdown, 2),
            slow=self._slow_logged,
        )

    def _log_request_limit(self) -> None:
        self._journal.emit(
            BACKEND_LIMIT,
            backend=self._get_instance(),
            calls_per_second=self._request_limit.rate,
            sent=self._request_limit.sent_count - self._logged_sent_count,
        )
