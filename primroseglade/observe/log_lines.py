"""Events in the log files of nodes."""

import json
from collections.abc import Iterable
from typing import Any

from .events import LINES_DROPPED


class LogLine:
    """One event in a node's log.

    Args:
        fields: Logged fields by name.
    """

    __slots__ = ("fields",)

    def __init__(self, fields: dict[str, Any]):
        self.fields = fields

    @property
    def number(self) -> int:
        """Number of the event."""
        return int(self.fields.get("event", 0))

    @property
    def instance(self) -> str:
        """Name of the instance that logged the event."""
        return str(self.fields.get("instance", ""))

    @property
    def time(self) -> float:
        """Time of the event, in Unix seconds of the instance's clock."""
        return float(self.fields.get("time", 0.0))

    def get(self, name: str, default: Any = "") -> Any:
        """Return a field, or the default if it is absent."""
        return self.fields.get(name, default)


def parse_line(text: str) -> LogLine | None:
    """Return the event in a line of a log, or None if the line has none.

    Log collectors may prefix lines with a time or a name.

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
        # A line truncated by a crash, or written by another program.
        return None
    return LogLine(fields) if isinstance(fields, dict) and "event" in fields else None


def read_lines(files: Iterable[Iterable[str]]) -> list[LogLine]:
    """Return all events in some log files, given as iterables of lines."""
    parsed = (parse_line(text) for file in files for text in file)
    return [line for line in parsed if line is not None]


def count_dropped_lines(lines: Iterable[LogLine]) -> int:
    """Return how many lines the nodes dropped; any of them could name the request."""
    return sum(
        sum(line.get("counts", {}).values())
        for line in lines
        if line.number == LINES_DROPPED.number
    )
