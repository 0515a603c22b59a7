"""Writes snapshots of the configuration into its stream."""

import asyncio
import random
import time

from ..observe.events import Journal, SNAPSHOT_WRITTEN
from ..platform.log import CONFIGURATION, LogClient, LogUnavailableError
from .configuration import Configuration
from .log_reader import LogReader

# A snapshot is also due after this many records, whatever the clock says.
MAX_RECORDS_BETWEEN_SNAPSHOTS = 2000


class SnapshotWriter:
    """Appends snapshots, a few for the whole fleet, well before records go.

    Args:
        configuration: The state.
        log: The platform's log.
        reader: Only nodes that follow the log write.
        seconds: Between two snapshots.
        journal: Told of each.
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
        self._latest_offset = -1
        self._latest_seen_at = time.monotonic()

    async def run(self) -> None:
        """Write whenever one is due and nobody else has written it meanwhile."""
        while True:
            # The jitter decides who writes: whoever wakes first, and the others see
            # that snapshot in the stream before their own turn.
            await asyncio.sleep(random.uniform(0.05, 0.15) * self._interval_seconds)
            if self._is_due():
                await self._write()

    def _is_due(self) -> bool:
        latest = self._configuration.fold.latest_snapshot_offset
        if latest != self._latest_offset:
            self._latest_offset = latest
            self._latest_seen_at = time.monotonic()
        new_records = self._configuration.next_offset - max(latest, 0)
        # Without any edit, too: the last snapshot will be forgotten like any record.
        overdue = time.monotonic() - self._latest_seen_at > self._interval_seconds
        due = new_records > 0 and (
            overdue or new_records > MAX_RECORDS_BETWEEN_SNAPSHOTS
        )
        return due and self._reader.is_reader()

    async def _write(self) -> None:
        next_offset = self._configuration.next_offset
        try:
            for value in self._configuration.build_snapshot():
                await self._log.append(CONFIGURATION, value)
        except LogUnavailableError:
            return
        self._journal.emit(SNAPSHOT_WRITTEN, next_offset=next_offset)
