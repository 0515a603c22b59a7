"""Reads the configuration log, on a few nodes of each zone."""

import asyncio
import random
import time
from typing import Any

from ..document.records import is_snapshot, SnapshotPart
from ..errors import InputError
from ..observe.events import (
    CONFIGURATION_UNAVAILABLE,
    Journal,
    LOG_RECOVERED,
    LOG_UNAVAILABLE,
    SNAPSHOT_REFUSED,
)
from ..platform.log import (
    CONFIGURATION_TOPIC,
    LogClient,
    LogRecord,
    LogUnavailableError,
    OffsetOutOfRangeError,
)
from .configuration import Configuration
from .hashing import ZoneRanking
from .members import Members

LONG_POLL_SECONDS = 5.0
INITIAL_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0
# Minimum and maximum.
NON_READER_RETRY_RANGE_SECONDS = (15.0, 45.0)
# Any node reads the log if its configuration has not been confirmed for this long: all
# readers of its zone may have failed.
FALLBACK_READ_AGE_SECONDS = 6.0


class LogReader:
    """Reads the configuration log if this node is one of its zone's readers.

    The other nodes get the records from their peers.

    Args:
        configuration: The configuration, to which records are applied.
        log: Client of the platform's log.
        members: The member table; the readers are those that rank first in the zone.
        reader_count: Number of readers in each zone.
        journal: Journal that receives outages of the log and refused snapshots.
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
        """Read the log while this node is a reader or its configuration is old."""
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
                await asyncio.sleep(self._choose_retry_delay(delay))
                delay = min(MAX_RETRY_SECONDS, delay * 2)

    def _choose_retry_delay(self, delay: float) -> float:
        """Return the delay in seconds before the log is read again after a failure.

        In an outage the configuration of every node grows old, so that all nodes try to
        read the log. If all retried every second or two, they would overload a
        recovering platform again. It is enough that the readers retry so often: they
        notice the recovery and pass the records on to the other nodes.
        """
        if self.is_reader() or not self._configuration.ready:
            return random.uniform(delay / 2, delay)
        return random.uniform(*NON_READER_RETRY_RANGE_SECONDS)

    def is_reader(self) -> bool:
        """Whether this node is a reader of its zone, according to its member table."""
        own = self._members.own
        readers = self._ranking.get(own.zone, "log-reader", self._reader_count)
        return own.instance in readers

    async def start(self) -> None:
        """Load the newest configuration from the log.

        Raises:
            LogUnavailableError: The log does not answer, or some of its records were
                deleted and are in no complete snapshot.
        """
        first, end = await self._log.get_range(CONFIGURATION_TOPIC)
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
            records = await self._log.read(
                CONFIGURATION_TOPIC, offset, LONG_POLL_SECONDS
            )
        except OffsetOutOfRangeError:
            first, end = await self._log.get_range(CONFIGURATION_TOPIC)
            if end < offset:
                # The log ends before the records that this node has applied: it is
                # another log, or has lost its last records. Applied edits are never
                # reverted.
                raise LogUnavailableError(
                    f"the log ends at offset {end}, before the state at {offset}"
                ) from None
            await self._start_from_snapshot(first, end)
            return
        self._configuration.apply(records)
        # A long poll that returns no records shows that the configuration is the newest
        # at this moment; with records it does so only for the time of the request.
        age = time.monotonic() - requested_at if records else 0.0
        self._configuration.update_age(age)

    async def _read_up_to(self, end: int) -> None:
        while self._configuration.next_offset < end:
            offset = self._configuration.next_offset
            records = await self._log.read(CONFIGURATION_TOPIC, offset, 0.0)
            if not records:
                return
            self._configuration.apply(records)

    async def _start_from_snapshot(self, first: int, end: int) -> None:
        """Load the newest complete snapshot in the log, and apply later records."""
        records: list[LogRecord] = []
        offset = first
        while offset < end:
            batch = await self._log.read(CONFIGURATION_TOPIC, offset, 0.0)
            if not batch:
                break
            records.extend(batch)
            offset = batch[-1].offset + 1
        parts = self._find_snapshot(records, first)
        if parts is None:
            self._journal.emit(CONFIGURATION_UNAVAILABLE, first=first)
            raise LogUnavailableError(
                f"no complete snapshot in the log from offset {first}"
            )
        self._configuration.load(parts)
        self._configuration.apply(records)

    def _find_snapshot(
        self, records: list[LogRecord], first: int
    ) -> list[SnapshotPart] | None:
        values_by_snapshot_id: dict[str, list[Any]] = {}
        for record in records:
            if is_snapshot(record.value):
                body = record.value["snapshot"]
                snapshot_id = body.get("id", "") if isinstance(body, dict) else ""
                values_by_snapshot_id.setdefault(snapshot_id, []).append(record.value)
        newest: list[SnapshotPart] | None = None
        for values in values_by_snapshot_id.values():
            try:
                parts = self._configuration.parse_snapshot(values)
            except InputError as error:
                self._journal.emit(SNAPSHOT_REFUSED, reason=str(error))
                continue
            has_no_gap = parts[0].next_offset >= first
            if has_no_gap and (
                newest is None or parts[0].next_offset > newest[0].next_offset
            ):
                newest = parts
        return newest

    def _record_unavailable(self, error: Exception) -> None:
        if not self._log_unavailable:
            self._journal.emit(LOG_UNAVAILABLE, error=str(error))
        self._log_unavailable = True

    def _record_available(self) -> None:
        if self._log_unavailable:
            self._journal.emit(LOG_RECOVERED)
        self._log_unavailable = False
