"""The calls that run on the local backend server.

A backend server makes calls of its own while it runs one. A call that names the one it
is made for belongs to the same request of a caller. Until it is answered, the running
call is blocked: it holds its slot, and the backend server does not work on it.
"""

from .request_context import RequestContext


class RunningCall:
    """A call that runs on the local backend server.

    Args:
        request_id: ID of the call.
        route: Name of its route.
        context: The request that it belongs to; None if unknown.

    Attributes:
        calls: Number of calls that the backend server has made for it so far, by route.
        pending_calls: Number of these that have not been answered.
    """

    __slots__ = (
        "_blocked_seconds",
        "_blocked_since",
        "calls",
        "context",
        "pending_calls",
        "request_id",
        "route",
    )

    def __init__(self, request_id: bytes, route: str, context: RequestContext | None):
        self.request_id = request_id
        self.route = route
        self.context = context
        self.calls: dict[str, int] = {}
        self.pending_calls = 0
        self._blocked_seconds = 0.0
        self._blocked_since = 0.0

    def begin_call(self, route: str, now: float) -> None:
        """Record a call that the backend server makes for this one."""
        self.calls[route] = self.calls.get(route, 0) + 1
        if not self.pending_calls:
            self._blocked_since = now
        self.pending_calls += 1

    def end_call(self, now: float) -> None:
        """Record that a call made for this one was answered, refused or canceled."""
        self.pending_calls -= 1
        if not self.pending_calls:
            self._blocked_seconds += now - self._blocked_since

    def measure_blocked_seconds(self, now: float) -> float:
        """Return for how many seconds at least one call made for this was pending."""
        pending_seconds = now - self._blocked_since if self.pending_calls else 0.0
        return self._blocked_seconds + pending_seconds


class RunningCalls:
    """Finds the running call for which the local backend server makes another."""

    def __init__(self) -> None:
        self._calls: dict[bytes, RunningCall] = {}

    def start(
        self, request_id: bytes, route: str, context: RequestContext | None
    ) -> RunningCall:
        """Add a call that is sent to the backend server."""
        call = self._calls[request_id] = RunningCall(request_id, route, context)
        return call

    def end(self, call: RunningCall) -> None:
        """Remove a call."""
        if self._calls.get(call.request_id) is call:
            del self._calls[call.request_id]

    def count_blocked(self) -> int:
        """Return the number of running calls that wait for calls of their own."""
        return sum(call.pending_calls > 0 for call in self._calls.values())

    def find(self, request_id: bytes) -> RunningCall | None:
        """Return the running call with an ID; None if there is none."""
        return self._calls.get(request_id) if request_id else None
