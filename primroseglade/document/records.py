"""Records of the configuration stream: edits by operators, snapshots by nodes."""

import hashlib
import hmac
import json
import uuid
from typing import Any

from ..errors import InputError
from ..settings.reader import build_validator, check

RECORD_FORMAT = 1
# A record that the platform takes whole; larger states travel in several.
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
    """One section's new value.

    Args:
        section: ``kind/name``.
        base: Offset of the record that last changed the section as the editor saw
            it, or None where it had never stood.
        value: The new value, or None to take the section out.
    """

    __slots__ = ("base", "section", "value")

    def __init__(self, section: str, base: int | None, value: dict[str, Any] | None):
        self.section = section
        self.base = base
        self.value = value


class Edit:
    """Edits of one or more sections that are accepted or refused together."""

    __slots__ = ("author", "edits", "id")

    def __init__(self, edits: list[SectionEdit], author: str, id: str = ""):
        self.edits = edits
        self.author = author
        self.id = id or uuid.uuid4().hex

    def to_value(self) -> dict[str, Any]:
        """Return the record as the JSON value that is appended."""
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
        InputError: The value is not an edit of a known format.
    """
    check(value, _edit_validator, "record")
    edits = [
        SectionEdit(item["section"], item["base"], item["value"])
        for item in value["edits"]
    ]
    names = [edit.section for edit in edits]
    if len(set(names)) != len(names):
        raise InputError("record", "/edits", "edits a section twice")
    return Edit(edits, value["author"], value["id"])


def is_snapshot(value: Any) -> bool:
    """Whether a record claims to be part of a snapshot."""
    return isinstance(value, dict) and "snapshot" in value


class SnapshotPart:
    """A part of the whole state as of an offset.

    Args:
        id: The same in every part of a snapshot.
        next_offset: Offset of the first record that the state does not hold.
        part: Number of this part, from 0.
        parts: How many there are.
        sections: Section name to its stored form.
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
        """Return the signed record."""
        body = {
            "id": self.id,
            "next_offset": self.next_offset,
            "part": self.part,
            "parts": self.parts,
            "sections": self.sections,
        }
        return {"format": RECORD_FORMAT, "snapshot": body, "mac": _sign(body, secret)}


def parse_snapshot_part(value: Any, secret: bytes) -> SnapshotPart:
    """Parse a part and check that a node of this fleet wrote it.

    Raises:
        InputError: Another format, a wrong signature or a wrong shape.
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
    """Split a state into parts of about ``part_bytes`` bytes each."""
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
