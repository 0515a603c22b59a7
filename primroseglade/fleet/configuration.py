"""The configuration on one node: from the log, from peers, and on to others."""

import asyncio
import collections
import json
import random
import time
from collections.abc import Callable
from typing import Any

from ..document.document import Document
from ..document.fold import Fold, Outcome
from ..document.records import is_snapshot, parse_snapshot_part, SnapshotPart
from ..errors import InputError
from ..observe.events import (
    EDIT_ACCEPTED,
    EDIT_REFUSED,
    Journal,
    LOG_BACK,
    LOG_LOST,
    SNAPSHOT_LOADED,
    SNAPSHOT_REFUSED,
    SNAPSHOT_WRITTEN,
    STATE_UNREACHABLE,
)
from ..observe.metrics import Metrics
from ..platform.log import (
    CONFIGURATION,
    LogClient,
    LogRecord,
    LogUnavailableError,
    OffsetGoneError,
)
from ..proto import control_pb2 as pb
from .control import ControlClient, ControlServer, PeerError
from .hashing import rank
from .members import Members

RECORDS_KEPT = 512
POLL_SECONDS = 5.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 2.0
PULL_TIMEOUT_SECONDS = 2.0
# A node that does not follow the log itself looks at it when no neighbour has known
# its end for this long: the readers of its zone may all be gone.
LOOK_AFTER_SECONDS = 6.0
# A snapshot is also due after this many records, whatever the clock says.
SNAPSHOT_RECORDS = 2000

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
        self._recent: collections.OrderedDict[int, bytes] = collections.OrderedDict()
        self._known_at = -float("inf")
        self._started = False
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
        return self._started

    @property
    def age(self) -> float:
        """Seconds since the end of the log was last known, here or at a peer."""
        return time.monotonic() - self._known_at

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
            self._keep(record)
            self._tell(outcome)
        if records:
            self._started = True
            self._note_offset()

    def load(self, parts: list[SnapshotPart]) -> bool:
        """Start from a snapshot; False where the fold is as far already."""
        if not self._fold.load(parts):
            return False
        self._recent.clear()
        self._started = True
        self._journal.emit(SNAPSHOT_LOADED, next_offset=self.next_offset)
        outcome = Outcome(self.next_offset - 1, "", True, "snapshot")
        for watcher in self._watchers:
            watcher(outcome)
        self._note_offset()
        return True

    def confirm_age(self, age: float) -> None:
        """Note that the end of the log was known ``age`` seconds ago."""
        self._known_at = max(self._known_at, time.monotonic() - age)

    def confirm_empty(self) -> None:
        """Note that the stream holds nothing yet: that, too, is a state."""
        self._started = True

    async def wait_offset(self, next_offset: int) -> None:
        """Wait until everything before ``next_offset`` is folded in."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.next_offset >= next_offset)

    def get_records(self, from_offset: int) -> list[LogRecord] | None:
        """Return kept records from an offset on, or None where they are gone."""
        if from_offset >= self.next_offset:
            return []
        if from_offset not in self._recent:
            return None
        return [
            LogRecord(offset, json.loads(self._recent[offset]))
            for offset in range(from_offset, self.next_offset)
        ]

    def build_snapshot(self) -> list[dict[str, Any]]:
        """Return the signed parts of a snapshot of the present state."""
        return [part.to_value(self._secret) for part in self._fold.build_snapshot()]

    def read_snapshot(self, values: list[Any]) -> list[SnapshotPart]:
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

    def _keep(self, record: LogRecord) -> None:
        self._recent[record.offset] = json.dumps(record.value).encode()
        while len(self._recent) > RECORDS_KEPT:
            self._recent.popitem(last=False)

    def _tell(self, outcome: Outcome) -> None:
        verdict = "accepted" if outcome.accepted else "refused"
        self._metrics.edits.labels(verdict).inc()
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

    def _note_offset(self) -> None:
        self._metrics.next_offset.set(self.next_offset)
        task = asyncio.get_running_loop().create_task(self._notify())
        self._notifying = task

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()


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
        readers: int,
        journal: Journal,
    ):
        self._configuration = configuration
        self._log = log
        self._members = members
        self._readers = readers
        self._journal = journal
        self._lost = False

    async def run(self) -> None:
        """Read whenever it is this node's turn, or nobody's it seems."""
        delay = FIRST_RETRY_SECONDS
        while True:
            if not self._is_due():
                await asyncio.sleep(random.uniform(0.5, 1.0))
                continue
            try:
                await self._read_once()
                delay = FIRST_RETRY_SECONDS
                self._note_back()
            except LogUnavailableError as error:
                self._note_lost(error)
                await asyncio.sleep(random.uniform(delay / 2, delay))
                delay = min(LONGEST_RETRY_SECONDS, delay * 2)

    def is_reader(self) -> bool:
        """Whether this node is one of its zone's readers, as it sees the zone."""
        own = self._members.own
        names = [m.instance for m in self._members.get_reachable(own.zone)]
        return own.instance in rank("log-reader", names, self._readers)

    async def start(self) -> None:
        """Take the state from the log, as far as it holds it.

        Raises:
            LogUnavailableError: The log does not answer.
        """
        first, end = await self._log.get_range(CONFIGURATION)
        if end == 0:
            self._configuration.confirm_empty()
        elif first > self._configuration.next_offset:
            await self._start_from_snapshot(first, end)
        else:
            await self._read_up_to(end)
        self._configuration.confirm_age(0.0)

    def _is_due(self) -> bool:
        return self.is_reader() or self._configuration.age > LOOK_AFTER_SECONDS

    async def _read_once(self) -> None:
        if not self._configuration.ready:
            await self.start()
            return
        offset = self._configuration.next_offset
        asked_at = time.monotonic()
        try:
            records = await self._log.read(CONFIGURATION, offset, POLL_SECONDS)
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
        age = time.monotonic() - asked_at if records else 0.0
        self._configuration.confirm_age(age)

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
                parts = self._configuration.read_snapshot(values)
            except InputError as error:
                self._journal.emit(SNAPSHOT_REFUSED, reason=str(error))
                continue
            reaches = parts[0].next_offset >= first
            if reaches and (best is None or parts[0].next_offset > best[0].next_offset):
                best = parts
        return best

    def _note_lost(self, error: Exception) -> None:
        if not self._lost:
            self._journal.emit(LOG_LOST, error=str(error))
        self._lost = True

    def _note_back(self) -> None:
        if self._lost:
            self._journal.emit(LOG_BACK)
        self._lost = False


class PeerPuller:
    """Takes records from a peer that is ahead, and gives them to those behind.

    Args:
        configuration: The state.
        client: Asks peers.
        on_news: Called after records came in, to tell others at once.
    """

    def __init__(
        self,
        configuration: Configuration,
        client: ControlClient,
        on_news: Callable[[], None],
    ):
        self._configuration = configuration
        self._client = client
        self._on_news = on_news
        self._ahead: asyncio.Queue[str] = asyncio.Queue(maxsize=1)

    def register(self, server: ControlServer) -> None:
        """Answer peers that are behind."""
        server.register("Records", self._answer)

    def note_offset(self, next_offset: int, age: float, control: str) -> None:
        """Take a neighbour's word on how far and how fresh it is."""
        mine = self._configuration.next_offset
        if next_offset > mine or (next_offset == 0 and not self._configuration.ready):
            if not self._ahead.full():
                self._ahead.put_nowait(control)
        elif next_offset == mine and age < self._configuration.age:
            # Equal states: what the neighbour knows of their age holds here too.
            self._configuration.confirm_age(age)

    async def run(self) -> None:
        """Pull from whoever is ahead."""
        while True:
            control = await self._ahead.get()
            try:
                await self.pull(control)
            except (PeerError, InputError):
                continue

    async def pull(self, control: str) -> None:
        """Take what a node has and this one has not.

        Raises:
            PeerError: It does not answer.
            InputError: What it answered is not to be trusted.
        """
        before = self._configuration.next_offset
        request = pb.RecordsRequest(from_offset=before)
        reply = await self._client.call(
            control, "Records", request, PULL_TIMEOUT_SECONDS
        )
        if reply.snapshot:
            values = json.loads(reply.snapshot)
            parts = self._configuration.read_snapshot(values)
            self._configuration.load(parts)
        records = [
            LogRecord(item.offset, json.loads(item.value)) for item in reply.records
        ]
        self._configuration.apply(records)
        if self._configuration.next_offset > before:
            self._on_news()

    async def _answer(self, request: pb.RecordsRequest, _: str) -> pb.RecordsReply:
        records = self._configuration.get_records(request.from_offset)
        if records is None:
            values = self._configuration.build_snapshot()
            return pb.RecordsReply(snapshot=json.dumps(values).encode())
        messages = [
            pb.Record(offset=record.offset, value=json.dumps(record.value).encode())
            for record in records
        ]
        return pb.RecordsReply(records=messages)


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
        seconds: float,
        journal: Journal,
    ):
        self._configuration = configuration
        self._log = log
        self._reader = reader
        self._seconds = seconds
        self._journal = journal
        self._seen = -1
        self._seen_at = time.monotonic()

    async def run(self) -> None:
        """Write whenever one is due and nobody else has written it meanwhile."""
        while True:
            # The jitter decides who writes: whoever wakes first, and the others see
            # that snapshot in the stream before their own turn.
            await asyncio.sleep(random.uniform(0.05, 0.15) * self._seconds)
            if self._is_due():
                await self._write()

    def _is_due(self) -> bool:
        latest = self._configuration.fold.latest_snapshot
        if latest != self._seen:
            self._seen = latest
            self._seen_at = time.monotonic()
        news = self._configuration.next_offset - max(latest, 0)
        # Without any edit, too: the last snapshot will be forgotten like any record.
        overdue = time.monotonic() - self._seen_at > self._seconds
        due = news > 0 and (overdue or news > SNAPSHOT_RECORDS)
        return due and self._reader.is_reader()

    async def _write(self) -> None:
        next_offset = self._configuration.next_offset
        try:
            for value in self._configuration.build_snapshot():
                await self._log.append(CONFIGURATION, value)
        except LogUnavailableError:
            return
        self._journal.emit(SNAPSHOT_WRITTEN, next_offset=next_offset)
