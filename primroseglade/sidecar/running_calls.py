"""The calls that run on the local backend server.

A backend server makes calls of its own while it runs one. A call that names the one it
is made for belongs to the same request of a caller. Until it is answered, the running
call is blocked: it holds its slot, and the backend server does not work on it.
"""

from collections.abc import Container

from .frames import Call
from .request_context import RequestContext

# Maximum number of counted calls of one run to one route. Callers could send more calls
# in the name of a run than its backend server makes.
MAX_COUNTED_CALLS = 64


class RunningCall:
    """A call that runs on the local backend server.

    Args:
        request_id: ID of the call.
        route: Name of its route.
        context: The request that it belongs to; None if unknown.
        slot: ID of its slot.

    Attributes:
        calls: Number of calls that the backend server has made for it so far, by route.
        pending_calls: Number of these that have not been answered.
        call: The message that the call came with; None if unknown.
        ended_servers: Hashes of the backend servers that ended under calls made for it.
        was_blocked: Whether a call made for it was refused because its request is
            suspect.
    """

    __slots__ = (
        "_blocked_seconds",
        "_blocked_since",
        "call",
        "calls",
        "context",
        "ended_servers",
        "pending_calls",
        "request_id",
        "route",
        "slot",
        "was_blocked",
    )

    def __init__(
        self,
        request_id: bytes,
        route: str,
        context: RequestContext | None,
        slot: int = 0,
    ):
        self.request_id = request_id
        self.route = route
        self.context = context
        self.slot = slot
        self.calls: dict[str, int] = {}
        self.pending_calls = 0
        self.call: Call | None = None
        self.ended_servers: frozenset[int] = frozenset()
        self.was_blocked = False
        self._blocked_seconds = 0.0
        self._blocked_since = 0.0

    @property
    def failed_by_request(self) -> bool:
        """Whether a failure is due to the request, and not to the backend server."""
        return self.was_blocked or bool(self.ended_servers)

    def begin_call(self, route: str, now: float) -> None:
        """Record a call that the backend server makes for this one."""
        self.calls[route] = min(MAX_COUNTED_CALLS, self.calls.get(route, 0) + 1)
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
        # Callers choose the IDs, so that several running calls may have the same.
        self._calls: dict[bytes, list[RunningCall]] = {}

    def start(
        self,
        request_id: bytes,
        route: str,
        context: RequestContext | None,
        slot: int = 0,
    ) -> RunningCall:
        """Add a call that is sent to the backend server."""
        call = RunningCall(request_id, route, context, slot)
        self._calls.setdefault(request_id, []).append(call)
        return call

    def end(self, call: RunningCall) -> None:
        """Remove a call."""
        calls = self._calls[call.request_id]
        calls.remove(call)
        if not calls:
            del self._calls[call.request_id]

    def count_blocked(self, reclaimed_slots: Container[int] = ()) -> int:
        """Return the number of running calls that wait for calls of their own.

        Args:
            reclaimed_slots: IDs of slots whose calls are not counted.
        """
        return sum(
            call.pending_calls > 0 and call.slot not in reclaimed_slots
            for calls in self._calls.values()
            for call in calls
        )

    def find(self, request_id: bytes) -> RunningCall | None:
        """Return the running call with an ID; None if there is none or several."""
        calls = self._calls.get(request_id, ()) if request_id else ()
        return calls[0] if len(calls) == 1 else None
