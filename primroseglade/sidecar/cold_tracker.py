"""Applies and announces what a node learns of its backend server's warm-up."""

from collections.abc import Callable

from ..observe.events import BACKEND_COLD, Journal, VALUE_IGNORED
from .health_check import HealthAnswer
from .warm_up import WarmUp


class ColdTracker:
    """Records from which sources the local backend server is known to be cold.

    Args:
        service: Service of the backend server.
        warm_up: Tracks how long it stays cold, and how many calls may start.
        journal: Logs warm-ups.
        get_instance: Returns its instance ID; empty while it accepts no calls.
        handle_change: Called when calls may start earlier or later than before.
        request_health_check: Starts health checks, to learn whether it is cold.
    """

    __slots__ = (
        "_get_instance",
        "_handle_change",
        "_journal",
        "_request_health_check",
        "_service",
        "_warm_up",
    )

    def __init__(
        self,
        service: str,
        warm_up: WarmUp,
        journal: Journal,
        get_instance: Callable[[], str],
        handle_change: Callable[[], None],
        request_health_check: Callable[[], None],
    ):
        self._service = service
        self._warm_up = warm_up
        self._journal = journal
        self._get_instance = get_instance
        self._handle_change = handle_change
        self._request_health_check = request_health_check

    def assume(self) -> None:
        """Treat the backend server as cold until it says whether it is.

        Without a limit on starts at cold backend servers this has no effect. If it is
        known to be cold already, nothing changes; if that is only assumed, the
        assumption begins anew.
        """
        is_known = self._warm_up.start_rate and not self._warm_up.is_assumed
        if not self._get_instance() or is_known:
            return
        self._warm_up.assume_cold()
        if self._warm_up.is_assumed:
            self.log()
            self._request_health_check()

    def record_health(self, answer: HealthAnswer) -> None:
        """Record what a health check of the backend server shows."""
        if answer.instance != self._get_instance():
            return
        self._warm_up.record_cold_time(self._limit(answer.cold_seconds))
        self._announce()

    def record_report(self, seconds: float) -> None:
        """Record for how long a status report says that the backend server is cold."""
        previous_rate = self._warm_up.start_rate
        self._warm_up.record_report(self._limit(seconds))
        if self._warm_up.start_rate != previous_rate:
            self._announce()

    def log(self) -> None:
        """Log for how long the backend server is cold."""
        self._journal.emit(
            BACKEND_COLD,
            backend=self._get_instance(),
            seconds=round(self._warm_up.remaining_seconds, 3),
            calls_per_second=self._warm_up.start_rate,
            assumed=self._warm_up.is_assumed,
        )

    def _announce(self) -> None:
        if self._warm_up.start_rate:
            self.log()
        self._handle_change()

    def _limit(self, seconds: float) -> float:
        """Return a cold time that is at most what the operator states as the longest.

        A longer one is logged; it would keep calls from the backend server for good.
        """
        max_seconds = self._warm_up.max_seconds
        if max_seconds is None or seconds <= max_seconds:
            return seconds
        self._journal.emit(
            VALUE_IGNORED,
            service=self._service,
            reason=f"cold for {seconds:g} s, at most {max_seconds:g} s are possible",
        )
        return max_seconds
