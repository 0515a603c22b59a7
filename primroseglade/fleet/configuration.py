"""The configuration of one node, its age, and recent records for its peers."""

import asyncio
import collections
import json
import time
from collections.abc import Callable
from typing import Any

from ..document.document import Document
from ..document.fold import Fold, Outcome
from ..document.records import parse_snapshot_part, SnapshotPart
from ..errors import InputError
from ..observe.events import (
    EDIT_ACCEPTED,
    EDIT_REFUSED,
    Journal,
    SNAPSHOT_LOADED,
)
from ..observe.metrics import Metrics
from ..platform.log import (
    LogRecord,
)

MAX_RECENT_RECORDS = 512

OnOutcome = Callable[[Outcome], None]


class Configuration:
    """Applies records to the configuration and tracks its age.

    Keeps recent records for peers whose configuration is behind.

    Args:
        secret: The fleet secret, with which snapshots are signed.
        journal: Journal that receives edits and loaded snapshots.
        metrics: Metrics with the number of edits and the next offset.
    """

    def __init__(self, secret: bytes, journal: Journal, metrics: Metrics):
        self._secret = secret
        self._fold = Fold(secret)
        self._journal = journal
        self._metrics = metrics
        self._recent_records: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self._confirmed_at = -float("inf")
        self._initialized = False
        self._changed = asyncio.Condition()
        self._watchers: list[OnOutcome] = []

    @property
    def document(self) -> Document:
        """The document as of ``next_offset``."""
        return self._fold.document

    @property
    def next_offset(self) -> int:
        """Offset of the next record to apply."""
        return self._fold.next_offset

    @property
    def fold(self) -> Fold:
        """The fold, which builds the document from the records."""
        return self._fold

    @property
    def ready(self) -> bool:
        """Whether a configuration is known; until then every call is refused."""
        return self._initialized

    @property
    def age(self) -> float:
        """Seconds since a node last confirmed this as the newest configuration.

        Infinite if that never happened.
        """
        return time.monotonic() - self._confirmed_at

    def watch(self, watcher: OnOutcome) -> None:
        """Call ``watcher`` with the outcome of every record or loaded snapshot."""
        self._watchers.append(watcher)

    def apply(self, records: list[LogRecord]) -> None:
        """Apply records in the order of offsets, except those applied before."""
        for record in records:
            if record.offset > self.next_offset:
                # Records before this one are missing: without them the document would
                # differ from that of other nodes.
                return
            if record.offset < self.next_offset:
                continue
            outcome = self._fold.apply(record.offset, record.value)
            self._store_record(record)
            self._report_outcome(outcome)
        if records:
            self._initialized = True
            self._notify_offset_change()

    def load(self, parts: list[SnapshotPart]) -> bool:
        """Replace the state with a snapshot if the snapshot is newer.

        Returns:
            Whether the snapshot was loaded.
        """
        if not self._fold.load(parts):
            return False
        self._recent_records.clear()
        self._initialized = True
        self._journal.emit(SNAPSHOT_LOADED, next_offset=self.next_offset)
        outcome = Outcome(self.next_offset - 1, "", True, "snapshot")
        for watcher in self._watchers:
            watcher(outcome)
        self._notify_offset_change()
        return True

    def update_age(self, age: float) -> None:
        """Record that this configuration was still the newest ``age`` seconds ago."""
        self._confirmed_at = max(self._confirmed_at, time.monotonic() - age)

    def mark_initialized(self) -> None:
        """Mark the empty configuration as known, because the log has no records yet."""
        self._initialized = True

    async def wait_offset(self, next_offset: int) -> None:
        """Wait until all records before ``next_offset`` are applied."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.next_offset >= next_offset)

    def get_records(self, from_offset: int) -> list[LogRecord] | None:
        """Return all records from an offset on, or None if some are no longer kept."""
        if from_offset >= self.next_offset:
            return []
        if from_offset not in self._recent_records:
            return None
        return [
            LogRecord(offset, json.loads(self._recent_records[offset]))
            for offset in range(from_offset, self.next_offset)
        ]

    def build_snapshot(self) -> list[dict[str, Any]]:
        """Return the current state as the signed parts of a snapshot."""
        return [part.to_value(self._secret) for part in self._fold.build_snapshot()]

    def parse_snapshot(self, values: list[Any]) -> list[SnapshotPart]:
        """Verify and parse the parts of a snapshot.

        Returns:
            The parts in order.

        Raises:
            InputError: A part is invalid or not signed with the fleet secret, or one is
                missing.
        """
        try:
            parts = [parse_snapshot_part(value, self._secret) for value in values]
        except (KeyError, TypeError, AttributeError) as error:
            raise InputError("snapshot", "", f"is malformed: {error}") from error
        if not parts or len(parts) != parts[0].parts:
            raise InputError("snapshot", "", "is incomplete")
        return sorted(parts, key=lambda part: part.part)

    def _store_record(self, record: LogRecord) -> None:
        self._recent_records[record.offset] = json.dumps(record.value).encode()
        while len(self._recent_records) > MAX_RECENT_RECORDS:
            self._recent_records.popitem(last=False)

    def _report_outcome(self, outcome: Outcome) -> None:
        outcome_label = "accepted" if outcome.accepted else "refused"
        self._metrics.edits.labels(outcome_label).inc()
        if outcome.reason != "snapshot":
            event = EDIT_ACCEPTED if outcome.accepted else EDIT_REFUSED
            fields = {"reason": outcome.reason} if outcome.reason else {}
            self._journal.emit(
                event,
                offset=outcome.offset,
                record=outcome.record_id,
                sections=list(outcome.sections),
                **fields,
            )
        for watcher in self._watchers:
            watcher(outcome)

    def _notify_offset_change(self) -> None:
        self._metrics.next_offset.set(self.next_offset)
        task = asyncio.get_running_loop().create_task(self._wake_waiters())
        self._notify_task = task

    async def _wake_waiters(self) -> None:
        async with self._changed:
            self._changed.notify_all()
