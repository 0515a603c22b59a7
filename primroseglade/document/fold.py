"""Folds the configuration stream into the document, the same way on every node."""

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

# Outcomes kept for publishers who ask what became of their edit.
MAX_OUTCOMES = 1024
# Snapshots whose parts are still coming; a writer that died leaves one for good.
MAX_INCOMPLETE_SNAPSHOTS = 4


class Conflict:
    """A section that had moved on from the version an edit was based on.

    Args:
        section: Its name.
        base: The version that the edit named.
        version: The version that stood.
        author: Who had put that there.
        record: With which record.
    """

    __slots__ = ("author", "base", "record", "section", "version")

    def __init__(
        self,
        section: str,
        base: int | None,
        version: int | None,
        author: str,
        record: str,
    ):
        self.section = section
        self.base = base
        self.version = version
        self.author = author
        self.record = record

    def __str__(self) -> str:
        if self.version is None:
            return f"{self.section}: based on {self.base}, but it never stood"
        return (
            f"{self.section}: based on {self.base}, but {self.author} changed it "
            f"at {self.version} (record {self.record})"
        )


class Outcome:
    """What became of one record.

    Args:
        offset: The record's offset.
        record: Its id, empty where it has none.
        accepted: Whether the document took it.
        reason: Why not.
        sections: The sections it names.
    """

    __slots__ = ("accepted", "offset", "reason", "record", "sections")

    def __init__(
        self,
        offset: int,
        record: str,
        accepted: bool,
        reason: str = "",
        sections: tuple[str, ...] = (),
    ):
        self.offset = offset
        self.record = record
        self.accepted = accepted
        self.reason = reason
        self.sections = sections


class Fold:
    """The document as of an offset.

    Args:
        secret: The fleet secret, which signs snapshots.
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
        """The document in force."""
        return self._document

    @property
    def next_offset(self) -> int:
        """Offset of the first record that is not folded in."""
        return self._next_offset

    @property
    def latest_snapshot(self) -> int:
        """Offset up to which the newest complete snapshot in the stream holds."""
        return self._latest_snapshot_offset

    def find_outcome(self, record: str) -> Outcome | None:
        """Return what became of the record with this id, if it is still known."""
        return self._outcomes.get(record)

    def apply(self, offset: int, value: Any) -> Outcome:
        """Fold the record at ``offset`` in; one that came before changes nothing.

        Never raises for what the record holds: an unreadable record is refused,
        on every node for the same reason, and the fold goes on behind it.
        """
        if offset < self._next_offset:
            return Outcome(offset, "", False, "folded before")
        if is_snapshot(value):
            outcome = self._apply_snapshot_part(offset, value)
        else:
            outcome = self._apply_edit(offset, value)
        self._next_offset = offset + 1
        self._store_outcome(outcome)
        return outcome

    def _apply_edit(self, offset: int, value: Any) -> Outcome:
        record = ""
        sections: tuple[str, ...] = ()
        try:
            edit = parse_edit(value)
            record = edit.id
            sections = tuple(change.section for change in edit.edits)
            self._check_sections(edit)
        except InputError as error:
            return Outcome(offset, record, False, str(error), sections)
        conflicts = self._find_conflicts(edit)
        if conflicts:
            reason = "; ".join(str(conflict) for conflict in conflicts)
            return Outcome(offset, record, False, reason, sections)
        for change in edit.edits:
            section = Section(change.value, offset, edit.author, edit.id)
            self._document.put(change.section, section)
        return Outcome(offset, record, True, "", sections)

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
                record = current.record if current else ""
                conflicts.append(
                    Conflict(change.section, change.base, version, author, record)
                )
        return conflicts

    def _apply_snapshot_part(self, offset: int, value: Any) -> Outcome:
        try:
            part = parse_snapshot_part(value, self._secret)
        except (InputError, KeyError, TypeError, AttributeError) as error:
            return Outcome(offset, "", False, f"snapshot refused: {error}")
        if part.next_offset > offset:
            return Outcome(offset, part.id, False, "snapshot of a state to come")
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
        """Start from a whole snapshot, unless the fold is as far already.

        Returns:
            Whether the snapshot was taken: a late one never reverts.
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
        """Return the state as the parts of a snapshot."""
        stored = {
            name: section.to_stored()
            for name, section in self._document.sections.items()
        }
        return split_snapshot(self._next_offset, stored)

    def _store_outcome(self, outcome: Outcome) -> None:
        if outcome.record and outcome.record not in self._outcomes:
            self._outcomes[outcome.record] = outcome
        while len(self._outcomes) > MAX_OUTCOMES:
            del self._outcomes[next(iter(self._outcomes))]
