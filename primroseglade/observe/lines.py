"""A log handler that writes JSON lines and never blocks the process."""

import asyncio
import collections
import os

import logbook
import msgspec

from .events import LINES_DROPPED

# Limit for each kind of event; further lines are dropped and counted. During a long
# overload, logging every refusal would cost more processor time than the requests.
MAX_LINES_PER_SECOND = 20
# Limits the memory used while the reader of the stream is slow or has stopped.
MAX_BUFFERED_BYTES = 256 * 1024
FLUSH_DELAY_SECONDS = 0.1


class LineHandler(logbook.Handler):
    """Writes events as JSON lines, limited in rate and without blocking.

    Args:
        descriptor: File descriptor of the stream, which is made non-blocking.
    """

    def __init__(self, descriptor: int = 1):
        super().__init__(level=logbook.DEBUG, bubble=False)
        self._descriptor = descriptor
        self._encode = msgspec.json.Encoder().encode
        self._buffer = bytearray()
        self._current_second = 0
        self._lines_this_second: collections.Counter[int] = collections.Counter()
        self._dropped: collections.Counter[int] = collections.Counter()
        self._flush_scheduled = False
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffer an event, or count it as dropped if its kind is over the limit."""
        entry = record.extra["entry"] or {"event": 0, "text": record.message}
        number = entry["event"]
        second = int(entry.get("time", 0))
        if second != self._current_second:
            self._start_second(second)
        self._lines_this_second[number] += 1
        if self._lines_this_second[number] > MAX_LINES_PER_SECOND:
            self._dropped[number] += 1
            return
        self._append(entry)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        self._flush_scheduled = False
        while self._buffer:
            try:
                written_bytes = os.write(self._descriptor, self._buffer[: 64 * 1024])
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                # The reader closed the stream; there is nowhere else to log this.
                self._buffer.clear()
                return
            del self._buffer[:written_bytes]

    def _start_second(self, second: int) -> None:
        self._current_second = second
        self._lines_this_second.clear()
        if self._dropped:
            counts = {str(number): count for number, count in self._dropped.items()}
            self._dropped.clear()
            self._append(
                {
                    "time": second,
                    "event": LINES_DROPPED.number,
                    "level": LINES_DROPPED.level,
                    "text": LINES_DROPPED.text,
                    "counts": counts,
                }
            )

    def _append(self, entry: dict[str, object]) -> None:
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._dropped[int(str(entry["event"]))] += 1
            return
        self._buffer += self._encode(entry) + b"\n"
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._flush_scheduled = True
        loop.call_later(FLUSH_DELAY_SECONDS, self.flush)
