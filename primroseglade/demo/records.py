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
        "ended",
        "id",
        "key",
        "method",
        "outcome",
        "sent",
        "service",
        "verdict",
        "whole",
        "workspace",
    )

    def __init__(self, id: str, workspace: str, key: int, service: str, method: str):
        self.id = id
        self.workspace = workspace
        self.key = key
        self.service = service
        self.method = method
        self.sent = time.monotonic()
        self.ended = 0.0
        self.outcome = ""
        self.verdict: Verdict | None = None
        self.whole = False

    @property
    def served(self) -> bool:
        """Whether the caller got a whole answer of its own."""
        return self.outcome == "served" and self.whole

    def note_answer(self, status: int, whole: bool) -> None:
        """Note an answer."""
        self.ended = time.monotonic()
        self.outcome = "served" if status < 500 else f"status-{status}"
        self.whole = whole

    def note_refusal(self, refusal: Refusal) -> None:
        """Note a refusal."""
        self.ended = time.monotonic()
        self.outcome = refusal.reason.code
        self.verdict = refusal.verdict
