"""Records on one node which operations have run, so that each runs at most once."""

import collections
import enum
import time
from collections.abc import Callable

from ..verdicts import Verdict

RETENTION_SECONDS = 900.0
MAX_OPERATIONS = 200_000


class RunDecision(enum.IntEnum):
    """Whether an attempt may run, and if not, the known state of the operation.

    In an answer, ``UNKNOWN`` refuses a later attempt, because the operation is not
    recorded here. In a recorded operation, it means that no attempt has run so far.
    """

    UNKNOWN = 0
    RUN = 1
    RUNNING = 2
    RAN = 3
    MAY_HAVE_RUN = 4


class OperationState:
    """The last attempt of an operation, and the decision on further attempts."""

    __slots__ = ("attempt", "decision", "started_at")

    def __init__(self, attempt: int, started_at: float):
        self.attempt = attempt
        self.started_at = started_at
        self.decision: RunDecision = RunDecision.RUNNING


class OperationTable:
    """Stores the state of operations by workspace and operation id.

    Losing entries is safe: a first attempt may run if the operation is not recorded,
    but a later attempt only if the operation is recorded as not run. A node that has
    evicted the entry, or that never had it, therefore refuses later attempts.

    Args:
        clock: Returns monotonic time in seconds.
        retention_seconds: How long an operation is kept after its last start.
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

    def begin(self, workspace: str, operation: str, attempt: int) -> RunDecision:
        """Decide whether an attempt may run; return ``RUN`` only once per attempt."""
        self._evict_old()
        key = (workspace, operation)
        entry = self._entries.get(key)
        if entry is None:
            if attempt > 1:
                return RunDecision.UNKNOWN
            self._entries[key] = OperationState(attempt, self._clock())
            return RunDecision.RUN
        if entry.decision is not RunDecision.UNKNOWN:
            return entry.decision
        # Recorded as not run. A delayed or duplicated attempt must not run after a
        # later one was allowed: the caller may already know that nothing ran.
        if attempt <= entry.attempt:
            return RunDecision.MAY_HAVE_RUN
        entry.attempt = attempt
        entry.decision = RunDecision.RUNNING
        entry.started_at = self._clock()
        return RunDecision.RUN

    def finish(
        self, workspace: str, operation: str, attempt: int, verdict: Verdict
    ) -> None:
        """Record the verdict on the attempt that was allowed to run."""
        entry = self._entries.get((workspace, operation))
        if entry is None or entry.attempt != attempt:
            return
        if entry.decision is not RunDecision.RUNNING:
            return
        entry.decision = {
            Verdict.NOT_RUN: RunDecision.UNKNOWN,
            Verdict.RAN: RunDecision.RAN,
            Verdict.MAY_HAVE_RUN: RunDecision.MAY_HAVE_RUN,
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
