"""What callers saw, kept for the checks."""

import time

from ..verdicts import Refusal, Verdict


class CallRecord:
    """One root call as its caller saw it.

    Args:
        id: Unique; the backend server is shown it, and echoes it.
        workspace: Whose key it carried.
        key: Number of the key.
        service: Root service.
        method: HTTP method.
    """

    __slots__ = (
        "ended_at",
        "id",
        "is_complete",
        "key",
        "method",
        "outcome",
        "sent_at",
        "service",
        "verdict",
        "workspace",
    )

    def __init__(self, id: str, workspace: str, key: int, service: str, method: str):
        self.id = id
        self.workspace = workspace
        self.key = key
        self.service = service
        self.method = method
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.outcome = ""
        self.verdict: Verdict | None = None
        self.is_complete = False

    @property
    def served(self) -> bool:
        """Whether the caller got a whole answer of its own."""
        return self.outcome == "served" and self.is_complete

    def record_response(self, status: int, is_complete: bool) -> None:
        """Note an answer."""
        self.ended_at = time.monotonic()
        self.outcome = "served" if status < 500 else f"status-{status}"
        self.is_complete = is_complete

    def record_refusal(self, refusal: Refusal) -> None:
        """Note a refusal."""
        self.ended_at = time.monotonic()
        self.outcome = refusal.reason.code
        self.verdict = refusal.verdict
