"""Numbered events: the catalogue, and the journal that writes and keeps them."""

import collections
import json
import time
from typing import Any, TextIO

import logbook

MAX_RECENT_EVENTS = 500

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


class Event:
    """One kind of event.

    Args:
        number: Stable number; never used again for another kind.
        level: ``debug``, ``info``, ``warning`` or ``error``.
        text: What happened, in a few words.
        meaning: What an operator should make of it.
    """

    __slots__ = ("level", "meaning", "number", "text")

    def __init__(self, number: int, level: str, text: str, meaning: str):
        self.number = number
        self.level = level
        self.text = text
        self.meaning = meaning


CATALOGUE: dict[int, Event] = {}


def _define(number: int, level: str, text: str, meaning: str) -> Event:
    if number in CATALOGUE:
        raise ValueError(f"event number {number} is taken")
    CATALOGUE[number] = Event(number, level, text, meaning)
    return CATALOGUE[number]


# 1xx: the process.
NODE_STARTED = _define(101, "info", "node started", "All listeners accept connections.")
NODE_STOPPING = _define(
    102,
    "info",
    "node stopping",
    "A planned stop: the fleet was told, new work goes elsewhere.",
)
NODE_STOPPED = _define(
    103, "info", "node stopped", "Calls in flight were answered before."
)
SETTINGS_CHANGED = _define(
    104,
    "info",
    "settings were said to have changed",
    "What names addresses is taken at the next start.",
)
TASK_FAILED = _define(
    110,
    "error",
    "task failed and is started again",
    "A fault in the program; the field error says which. Report it.",
)
TASK_GIVEN_UP = _define(
    111,
    "error",
    "task failed too often",
    "The process stops so that the platform replaces it.",
)

# 2xx: configuration.
EDIT_ACCEPTED = _define(
    201, "info", "edit accepted", "The edit is in force on this instance."
)
EDIT_REFUSED = _define(
    202,
    "warning",
    "edit refused",
    "The record changes nothing on any instance; the field reason says why.",
)
LOG_LOST = _define(
    210,
    "warning",
    "log does not answer",
    "The instance goes on with the configuration it has, and asks again.",
)
LOG_BACK = _define(211, "info", "log answers again", "Nothing is to be done.")
SNAPSHOT_LOADED = _define(
    220,
    "info",
    "state taken from a snapshot",
    "The start of the stream was no longer kept, or a peer gave its state.",
)
SNAPSHOT_WRITTEN = _define(
    221, "info", "snapshot written", "The stream before it may be forgotten."
)
SNAPSHOT_REFUSED = _define(
    222,
    "error",
    "snapshot refused",
    "A snapshot does not carry the fleet's signature: someone else wrote it.",
)
STATE_UNREACHABLE = _define(
    223,
    "error",
    "records were forgotten before they were folded",
    "Neither the log nor a peer gives the state. Calls are refused as not run.",
)

POLICY_IN_FORCE = _define(
    230,
    "info",
    "configuration in force",
    "This version decides from now on; the field source says where it came from.",
)
STORE_WRITE_FAILED = _define(
    231,
    "warning",
    "call to the platform's store failed",
    "The field what says which; it is repeated until the store answers.",
)

# 3xx: membership and messages between nodes.
MEMBER_JOINED = _define(301, "info", "member joined", "A node was heard of first.")
MEMBER_SUSPECT = _define(
    302, "info", "member suspect", "It did not answer directly nor through others."
)
MEMBER_DEAD = _define(
    303, "warning", "member dead", "It did not refute the suspicion in time."
)
MEMBER_LEFT = _define(304, "info", "member left", "A planned stop.")
MEMBER_REFUTED = _define(
    305,
    "warning",
    "suspicion of this instance refuted",
    "Others could not reach it for a while: look for pauses or a bad link.",
)
MESSAGE_REFUSED = _define(
    310,
    "warning",
    "message refused",
    "A message without the fleet's secret, replayed, late or malformed.",
)
BACKEND_ANNOUNCED = _define(
    320, "info", "backend server announced", "It takes calls from now on."
)
BACKEND_REFUSED = _define(
    321,
    "warning",
    "backend server not trusted",
    "The document trusts no such backend server for that service.",
)
BACKEND_DRAINING = _define(
    322, "info", "backend server draining", "It gets no new calls."
)
BACKEND_WITHDRAWN = _define(
    323, "warning", "backend server withdrawn", "A recall or an edit took its trust."
)
BACKEND_GONE = _define(
    325,
    "warning",
    "backend server gone",
    "Nobody listens at its address; it gets no calls until it reports again.",
)
BACKEND_SILENT = _define(
    324,
    "warning",
    "connection to the backend server went silent",
    "No first byte in time while a new connection answers; idle ones were closed.",
)
PEER_EJECTED = _define(
    330,
    "info",
    "peer ejected for a while",
    "Calls relayed to it failed; it is tried again after the time given.",
)
BACKEND_REPORT_REFUSED = _define(
    340,
    "warning",
    "status report refused",
    "It is malformed or of another service; the backend server in use stays.",
)
PEER_LEARNT = _define(
    350, "info", "node learnt of", "A stream to it is opened and kept."
)
PEER_CONNECTED = _define(
    351, "info", "stream to a node open", "Calls can be sent to it."
)
PEER_LOST = _define(
    352,
    "warning",
    "stream to a node lost",
    "Calls under way on it may have run; those that may run twice go elsewhere.",
)
PEER_FORGOTTEN = _define(
    353, "info", "node forgotten", "It could not be reached for long."
)
PEER_UNREACHABLE = _define(
    354,
    "warning",
    "node cannot be reached",
    "No stream to it opened; it is tried again until it is forgotten. Told once.",
)
PEER_SILENT = _define(
    355,
    "warning",
    "node did not answer a question",
    "The field what says which; it is asked again with the next heartbeat.",
)
ENTRY_UNREADABLE = _define(
    356,
    "warning",
    "entry of a node cannot be read",
    "It is of another version or writer, and names no node to use.",
)

# 4xx: rates.
LEASE_TAKEN = _define(
    401, "info", "rate lease taken", "This instance holds a partition's tokens."
)
LEASE_LOST = _define(
    402, "info", "rate lease lost", "Not renewed in time; another may take it."
)

# 5xx: calls.
CALL_REFUSED = _define(
    501, "info", "call refused", "The field reason says why; see the run books."
)
CALL_FAILED = _define(
    502,
    "error",
    "call failed in the node",
    "A fault in the program; the call was answered as may have run.",
)
CALL_REPEATED = _define(
    503,
    "info",
    "call sent again",
    "The attempt before failed; the field reason says how.",
)
CALL_ANSWERED = _define(
    504,
    "info",
    "call answered with a failure",
    "The backend server's own failure was handed on.",
)
LEVELS_SET = _define(
    505,
    "info",
    "admission levels",
    "Services named here are overloaded: requests that lead to them are refused at "
    "their entry, the least urgent first, down to the level told.",
)
ZONE_BYTES = _define(
    506,
    "info",
    "bytes between zones",
    "What this node sent to other availability zones since its start: kind of frame, "
    "route and bytes, the most first.",
)
WORKSPACES_AT_RATE = _define(
    507,
    "info",
    "workspaces at their rates",
    "Workspaces with less than half of their tokens left at this token holder: the "
    "enforced rate and burst, the share of both that nodes lend to this holder, calls "
    "per second for which tokens are asked here, and the tokens left.",
)
LINES_DROPPED = _define(
    590,
    "warning",
    "log lines left out",
    "More came than are written; the field counts says how many of each event.",
)


class Journal:
    """Writes an instance's events and keeps the last ones for its operator address.

    Args:
        instance: Name of the instance.
        level: Least level that is written.
    """

    def __init__(self, instance: str, level: str = "info"):
        self._instance = instance
        self._logger = logbook.Logger("primroseglade")
        self._min_level = LEVELS[level]
        self._recent: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_RECENT_EVENTS
        )

    @property
    def recent(self) -> list[dict[str, Any]]:
        """The last events, oldest first."""
        return list(self._recent)

    def emit(self, event: Event, **fields: Any) -> None:
        """Record that an event happened.

        Args:
            event: Its kind.
            **fields: What to know about this one; never a key.
        """
        level = LEVELS[event.level]
        if level < self._min_level:
            return
        entry = {
            "time": round(time.time(), 3),
            "event": event.number,
            "level": event.level,
            "text": event.text,
            "instance": self._instance,
        } | fields
        self._recent.append(entry)
        self._logger.log(level, event.text, extra={"entry": entry})


def format_entry(entry: dict[str, Any]) -> str:
    """Return an event as one line for people.

    >>> format_entry({"time": 0, "event": 101, "level": "info", "text": "node started",
    ...     "instance": "a", "zone": "z"})
    '1970-01-01T00:00:00.000Z info  101 node started instance=a zone=z'
    """
    utc_time = time.gmtime(entry["time"])
    milliseconds = int(entry["time"] % 1 * 1000)
    timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", utc_time) + f".{milliseconds:03d}Z"
    prefix_fields = ("time", "event", "level", "text")
    fields = [
        f"{name}={json.dumps(value) if _needs_quotes(value) else value}"
        for name, value in entry.items()
        if name not in prefix_fields
    ]
    level, text = entry.get("level", ""), entry.get("text", "")
    prefix = f"{timestamp} {level:<5} {entry['event']} {text}"
    return " ".join([prefix, *fields])


def _needs_quotes(value: Any) -> bool:
    return isinstance(value, str) and (
        not value or not value.isprintable() or " " in value
    )


class EventHandler(logbook.Handler):
    """Writes events to a stream, as text or as JSON lines.

    Args:
        stream: Where to.
        form: ``text`` or ``json``.
    """

    def __init__(self, stream: TextIO, output_format: str = "text"):
        super().__init__(level=logbook.DEBUG, bubble=False)
        self._stream = stream
        self._output_format = output_format

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record."""
        entry = record.extra["entry"] or {
            "time": time.time(),
            "event": 0,
            "level": record.level_name.lower(),
            "text": record.message,
        }
        line = (
            json.dumps(entry) if self._output_format == "json" else format_entry(entry)
        )
        self._stream.write(line + "\n")
        self._stream.flush()
