"""Records of calls as their callers saw them."""

import time

from ..verdicts import Refusal, Verdict


class CallRecord:
    """A root call as its caller saw it.

    Args:
        id: Unique id, which is sent as a header and echoed by the backend server.
        workspace: Workspace whose key the call carried.
        key_number: Number of that key in its workspace.
        service: Service that was called.
        method: HTTP method.

    Attributes:
        sent_at: Start of the call, by ``time.monotonic``.
        ended_at: End of the call, or 0 while it is in flight.
        outcome: ``served`` for a status below 500, ``status-`` and the number for other
            statuses, or the code of the refusal.
        verdict: Whether a refused call may have run; None if it was not refused.
        is_complete: Whether the whole response to this very call arrived.
    """

    __slots__ = (
        "ended_at",
        "id",
        "is_complete",
        "key_number",
        "method",
        "outcome",
        "sent_at",
        "service",
        "verdict",
        "workspace",
    )

    def __init__(
        self, id: str, workspace: str, key_number: int, service: str, method: str
    ):
        self.id = id
        self.workspace = workspace
        self.key_number = key_number
        self.service = service
        self.method = method
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.outcome = ""
        self.verdict: Verdict | None = None
        self.is_complete = False

    @property
    def fully_served(self) -> bool:
        """Whether the outcome is ``served`` and the complete response arrived."""
        return self.outcome == "served" and self.is_complete

    def record_response(self, status: int, is_complete: bool) -> None:
        """Record that the call ended with a response."""
        self.ended_at = time.monotonic()
        self.outcome = "served" if status < 500 else f"status-{status}"
        self.is_complete = is_complete

    def record_refusal(self, refusal: Refusal) -> None:
        """Record that the call ended with a refusal."""
        self.ended_at = time.monotonic()
        self.outcome = refusal.reason.code
        self.verdict = refusal.verdict
