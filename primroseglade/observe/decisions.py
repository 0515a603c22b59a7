"""Decisions on refused and slow calls, kept so that an operator can look them up."""

import collections
import time
from typing import Any

MAX_DECISIONS = 5000


class Decision:
    """What an instance decided about one call.

    Args:
        trace: Trace id of the root call, in hex.
        listener: Where the call came in.
        service: The service it asked for.
        workspace: Whose call it was, empty where that was not known.
        outcome: A refusal's reason code, or ``served``.
        verdict: Whether it may have run.
        detail: Why.
        instance: The instance that decided.
        next_offset: The configuration that was in force, as an offset.
        seconds: How long the call took here.
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
        """Return the decision for JSON."""
        return {name: getattr(self, name) for name in self.__slots__}


class Decisions:
    """The last decisions of an instance."""

    def __init__(self, max_decisions: int = MAX_DECISIONS) -> None:
        self._recent: collections.deque[Decision] = collections.deque(
            maxlen=max_decisions
        )

    def add(self, decision: Decision) -> None:
        """Keep a decision and forget the oldest."""
        self._recent.append(decision)

    def find(self, trace_id: str) -> list[dict[str, Any]]:
        """Return the decisions on the calls of a trace, oldest first."""
        return [item.to_dict() for item in self._recent if item.trace == trace_id]

    def get_last(self, count: int) -> list[dict[str, Any]]:
        """Return the last decisions, newest first."""
        newest = list(self._recent)[-count:]
        return [item.to_dict() for item in reversed(newest)]
