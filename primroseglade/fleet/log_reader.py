"""Follows the log, on the few nodes of a zone whose turn it is."""

import asyncio
import random
import time
from typing import Any

from ..document.records import is_snapshot, SnapshotPart
from ..errors import InputError
from ..observe.events import (
    Journal,
    LOG_BACK,
    LOG_LOST,
    SNAPSHOT_REFUSED,
    STATE_UNREACHABLE,
)
from ..platform.log import (
    CONFIGURATION,
    LogClient,
    LogRecord,
    LogUnavailableError,
    OffsetGoneError,
)
from .configuration import Configuration
from .hashing import ZoneRanking
from .members import Members

LONG_POLL_SECONDS = 5.0
INITIAL_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0
NON_READER_RETRY_SECONDS = (15.0, 45.0)
# A node that does not follow the log itself looks at it when no neighbour has known
# its end for this long: the readers of its zone may all be gone.
FALLBACK_READ_AGE_SECONDS = 6.0


class LogReader:
    """Follows the log, on the few nodes of a zone whose turn it is.

    Args:
        configuration: Where records go.
        log: The platform's log.
        members: Decide whose turn it is.
        readers: How many nodes of a zone follow the log.
        journal: Told when the log is lost and back.
    """

    def __init__(
        self,
        configuration: Configuration,
        log: LogClient,
        members: Members,
        reader_count: int,
        journal: Journal,
    ):
        self._configuration = configuration
        self._log = log
        self._members = members
        self._ranking = ZoneRanking(members)
        self._reader_count = reader_count
        self._journal = journal
        self._log_unavailable = False

    async def run(self) -> None:
        """Read whenever it is this node's turn, or nobody's it seems."""
        delay = INITIAL_RETRY_SECONDS
        while True:
            if not self._should_read():
                await asyncio.sleep(random.uniform(0.5, 1.0))
                continue
            try:
                await self._read_once()
                delay = INITIAL_RETRY_SECONDS
                self._record_available()
            except LogUnavailableError as error:
                self._record_unavailable(error)
                await asyncio.sleep(self._choose_pause(delay))
                delay = min(MAX_RETRY_SECONDS, delay * 2)

    def _choose_pause(self, delay: float) -> float:
        """Return seconds to wait after the log did not answer.

        In an outage the state of every node grows old, and all of them look at the
        log. Asked by the whole fleet each second or two, a platform that comes back
        would go down again; the readers alone find out just as soon.
        """
        if self.is_reader() or not self._configuration.ready:
            return random.uniform(delay / 2, delay)
        return random.uniform(*NON_READER_RETRY_SECONDS)

    def is_reader(self) -> bool:
        """Whether this node is one of its zone's readers, as it sees the zone."""
        own = self._members.own
        readers = self._ranking.get(own.zone, "log-reader", self._reader_count)
        return own.instance in readers

    async def start(self) -> None:
        """Take the state from the log, as far as it holds it.

        Raises:
            LogUnavailableError: The log does not answer.
        """
        first, end = await self._log.get_range(CONFIGURATION)
        if end == 0:
            self._configuration.mark_initialized()
        elif first > self._configuration.next_offset:
            await self._start_from_snapshot(first, end)
        else:
            await self._read_up_to(end)
        self._configuration.update_age(0.0)

    def _should_read(self) -> bool:
        return self.is_reader() or self._configuration.age > FALLBACK_READ_AGE_SECONDS

    async def _read_once(self) -> None:
        if not self._configuration.ready:
            await self.start()
            return
        offset = self._configuration.next_offset
        requested_at = time.monotonic()
        try:
            records = await self._log.read(CONFIGURATION, offset, LONG_POLL_SECONDS)
        except OffsetGoneError:
            first, end = await self._log.get_range(CONFIGURATION)
            if end < offset:
                # The log is behind what this node folded: another log, or one that
                # lost its end. What was accepted never reverts.
                raise LogUnavailableError("the log ends before the state") from None
            await self._start_from_snapshot(first, end)
            return
        self._configuration.apply(records)
        # A long poll that came back empty knew the end until it came back.
        age = time.monotonic() - requested_at if records else 0.0
        self._configuration.update_age(age)

    async def _read_up_to(self, end: int) -> None:
        while self._configuration.next_offset < end:
            offset = self._configuration.next_offset
            records = await self._log.read(CONFIGURATION, offset, 0.0)
            if not records:
                return
            self._configuration.apply(records)

    async def _start_from_snapshot(self, first: int, end: int) -> None:
        """Find the newest whole snapshot in the kept part and go on behind it."""
        records: list[LogRecord] = []
        offset = first
        while offset < end:
            batch = await self._log.read(CONFIGURATION, offset, 0.0)
            if not batch:
                break
            records.extend(batch)
            offset = batch[-1].offset + 1
        parts = self._find_snapshot(records, first)
        if parts is None:
            self._journal.emit(STATE_UNREACHABLE, first=first)
            raise LogUnavailableError("the log keeps no whole snapshot")
        self._configuration.load(parts)
        self._configuration.apply(records)

    def _find_snapshot(
        self, records: list[LogRecord], first: int
    ) -> list[SnapshotPart] | None:
        groups: dict[str, list[Any]] = {}
        for record in records:
            if is_snapshot(record.value):
                body = record.value["snapshot"]
                identity = body.get("id", "") if isinstance(body, dict) else ""
                groups.setdefault(identity, []).append(record.value)
        best: list[SnapshotPart] | None = None
        for values in groups.values():
            try:
                parts = self._configuration.parse_snapshot(values)
            except InputError as error:
                self._journal.emit(SNAPSHOT_REFUSED, reason=str(error))
                continue
            reaches_log = parts[0].next_offset >= first
            if reaches_log and (
                best is None or parts[0].next_offset > best[0].next_offset
            ):
                best = parts
        return best

    def _record_unavailable(self, error: Exception) -> None:
        if not self._log_unavailable:
            self._journal.emit(LOG_LOST, error=str(error))
        self._log_unavailable = True

    def _record_available(self) -> None:
        if self._log_unavailable:
            self._journal.emit(LOG_BACK)
        self._log_unavailable = False
