"""Explains the outcome of one request from the logs of all nodes.

Clocks of instances differ by seconds, so a request's lines are ordered by kind of event
first and by time second. The last line is the outcome, logged by the node at which the
request entered. Context lines are taken from the log of this node only.
"""

from .causes import CONTEXT_WINDOW_SECONDS, find_cause
from .events import (
    BACKEND_ENDED,
    CALL_ANSWERED,
    CALL_FAILED,
    CALL_REFUSED,
    CALL_RETRIED,
)
from .log_lines import LogLine

# Events that name a request, in the order in which they occur.
EVENT_ORDER = (
    BACKEND_ENDED.number,
    CALL_RETRIED.number,
    CALL_FAILED.number,
    CALL_REFUSED.number,
    CALL_ANSWERED.number,
)


class Explanation:
    """What the logs say about a request.

    Args:
        request_id: Id of the request.
        lines: Lines that name the request, in the order of ``EVENT_ORDER``.
        context: Other lines of the node that logged the outcome; they show the cause.
        cause: Why the request ended as it did, in a sentence or two.
    """

    __slots__ = ("cause", "context", "lines", "request_id")

    def __init__(
        self, request_id: str, lines: list[LogLine], context: list[LogLine], cause: str
    ):
        self.request_id = request_id
        self.lines = lines
        self.context = context
        self.cause = cause


def explain(request_id: str, lines: list[LogLine]) -> Explanation | None:
    """Return the explanation of a request, or None if no line names it."""
    request_lines = [line for line in lines if line.get("request") == request_id]
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
    context, cause = find_cause(last, nearby, lines)
    return Explanation(request_id, request_lines, context, cause)


def _get_sort_key(line: LogLine) -> tuple[int, float]:
    position = EVENT_ORDER.index(line.number) if line.number in EVENT_ORDER else -1
    return position, line.time
