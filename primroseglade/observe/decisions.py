"""Decisions on refused and slow calls, kept for look-up by an operator."""

import collections
import time
from typing import Any

MAX_KEPT_DECISIONS = 5000


class CallDecision:
    """What an instance decided about one call, and under which configuration.

    Args:
        trace: Trace id of the root call, in hex.
        listener: Name of the listener that received the call.
        service: Requested service.
        workspace: Workspace of the caller; empty if unknown.
        outcome: A refusal's reason code, or ``served``.
        verdict: Whether the call ran, may have run or did not run.
        detail: Explanation of the outcome.
        instance: Instance that decided.
        next_offset: Offset after the last configuration record in force.
        seconds: Time that the call took at this instance.
    """

    __slots__ = (
        "detail",
        "instance",
        "listener",
        "next_offset",
        "outcome",
        "seconds",
        "service",
        "time",
        "trace",
        "verdict",
        "workspace",
    )

    def __init__(self, **fields: Any):
        self.time = time.time()
        for name, value in fields.items():
            setattr(self, name, value)

    def to_dict(self) -> dict[str, Any]:
        """Return the decision as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}


class DecisionLog:
    """The last ``max_decisions`` decisions of an instance."""

    def __init__(self, max_decisions: int = MAX_KEPT_DECISIONS) -> None:
        self._recent: collections.deque[CallDecision] = collections.deque(
            maxlen=max_decisions
        )

    def add(self, decision: CallDecision) -> None:
        """Add a decision, and evict the oldest if more than the maximum are kept."""
        self._recent.append(decision)

    def find(self, trace_id: str) -> list[dict[str, Any]]:
        """Return the decisions on calls of a trace, oldest first."""
        return [item.to_dict() for item in self._recent if item.trace == trace_id]

    def get_last(self, count: int) -> list[dict[str, Any]]:
        """Return the last ``count`` decisions, newest first."""
        newest = list(self._recent)[-count:]
        return [item.to_dict() for item in reversed(newest)]
