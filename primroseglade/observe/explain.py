"""The story of one request, put together from the logs of all nodes.

Clocks of instances differ by seconds, so lines of different nodes are never ordered by
their time of day: the node at which a request entered has the last word on it, and
what surrounds a line is looked for at the same node only.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any

from .events import (
    CALL_ANSWERED,
    CALL_FAILED,
    CALL_REFUSED,
    CALL_REPEATED,
    CATALOGUE,
    LEVELS_SET,
    LINES_DROPPED,
    PEER_LOST,
    POLICY_IN_FORCE,
)

# Levels are told once a second while there are any; one step more for a slow writer.
CONTEXT_WINDOW_SECONDS = 2.0
# Lines that name a request, in the order in which they happen to it.
EVENT_ORDER = (
    CALL_REPEATED.number,
    CALL_FAILED.number,
    CALL_REFUSED.number,
    CALL_ANSWERED.number,
)


class LogLine:
    """One event in a node's log.

    Args:
        fields: As they were written.
    """

    __slots__ = ("fields",)

    def __init__(self, fields: dict[str, Any]):
        self.fields = fields

    @property
    def number(self) -> int:
        """The event's number."""
        return int(self.fields.get("event", 0))

    @property
    def instance(self) -> str:
        """The node that wrote it."""
        return str(self.fields.get("instance", ""))

    @property
    def time(self) -> float:
        """Seconds by that node's time of day."""
        return float(self.fields.get("time", 0.0))

    def get(self, name: str, default: Any = "") -> Any:
        """Return a field."""
        return self.fields.get(name, default)


class Explanation:
    """What the logs tell of a request.

    Args:
        request: Its id.
        lines: That name it, in order.
        context: Of the nodes that decided, around those lines.
        cause: One sentence.
    """

    __slots__ = ("cause", "context", "lines", "request")

    def __init__(
        self, request: str, lines: list[LogLine], context: list[LogLine], cause: str
    ):
        self.request = request
        self.lines = lines
        self.context = context
        self.cause = cause


def parse_line(text: str) -> LogLine | None:
    """Return the event in a line of a log; None where there is none.

    Collectors put a time or a name before what a process writes.

    >>> parse_line('  0.5 node-1 {"event":101,"instance":"node-1"}').number
    101
    >>> parse_line("Traceback (most recent call last):") is None
    True
    """
    start = text.find('{"')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        # A line that was cut at a crash, or is not ours.
        return None
    return LogLine(fields) if isinstance(fields, dict) and "event" in fields else None


def read_lines(files: Iterable[Iterable[str]]) -> list[LogLine]:
    """Return all events in logs."""
    parsed = (parse_line(text) for file in files for text in file)
    return [line for line in parsed if line is not None]


def explain(request: str, lines: list[LogLine]) -> Explanation | None:
    """Return the story of a request; None where no line names it."""
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        return None
    request_lines.sort(key=_get_sort_key)
    last = request_lines[-1]
    nearby = [
        line
        for line in lines
        if line.instance == last.instance
        and abs(line.time - last.time) <= CONTEXT_WINDOW_SECONDS
        and "request" not in line.fields
    ]
    find_cause = _cause_finders.get((last.number, str(last.get("reason"))))
    find_cause = find_cause or _cause_finders.get((last.number, ""), _explain_other)
    context, cause = find_cause(last, nearby, lines)
    return Explanation(request, request_lines, context, cause)


Cause = tuple[list[LogLine], str]
CauseFinder = Callable[[LogLine, list[LogLine], list[LogLine]], Cause]

_cause_finders: dict[tuple[int, str], CauseFinder] = {}


def _finds_cause_of(number: int, *reasons: str) -> Callable[[CauseFinder], CauseFinder]:
    """Register what finds the cause behind an event, for some of its reasons."""

    def register(find_cause: CauseFinder) -> CauseFinder:
        for reason in reasons or ("",):
            _cause_finders[number, reason] = find_cause
        return find_cause

    return register


@_finds_cause_of(CALL_REFUSED.number, "overloaded")
def _explain_overload(
    last: LogLine, nearby: list[LogLine], lines: list[LogLine]
) -> Cause:
    level_lines = [line for line in nearby if line.number == LEVELS_SET.number]
    if not level_lines:
        return [], f"The request was refused as overloaded: {last.get('detail')}."
    nearest = min(level_lines, key=lambda line: abs(line.time - last.time))
    levels = nearest.get("levels", {})
    calls_per_slot = nearest.get("pressure", {})
    # The service whose level is lowest is the one that admission went by.
    service = min(levels, key=levels.__getitem__, default="")
    text = (
        f"It was refused where it entered: service {service} had "
        f"{calls_per_slot.get(service, '?')} calls for each slot, and "
        f"{levels.get(service, '?')} of the demand for it was let through."
    )
    return [nearest], text


@_finds_cause_of(CALL_REFUSED.number, "rate-exceeded")
def _explain_rate(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    version = last.get("policy", 0)
    policy_lines = _find_policy(last, version, lines)
    version_text = (
        f" since version {version}" if policy_lines else f" under version {version}"
    )
    if policy_lines:
        version_text += f", in force there for {last.time - policy_lines[0].time:.1f} s"
    return (
        policy_lines,
        f"Its workspace was over its rate{version_text}: {last.get('detail')}.",
    )


@_finds_cause_of(CALL_REFUSED.number, "key-unknown", "service-unknown", "key-missing")
def _explain_unknown(
    last: LogLine, nearby: list[LogLine], lines: list[LogLine]
) -> Cause:
    version = last.get("policy", 0)
    text = f"Version {version} of the configuration does not allow it"
    policy_lines = _find_policy(last, version, lines)
    return policy_lines, f"{text}: {last.get('detail')}."


@_finds_cause_of(CALL_REFUSED.number, "configuration-stale", "configuration-missing")
def _explain_stale(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    return [], (
        f"The node could not know whether its key still holds: {last.get('detail')}. "
        "Neither the platform's store nor another node told it."
    )


@_finds_cause_of(
    CALL_REFUSED.number, "connection-lost", "deadline-exceeded", "answer-broken"
)
def _explain_loss(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    lost_lines = [line for line in nearby if line.number == PEER_LOST.number]
    peers = ", ".join(sorted({str(line.get("peer")) for line in lost_lines}))
    text = f"No whole answer came: {last.get('detail')}"
    if peers:
        text += f"; streams to {peers} were lost at that time"
    outcome = "may have run" if last.get("verdict") != "not run" else "did not run"
    return lost_lines, f"{text}. The request {outcome}."


@_finds_cause_of(CALL_ANSWERED.number)
def _explain_failure(
    last: LogLine, nearby: list[LogLine], lines: list[LogLine]
) -> Cause:
    text = (
        f"The backend server beside {last.get('node')} answered "
        f"{last.get('status')}, and that was handed on"
    )
    return [], f"{text} after {last.get('seconds')} s."


def _explain_other(last: LogLine, nearby: list[LogLine], lines: list[LogLine]) -> Cause:
    event = CATALOGUE.get(last.number)
    meaning = event.meaning if event is not None else "The event is not known."
    detail = last.get("detail") or last.get("error") or last.get("reason")
    return [], f"{meaning} {detail}".strip()


def _find_policy(last: LogLine, version: int, lines: list[LogLine]) -> list[LogLine]:
    """Return when a version came into force at the node that decided."""
    return [
        line
        for line in lines
        if line.number == POLICY_IN_FORCE.number
        and line.instance == last.instance
        and line.get("version") == version
        and line.time <= last.time
    ][-1:]


def count_dropped_lines(lines: Iterable[LogLine]) -> int:
    """Return how many lines the nodes did not write, so that an id may be missing."""
    return sum(
        sum(line.get("counts", {}).values())
        for line in lines
        if line.number == LINES_DROPPED.number
    )


def _get_sort_key(line: LogLine) -> tuple[int, float]:
    position = EVENT_ORDER.index(line.number) if line.number in EVENT_ORDER else -1
    return position, line.time
