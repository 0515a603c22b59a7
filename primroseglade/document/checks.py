"""Consistency checks across sections of the document."""

from collections.abc import Callable
from typing import Any

from ..errors import InputError
from .document import Document
from .schema import split_section

Changes = dict[str, dict[str, Any] | None]
Check = Callable[[Document, Changes], None]

# Shares are decimal fractions: rounding can put their sum slightly above 1.
SHARE_SUM_TOLERANCE = 1e-9

_checks: list[Check] = []


def cross_check(check: Check) -> Check:
    """Register a check function, called with the current document and the changes."""
    _checks.append(check)
    return check


def check_changes(document: Document, changes: Changes) -> None:
    """Check that the document stays consistent after the changes.

    Args:
        document: The current document.
        changes: Section name to its new value, or None to remove the section.

    Raises:
        InputError: The changed document would be inconsistent.
    """
    for check in _checks:
        check(document, changes)


def _is_present(document: Document, changes: Changes, section: str) -> bool:
    if section in changes:
        return changes[section] is not None
    known = document.sections.get(section)
    return known is not None and known.value is not None


@cross_check
def _check_shares(document: Document, changes: Changes) -> None:
    shares = dict(document.shares)
    zones_changed = False
    for section, value in changes.items():
        kind, name = split_section(section)
        if kind == "zones":
            zones_changed = True
            shares[name] = value["share"] if value else 0.0
    if zones_changed and sum(shares.values()) > 1 + SHARE_SUM_TOLERANCE:
        total = round(sum(shares.values()), 6)
        raise InputError("zones", "", f"shares add up to {total}", "at most 1")


@cross_check
def _check_parent_sections(document: Document, changes: Changes) -> None:
    parent_kinds = {"rates": "workspaces", "importance": "services"}
    for section, value in changes.items():
        kind, name = split_section(section)
        parent = parent_kinds.get(kind)
        if parent and value is not None:
            if not _is_present(document, changes, f"{parent}/{name}"):
                raise InputError(section, "", f"there is no section {parent}/{name}")


@cross_check
def _check_keys(document: Document, changes: Changes) -> None:
    owners: dict[str, str] = {}
    for section, value in changes.items():
        kind, name = split_section(section)
        if kind != "workspaces" or value is None:
            continue
        for key_entry in value["keys"]:
            owner = _find_workspace_with_key(
                document, changes, key_entry
            ) or owners.get(key_entry["id"])
            owner = owner or owners.get(key_entry["digest"])
            if owner:
                reason = f"key {key_entry['id']!r} is already in workspace {owner!r}"
                raise InputError(section, "/keys", reason)
            owners[key_entry["id"]] = owners[key_entry["digest"]] = name


def _find_workspace_with_key(
    document: Document, changes: Changes, key_entry: dict[str, Any]
) -> str | None:
    """Return a workspace that has the key and is not part of the changes."""
    for key in (
        document.find_key_by_id(key_entry["id"]),
        document.find_key_by_digest(key_entry["digest"]),
    ):
        if key and f"workspaces/{key.workspace}" not in changes:
            return key.workspace
    return None
