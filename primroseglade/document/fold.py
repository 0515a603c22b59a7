"""Builds the document by applying the records of the configuration log in sequence.

The result depends only on the records, so all nodes arrive at the same document.
"""

from typing import Any

from ..errors import InputError
from .checks import check_changes
from .document import Document, Section
from .records import (
    Edit,
    is_snapshot,
    parse_edit,
    parse_snapshot_part,
    SnapshotPart,
    split_snapshot,
)
from .schema import check_section, split_section

# Maximum number of recent records whose outcomes are kept, for publishers that ask what
# became of their edit.
MAX_OUTCOMES = 1024
# Maximum number of incomplete snapshots kept; the oldest is dropped first. Without a
# limit, those whose writers died would accumulate, as they are never completed.
MAX_INCOMPLETE_SNAPSHOTS = 4


class Conflict:
    """A section that has changed since the version that an edit is based on.

    Args:
        section: Name of the section.
        base: Version that the edit is based on.
        version: Current version, or None if the section never existed.
        author: Author of the current version.
        record_id: Id of the record that set the current version.
    """

    __slots__ = ("author", "base", "record_id", "section", "version")

    def __init__(
        self,
        section: str,
        base: int | None,
        version: int | None,
        author: str,
        record_id: str,
    ):
        self.section = section
        self.base = base
        self.version = version
        self.author = author
        self.record_id = record_id

    def __str__(self) -> str:
        if self.version is None:
            return f"{self.section}: based on {self.base}, but it never existed"
        return (
            f"{self.section}: based on {self.base}, but {self.author} changed it "
            f"at {self.version} (record {self.record_id})"
        )


class Outcome:
    """The outcome of applying one record.

    Args:
        offset: Offset of the record.
        record_id: Id of the record; empty if the record has none.
        accepted: Whether the record was accepted.
        reason: Why the record was rejected; "snapshot" for an accepted snapshot part.
        sections: Names of the sections that the record edits.
    """

    __slots__ = ("accepted", "offset", "reason", "record_id", "sections")

    def __init__(
        self,
        offset: int,
        record_id: str,
        accepted: bool,
        reason: str = "",
        sections: tuple[str, ...] = (),
    ):
        self.offset = offset
        self.record_id = record_id
        self.accepted = accepted
        self.reason = reason
        self.sections = sections


class Fold:
    """Builds the document by applying log records in the order of their offsets.

    Args:
        secret: The fleet secret, with which snapshots are signed.
    """

    def __init__(self, secret: bytes):
        self._secret = secret
        self._document = Document()
        self._next_offset = 0
        self._outcomes: dict[str, Outcome] = {}
        self._incomplete_snapshots: dict[str, dict[int, SnapshotPart]] = {}
        self._latest_snapshot_offset = -1

    @property
    def document(self) -> Document:
        """The document after all records before ``next_offset``."""
        return self._document

    @property
    def next_offset(self) -> int:
        """Offset of the first record that has not been applied."""
        return self._next_offset

    @property
    def latest_snapshot_offset(self) -> int:
        """``next_offset`` of the newest complete snapshot in the log; -1 if none."""
        return self._latest_snapshot_offset

    def find_outcome(self, record_id: str) -> Outcome | None:
        """Return the outcome of the record with this id, if it is still stored."""
        return self._outcomes.get(record_id)

    def apply(self, offset: int, value: Any) -> Outcome:
        """Apply the record at ``offset``, unless it was applied before.

        Never raises because of the record's contents: every node rejects an invalid
        record for the same reason and continues with the next one.
        """
        if offset < self._next_offset:
            return Outcome(offset, "", False, "already applied")
        if is_snapshot(value):
            outcome = self._apply_snapshot_part(offset, value)
        else:
            outcome = self._apply_edit(offset, value)
        self._next_offset = offset + 1
        self._store_outcome(outcome)
        return outcome

    def _apply_edit(self, offset: int, value: Any) -> Outcome:
        record_id = ""
        sections: tuple[str, ...] = ()
        try:
            edit = parse_edit(value)
            record_id = edit.id
            sections = tuple(change.section for change in edit.edits)
            self._check_sections(edit)
        except InputError as error:
            return Outcome(offset, record_id, False, str(error), sections)
        conflicts = self._find_conflicts(edit)
        if conflicts:
            reason = "; ".join(str(conflict) for conflict in conflicts)
            return Outcome(offset, record_id, False, reason, sections)
        for change in edit.edits:
            section = Section(change.value, offset, edit.author, edit.id)
            self._document.put(change.section, section)
        return Outcome(offset, record_id, True, "", sections)

    def _check_sections(self, edit: Edit) -> None:
        changes = {}
        for change in edit.edits:
            split_section(change.section)
            if change.value is not None:
                check_section(change.section, change.value)
            changes[change.section] = change.value
        check_changes(self._document, changes)

    def _find_conflicts(self, edit: Edit) -> list[Conflict]:
        conflicts = []
        for change in edit.edits:
            current = self._document.sections.get(change.section)
            version = current.version if current else None
            if version != change.base:
                author = current.author if current else ""
                record_id = current.record_id if current else ""
                conflicts.append(
                    Conflict(change.section, change.base, version, author, record_id)
                )
        return conflicts

    def _apply_snapshot_part(self, offset: int, value: Any) -> Outcome:
        try:
            part = parse_snapshot_part(value, self._secret)
        except (InputError, KeyError, TypeError, AttributeError) as error:
            return Outcome(offset, "", False, f"snapshot rejected: {error}")
        if part.next_offset > offset:
            return Outcome(offset, part.id, False, "snapshot covers later records")
        parts = self._incomplete_snapshots.setdefault(part.id, {})
        parts[part.part] = part
        while len(self._incomplete_snapshots) > MAX_INCOMPLETE_SNAPSHOTS:
            del self._incomplete_snapshots[next(iter(self._incomplete_snapshots))]
        if len(parts) == part.parts:
            self._incomplete_snapshots.pop(part.id, None)
            self._latest_snapshot_offset = max(
                self._latest_snapshot_offset, part.next_offset
            )
        return Outcome(offset, part.id, True, "snapshot")

    def load(self, parts: list[SnapshotPart]) -> bool:
        """Replace the state with a complete snapshot, if the snapshot is newer.

        Returns:
            Whether the snapshot was loaded; an older one never reverts the state.
        """
        if parts[0].next_offset <= self._next_offset:
            return False
        document = Document()
        for part in parts:
            for name, stored in part.sections.items():
                document.put(name, Section(*stored))
        self._document = document
        self._next_offset = parts[0].next_offset
        self._latest_snapshot_offset = max(
            self._latest_snapshot_offset, self._next_offset
        )
        return True

    def build_snapshot(self) -> list[SnapshotPart]:
        """Return the current state as the parts of a snapshot."""
        stored = {
            name: section.to_stored()
            for name, section in self._document.sections.items()
        }
        return split_snapshot(self._next_offset, stored)

    def _store_outcome(self, outcome: Outcome) -> None:
        if outcome.record_id and outcome.record_id not in self._outcomes:
            self._outcomes[outcome.record_id] = outcome
        while len(self._outcomes) > MAX_OUTCOMES:
            del self._outcomes[next(iter(self._outcomes))]
