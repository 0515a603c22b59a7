"""Records of the configuration log: edits by operators, snapshots by nodes."""

import hashlib
import hmac
import json
import uuid
from typing import Any

from ..errors import InputError
from ..settings.reader import build_validator, check

RECORD_FORMAT = 1
# The platform accepts records of this size; a larger snapshot is split into several.
SNAPSHOT_PART_BYTES = 256 * 1024

_VERSION_SCHEMA = {"type": ["integer", "null"], "minimum": 0}
_edit_validator = build_validator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": ["format", "id", "author", "edits"],
        "properties": {
            "format": {"const": RECORD_FORMAT, "description": "Format 1."},
            "id": {"type": "string", "minLength": 1, "maxLength": 64},
            "author": {"type": "string", "minLength": 1, "maxLength": 64},
            "edits": {
                "type": "array",
                "minItems": 1,
                "items": {
                    "type": "object",
                    "additionalProperties": False,
                    "required": ["section", "base", "value"],
                    "properties": {
                        "section": {"type": "string"},
                        "base": _VERSION_SCHEMA,
                        "value": {"type": ["object", "null"]},
                    },
                },
            },
        },
    }
)


class SectionEdit:
    """A new value for one section.

    Args:
        section: Name of the section, ``kind/name``.
        base: Version of the section that the editor saw (the offset of the record
            that set it), or None if the section never existed.
        value: The new value, or None to remove the section.
    """

    __slots__ = ("base", "section", "value")

    def __init__(self, section: str, base: int | None, value: dict[str, Any] | None):
        self.section = section
        self.base = base
        self.value = value


class Edit:
    """Edits of one or more sections that are accepted or rejected as a whole."""

    __slots__ = ("author", "edits", "id")

    def __init__(self, edits: list[SectionEdit], author: str, id: str = ""):
        self.edits = edits
        self.author = author
        self.id = id or uuid.uuid4().hex

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value of the log record."""
        return {
            "format": RECORD_FORMAT,
            "id": self.id,
            "author": self.author,
            "edits": [
                {"section": edit.section, "base": edit.base, "value": edit.value}
                for edit in self.edits
            ],
        }


def parse_edit(value: Any) -> Edit:
    """Parse an edit record.

    Raises:
        InputError: The value is not an edit, or its format is unknown.
    """
    check(value, _edit_validator, "record")
    edits = [
        SectionEdit(item["section"], item["base"], item["value"])
        for item in value["edits"]
    ]
    names = [edit.section for edit in edits]
    if len(set(names)) != len(names):
        raise InputError("record", "/edits", "names a section twice")
    return Edit(edits, value["author"], value["id"])


def is_snapshot(value: Any) -> bool:
    """Whether a record looks like a snapshot part; the signature is not verified."""
    return isinstance(value, dict) and "snapshot" in value


class SnapshotPart:
    """One part of a snapshot of all sections.

    Args:
        id: Id of the snapshot, the same in all its parts.
        next_offset: Offset of the first record that the snapshot does not include.
        part: Number of this part, from 0.
        parts: Number of parts of the snapshot.
        sections: Section name to the value of ``Section.to_stored``.
    """

    __slots__ = ("id", "next_offset", "part", "parts", "sections")

    def __init__(
        self,
        id: str,
        next_offset: int,
        part: int,
        parts: int,
        sections: dict[str, Any],
    ):
        self.id = id
        self.next_offset = next_offset
        self.part = part
        self.parts = parts
        self.sections = sections

    def to_value(self, secret: bytes) -> dict[str, Any]:
        """Return the JSON value of the log record, signed with the fleet secret."""
        body = {
            "id": self.id,
            "next_offset": self.next_offset,
            "part": self.part,
            "parts": self.parts,
            "sections": self.sections,
        }
        return {"format": RECORD_FORMAT, "snapshot": body, "mac": _sign(body, secret)}


def parse_snapshot_part(value: Any, secret: bytes) -> SnapshotPart:
    """Parse a snapshot part and verify its signature.

    Raises:
        InputError: The format is unknown, or the signature is not made with the fleet
            secret.
        KeyError, TypeError, AttributeError: The value is not a snapshot record.
    """
    if value.get("format") != RECORD_FORMAT:
        raise InputError("snapshot", "/format", "unknown format", str(RECORD_FORMAT))
    body = value["snapshot"]
    if not hmac.compare_digest(_sign(body, secret), str(value.get("mac"))):
        raise InputError("snapshot", "/mac", "is not signed with the fleet secret")
    return SnapshotPart(
        body["id"], body["next_offset"], body["part"], body["parts"], body["sections"]
    )


def _sign(body: Any, secret: bytes) -> str:
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hmac.new(secret, text.encode(), hashlib.sha256).hexdigest()


def split_snapshot(
    next_offset: int, sections: dict[str, Any], part_bytes: int = SNAPSHOT_PART_BYTES
) -> list[SnapshotPart]:
    """Split a state into snapshot parts of about ``part_bytes`` bytes each."""
    groups: list[dict[str, Any]] = [{}]
    group_bytes = 0
    for name, stored in sections.items():
        section_bytes = len(json.dumps(stored)) + len(name)
        if group_bytes + section_bytes > part_bytes and groups[-1]:
            groups.append({})
            group_bytes = 0
        groups[-1][name] = stored
        group_bytes += section_bytes
    snapshot_id = uuid.uuid4().hex
    return [
        SnapshotPart(snapshot_id, next_offset, number, len(groups), group)
        for number, group in enumerate(groups)
    ]
