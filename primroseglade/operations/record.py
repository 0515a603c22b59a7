"""What a recording node remembers of operations."""

import collections
import enum
import time
from collections.abc import Callable

from ..verdicts import Verdict

RETENTION_SECONDS = 900.0
MAX_OPERATIONS = 200_000


class Decision(enum.IntEnum):
    """Whether an attempt may run, or what became of the operation."""

    UNKNOWN = 0
    RUN = 1
    RUNNING = 2
    RAN = 3
    MAY_HAVE_RUN = 4


class OperationState:
    """An operation: its last attempt, and what is known of all of them."""

    __slots__ = ("attempt", "decision", "started_at")

    def __init__(self, attempt: int, started_at: float):
        self.attempt = attempt
        self.started_at = started_at
        self.decision: Decision = Decision.RUNNING


class Record:
    """Operations by workspace and id.

    The rule that makes forgetting safe: a first attempt may run when nobody knows the
    operation, a later one only when its operation is remembered here as not run.
    Whoever forgets, or is asked in another's place, refuses the later attempt.

    Args:
        clock: Seconds.
        kept: Seconds for which an operation is remembered.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        retention_seconds: float = RETENTION_SECONDS,
    ):
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._entries: collections.OrderedDict[tuple[str, str], OperationState] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, workspace: str, operation: str, attempt: int) -> Decision:
        """Decide on an attempt; ``RUN`` is said once an attempt at the most."""
        self._evict_old()
        key = (workspace, operation)
        entry = self._entries.get(key)
        if entry is None:
            if attempt > 1:
                return Decision.UNKNOWN
            self._entries[key] = OperationState(attempt, self._clock())
            return Decision.RUN
        if entry.decision is not Decision.UNKNOWN:
            return entry.decision
        # Remembered as not run. An attempt that was overtaken by a later one, late
        # or sent twice, is not let through: the later one has its permission.
        if attempt <= entry.attempt:
            return Decision.MAY_HAVE_RUN
        entry.attempt = attempt
        entry.decision = Decision.RUNNING
        entry.started_at = self._clock()
        return Decision.RUN

    def finish(
        self, workspace: str, operation: str, attempt: int, verdict: Verdict
    ) -> None:
        """Note what became of the attempt that was let through."""
        entry = self._entries.get((workspace, operation))
        if entry is None or entry.attempt != attempt:
            return
        if entry.decision is not Decision.RUNNING:
            return
        entry.decision = {
            Verdict.NOT_RUN: Decision.UNKNOWN,
            Verdict.RAN: Decision.RAN,
            Verdict.MAY_HAVE_RUN: Decision.MAY_HAVE_RUN,
        }[verdict]

    def _evict_old(self) -> None:
        expired_before = self._clock() - self._retention_seconds
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if (
                entry.started_at > expired_before
                and len(self._entries) < MAX_OPERATIONS
            ):
                return
            del self._entries[key]
