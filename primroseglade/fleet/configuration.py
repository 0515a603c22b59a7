"""The configuration on one node: the fold, its age, and its last records."""

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
    """The fold, how fresh it is, and the last records for peers that are behind.

    Args:
        secret: The fleet secret, which signs snapshots.
        journal: Told of edits.
        metrics: Counts them.
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
        """The document in force."""
        return self._fold.document

    @property
    def next_offset(self) -> int:
        """Offset of the first record that is not folded in."""
        return self._fold.next_offset

    @property
    def fold(self) -> Fold:
        """The fold."""
        return self._fold

    @property
    def ready(self) -> bool:
        """Whether a state is known at all; until then every call is refused."""
        return self._initialized

    @property
    def age(self) -> float:
        """Seconds since the end of the log was last known, here or at a peer."""
        return time.monotonic() - self._confirmed_at

    def watch(self, watcher: OnOutcome) -> None:
        """Call ``watcher`` with the outcome of every record."""
        self._watchers.append(watcher)

    def apply(self, records: list[LogRecord]) -> None:
        """Fold records in; what comes twice or late changes nothing."""
        for record in records:
            if record.offset > self.next_offset:
                # A gap: folding on would make this node's document another one.
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
        """Start from a snapshot; False where the fold is as far already."""
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
        """Note that the end of the log was known ``age`` seconds ago."""
        self._confirmed_at = max(self._confirmed_at, time.monotonic() - age)

    def mark_initialized(self) -> None:
        """Note that the stream holds nothing yet: that, too, is a state."""
        self._initialized = True

    async def wait_offset(self, next_offset: int) -> None:
        """Wait until everything before ``next_offset`` is folded in."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.next_offset >= next_offset)

    def get_records(self, from_offset: int) -> list[LogRecord] | None:
        """Return kept records from an offset on, or None where they are gone."""
        if from_offset >= self.next_offset:
            return []
        if from_offset not in self._recent_records:
            return None
        return [
            LogRecord(offset, json.loads(self._recent_records[offset]))
            for offset in range(from_offset, self.next_offset)
        ]

    def build_snapshot(self) -> list[dict[str, Any]]:
        """Return the signed parts of a snapshot of the present state."""
        return [part.to_value(self._secret) for part in self._fold.build_snapshot()]

    def parse_snapshot(self, values: list[Any]) -> list[SnapshotPart]:
        """Check the parts of a snapshot.

        Raises:
            InputError: A part is not signed by this fleet, or one is missing.
        """
        try:
            parts = [parse_snapshot_part(value, self._secret) for value in values]
        except (KeyError, TypeError, AttributeError) as error:
            raise InputError("snapshot", "", f"has another shape: {error}") from error
        if not parts or len(parts) != parts[0].parts:
            raise InputError("snapshot", "", "is not whole")
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
                record=outcome.record,
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
