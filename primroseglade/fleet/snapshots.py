"""Writes snapshots of the configuration to its log."""

import asyncio
import random
import time

from ..observe.events import Journal, SNAPSHOT_WRITTEN
from ..platform.log import CONFIGURATION_TOPIC, LogClient, LogUnavailableError
from .configuration import Configuration
from .log_reader import LogReader

# A snapshot is due after this many records even if the interval has not passed.
MAX_RECORDS_BETWEEN_SNAPSHOTS = 2000


class SnapshotWriter:
    """Writes snapshots to the log before the platform deletes the records in them.

    Every node runs a writer, but the whole fleet writes only a few snapshots.

    Args:
        configuration: The configuration of this instance.
        log: Client of the platform's log.
        reader: The log reader of this node; only readers write snapshots.
        interval_seconds: Time between two snapshots.
        journal: Journal that receives the written snapshots.
    """

    def __init__(
        self,
        configuration: Configuration,
        log: LogClient,
        reader: LogReader,
        interval_seconds: float,
        journal: Journal,
    ):
        self._configuration = configuration
        self._log = log
        self._reader = reader
        self._interval_seconds = interval_seconds
        self._journal = journal
        self._latest_snapshot_offset = -1
        self._latest_snapshot_seen_at = time.monotonic()

    async def run(self) -> None:
        """Write a snapshot whenever one is due and no other node has written it."""
        while True:
            # The jitter usually lets one node wake first and write a snapshot, which
            # the others have read from the log when they wake.
            await asyncio.sleep(random.uniform(0.05, 0.15) * self._interval_seconds)
            if self._is_due():
                await self._write()

    def _is_due(self) -> bool:
        latest_offset = self._configuration.fold.latest_snapshot_offset
        if latest_offset != self._latest_snapshot_offset:
            self._latest_snapshot_offset = latest_offset
            self._latest_snapshot_seen_at = time.monotonic()
        new_records = self._configuration.next_offset - max(latest_offset, 0)
        # The interval alone can make a snapshot due, even without new edits: the latest
        # snapshot itself consists of records in the log, and the platform deletes old
        # records.
        interval_passed = (
            time.monotonic() - self._latest_snapshot_seen_at > self._interval_seconds
        )
        due = new_records > 0 and (
            interval_passed or new_records > MAX_RECORDS_BETWEEN_SNAPSHOTS
        )
        return due and self._reader.is_reader()

    async def _write(self) -> None:
        next_offset = self._configuration.next_offset
        try:
            for value in self._configuration.build_snapshot():
                await self._log.append(CONFIGURATION_TOPIC, value)
        except LogUnavailableError:
            return
        self._journal.emit(SNAPSHOT_WRITTEN, next_offset=next_offset)
