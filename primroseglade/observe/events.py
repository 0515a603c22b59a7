"""Numbered events: their catalog, and the journal that logs and keeps them."""

import collections
import json
import time
from typing import Any, TextIO

import logbook

MAX_RECENT_EVENTS = 500

LOG_LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


class Event:
    """One kind of event.

    Args:
        number: Stable number; never reused for another kind.
        level: ``debug``, ``info``, ``warning`` or ``error``.
        text: What happened, in a few words.
        meaning: What the event means to an operator.
    """

    __slots__ = ("level", "meaning", "number", "text")

    def __init__(self, number: int, level: str, text: str, meaning: str):
        self.number = number
        self.level = level
        self.text = text
        self.meaning = meaning


EVENT_CATALOG: dict[int, Event] = {}


def _define(number: int, level: str, text: str, meaning: str) -> Event:
    if number in EVENT_CATALOG:
        raise ValueError(f"event number {number} is already defined")
    EVENT_CATALOG[number] = Event(number, level, text, meaning)
    return EVENT_CATALOG[number]


# Events 1xx: the process.
NODE_STARTED = _define(101, "info", "node started", "All listeners accept connections.")
NODE_STOPPING = _define(
    102,
    "info",
    "node stopping",
    "A planned stop: other nodes are notified and send new calls elsewhere.",
)
NODE_STOPPED = _define(
    103, "info", "node stopped", "Calls in flight were given time to finish."
)
SETTINGS_CHANGED = _define(
    104,
    "info",
    "settings change signaled",
    "Changed addresses take effect at the next start.",
)
TASK_FAILED = _define(
    110,
    "error",
    "task failed and is restarted",
    "A bug in the program; the field `error` gives the exception. Report it.",
)
TASK_GIVEN_UP = _define(
    111,
    "error",
    "task failed too often",
    "The process stops so that the platform replaces it.",
)

# Events 2xx: configuration.
EDIT_ACCEPTED = _define(
    201, "info", "edit accepted", "The edit is in force on this instance."
)
EDIT_REFUSED = _define(
    202,
    "warning",
    "edit refused",
    "The record changes nothing on any instance; the field `reason` says why.",
)
LOG_UNAVAILABLE = _define(
    210,
    "warning",
    "configuration log unavailable",
    "The instance keeps the configuration it has and retries.",
)
LOG_RECOVERED = _define(
    211, "info", "configuration log available again", "No action is needed."
)
SNAPSHOT_LOADED = _define(
    220,
    "info",
    "configuration loaded from a snapshot",
    "The log no longer has its first records, or another node sent its configuration.",
)
SNAPSHOT_WRITTEN = _define(
    221, "info", "snapshot written", "Log records before it may be deleted."
)
SNAPSHOT_REFUSED = _define(
    222,
    "error",
    "snapshot refused",
    "The snapshot is not signed with the fleet secret: someone else wrote it.",
)
CONFIGURATION_UNAVAILABLE = _define(
    223,
    "error",
    "configuration records deleted before they were applied",
    "Neither the log nor another node has the whole configuration. Calls are refused "
    "as not run.",
)

POLICY_IN_FORCE = _define(
    230,
    "info",
    "configuration in force",
    "This version applies from now on; the field `source` says where it came from.",
)
VALUE_IGNORED = _define(
    232,
    "warning",
    "invalid value ignored",
    "The field `reason` names the value and its limits; the last valid value stays in "
    "force.",
)
EVACUATION_STARTED = _define(
    233,
    "warning",
    "zone evacuated",
    "No calls are sent to backend servers of the zone until the operator takes the "
    "evacuation back.",
)
EVACUATION_ENDED = _define(
    234,
    "info",
    "evacuation taken back",
    "Backend servers of the zone receive calls again, few while they are cold.",
)
STORE_WRITE_FAILED = _define(
    231,
    "warning",
    "request to the platform's store failed",
    "The field `what` names the data; the request is repeated until the store answers.",
)

# Events 3xx: membership and messages between nodes.
MEMBER_JOINED = _define(301, "info", "member joined", "First contact with a node.")
MEMBER_SUSPECT = _define(
    302,
    "info",
    "member suspect",
    "The member answered neither direct nor indirect probes.",
)
MEMBER_DEAD = _define(
    303, "warning", "member dead", "The member did not refute the suspicion in time."
)
MEMBER_LEFT = _define(
    304, "info", "member left", "The member announced a planned stop."
)
SUSPICION_REFUTED = _define(
    305,
    "warning",
    "suspicion of this instance refuted",
    "Other nodes could not reach this instance for a while: look for pauses or a bad "
    "link.",
)
MESSAGE_REFUSED = _define(
    310,
    "warning",
    "message refused",
    "The message was not sealed with the fleet secret, or was replayed, late or "
    "malformed.",
)
BACKEND_ANNOUNCED = _define(
    320, "info", "backend server announced", "The server receives calls from now on."
)
BACKEND_REFUSED = _define(
    321,
    "warning",
    "backend server not trusted",
    "The document trusts no backend server at this address for the service.",
)
BACKEND_DRAINING = _define(
    322,
    "info",
    "backend server draining",
    "The server receives no new calls. The field `source` says where that was learned: "
    "from its status `report`, from one of its answers (`answer`), or from the "
    "`record` that the store or another node keeps.",
)
BACKEND_WITHDRAWN = _define(
    323,
    "warning",
    "backend server withdrawn",
    "A recall or an edit revoked the trust in the server.",
)
BACKEND_UNAVAILABLE = _define(
    325,
    "warning",
    "backend server unavailable",
    "Nothing listens at its address; the server receives no calls until it reports "
    "again.",
)
BACKEND_UNRESPONSIVE = _define(
    324,
    "warning",
    "connection to the backend server unresponsive",
    "A call got no first byte in time, but a new connection was answered. Idle "
    "connections were closed.",
)
BACKEND_COLD = _define(
    326,
    "info",
    "backend server cold",
    "For the time in the field `seconds` only the given number of calls per second "
    "start there; the others go elsewhere, wait, or are refused as not run. The field "
    "`assumed` says whether the server is only taken for cold until it says otherwise.",
)
BACKEND_LIMIT = _define(
    327,
    "info",
    "backend server limits its requests",
    "Its answers state that it takes `calls_per_second` requests from all nodes "
    "together; 0 once they no longer do. Logged at each change, and every second while "
    "a limit is in force; `sent` counts the requests since the last second's line.",
)
BACKEND_SLOWED = _define(
    328,
    "info",
    "backend server slowed down or recovered",
    "How long work takes there now, as a multiple of the average, as it states in its "
    "answers. While it is slow, calls go to others.",
)
BACKEND_ENDED = _define(
    329,
    "warning",
    "backend server ended under a call",
    "Its process ended while it ran the call of the field `request`; all calls that it "
    "ran are logged. `suspect` is the hash of the request's content, `ended_before` "
    "the number of others that had ended under the same content.",
)
PEER_EJECTED = _define(
    330,
    "info",
    "peer ejected for a while",
    "Calls relayed to the peer failed; it is tried again after the time in the "
    "field `seconds`.",
)
BACKEND_ANSWER_MALFORMED = _define(
    332,
    "warning",
    "backend server sends malformed answers",
    "Bytes that are no valid answer, an answer that contradicts itself or one without "
    "end. Their requests may have run, their connections are closed. `answers` counts "
    "them since the last line, at most one a second; `reason` is that of the last.",
)
BACKEND_REPORT_REFUSED = _define(
    340,
    "warning",
    "status report refused",
    "The report is malformed or from another service; the backend server in use stays.",
)
PEER_DISCOVERED = _define(
    350, "info", "node discovered", "A stream to the node is opened and kept open."
)
PEER_CONNECTED = _define(
    351, "info", "stream to a node opened", "Calls can be sent to the node."
)
PEER_LOST = _define(
    352,
    "warning",
    "stream to a node lost",
    "Calls in flight on the stream may have run; those safe to repeat are retried.",
)
PEER_REMOVED = _define(
    353, "info", "node removed", "The node could not be reached for too long."
)
PEER_UNREACHABLE = _define(
    354,
    "warning",
    "node unreachable",
    "No stream to the node could be opened. Attempts go on until the node is removed; "
    "only the first failure is logged.",
)
PEER_REQUEST_FAILED = _define(
    355,
    "warning",
    "node did not answer a request",
    "The field `what` names the data; the next heartbeat requests them again.",
)
ENTRY_UNREADABLE = _define(
    356,
    "warning",
    "node entry unreadable",
    "Another version or program wrote the entry, which is ignored.",
)

# Events 4xx: rates.
LEASE_ACQUIRED = _define(
    401, "info", "rate lease acquired", "This instance holds a partition's tokens."
)
LEASE_LOST = _define(
    402,
    "info",
    "rate lease lost",
    "Released, or not renewed in time; another instance may acquire it.",
)

# Events 5xx: calls.
CALL_REFUSED = _define(
    501, "info", "call refused", "The field `reason` says why; see the runbooks."
)
CALL_FAILED = _define(
    502,
    "error",
    "call failed in the node",
    "A bug in the program; the caller was told that the call may have run.",
)
CALL_RETRIED = _define(
    503,
    "info",
    "call retried",
    "The previous attempt failed; the field `reason` says how.",
)
CALL_ANSWERED = _define(
    504,
    "info",
    "call answered with a failure",
    "The backend server's own failure was returned to the caller.",
)
ADMISSION_LEVELS = _define(
    505,
    "info",
    "admission levels",
    "Services in the field `levels` are overloaded: requests that lead to them are "
    "refused at their entry, lowest priority first, until the given fraction of the "
    "demand is admitted.",
)
CROSS_ZONE_BYTES = _define(
    506,
    "info",
    "bytes sent to other zones",
    "Totals of this node since its start: kind of frame, route and bytes, most bytes "
    "first.",
)
WORKSPACES_AT_RATE = _define(
    507,
    "info",
    "workspaces at their rate limits",
    "Workspaces with less than half of their tokens left at this token holder: the "
    "enforced rate and burst, the share of both that nodes lend to this holder, calls "
    "per second that request tokens here, and the tokens left.",
)
CALLS_WAITED = _define(
    508,
    "info",
    "calls waited at the backend server",
    "Calls that could not start at once in the last second, by urgency level (0 the "
    "most urgent): started, refused, and the longest wait in seconds. `blocked` calls "
    "hold slots while they wait for calls of their own.",
)
REQUEST_BLOCKED = _define(
    509,
    "warning",
    "request blocked",
    "Backend servers ended under calls with the same content, whose hash is in the "
    "field `suspect`. Such calls are refused as not run for the given seconds, or "
    "until an operator releases the request.",
)
REQUEST_CLEARED = _define(
    510,
    "info",
    "suspect request cleared",
    "A call with this content has run to its end: the backend servers that ended under "
    "others do not count against it any more.",
)
REQUEST_RELEASED = _define(
    511,
    "warning",
    "suspect request released by an operator",
    "Calls with this content are sent again.",
)
LINES_DROPPED = _define(
    590,
    "warning",
    "log lines dropped",
    "More lines were logged than may be written. The field `counts` has the number of "
    "dropped lines by event number.",
)


class Journal:
    """Logs an instance's events and keeps the last ones for the operator address.

    Args:
        instance: Name of the instance.
        level: Minimum level; events below it are dropped.
    """

    def __init__(self, instance: str, level: str = "info"):
        self._instance = instance
        self._logger = logbook.Logger("primroseglade")
        self._min_level = LOG_LEVELS[level]
        self._recent: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_RECENT_EVENTS
        )

    @property
    def recent(self) -> list[dict[str, Any]]:
        """The last ``MAX_RECENT_EVENTS`` events, oldest first."""
        return list(self._recent)

    def emit(self, event: Event, **fields: Any) -> None:
        """Log an event and keep it.

        Args:
            event: Kind of event.
            **fields: Details, logged under their names; never a workspace's key.
        """
        level = LOG_LEVELS[event.level]
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
    """Return an event as one line of readable text.

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
        stream: Stream to write to.
        output_format: ``text`` or ``json``.
    """

    def __init__(self, stream: TextIO, output_format: str = "text"):
        super().__init__(level=logbook.DEBUG, bubble=False)
        self._stream = stream
        self._output_format = output_format

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record to the stream."""
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
