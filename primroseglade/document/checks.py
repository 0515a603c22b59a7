"""Checks that need more than one section of the document."""

from collections.abc import Callable
from typing import Any

from ..errors import InputError
from .document import Document
from .schema import split_section

Changes = dict[str, dict[str, Any] | None]
Check = Callable[[Document, Changes], None]

# Shares are written as decimal fractions, whose sum may miss 1 by rounding.
SHARE_TOLERANCE = 1e-9

_checks: list[Check] = []


def cross_check(check: Check) -> Check:
    """Register a check of the document as it would stand with the changes."""
    _checks.append(check)
    return check


def check_changes(document: Document, changes: Changes) -> None:
    """Run every check.

    Raises:
        InputError: The changed document would contradict itself.
    """
    for check in _checks:
        check(document, changes)


def _stands(document: Document, changes: Changes, section: str) -> bool:
    if section in changes:
        return changes[section] is not None
    known = document.sections.get(section)
    return known is not None and known.value is not None


@cross_check
def _check_shares(document: Document, changes: Changes) -> None:
    shares = dict(document.shares)
    touched = False
    for section, value in changes.items():
        kind, name = split_section(section)
        if kind == "zones":
            touched = True
            shares[name] = value["share"] if value else 0.0
    if touched and sum(shares.values()) > 1 + SHARE_TOLERANCE:
        total = round(sum(shares.values()), 6)
        raise InputError("zones", "", f"shares add up to {total}", "1 at the most")


@cross_check
def _check_owners(document: Document, changes: Changes) -> None:
    owners = {"rates": "workspaces", "importance": "services"}
    for section, value in changes.items():
        kind, name = split_section(section)
        owner = owners.get(kind)
        if owner and value is not None:
            if not _stands(document, changes, f"{owner}/{name}"):
                raise InputError(section, "", f"there is no section {owner}/{name}")


@cross_check
def _check_keys(document: Document, changes: Changes) -> None:
    owners: dict[str, str] = {}
    for section, value in changes.items():
        kind, name = split_section(section)
        if kind != "workspaces" or value is None:
            continue
        for item in value["keys"]:
            owner = _find_other_owner(document, changes, item) or owners.get(item["id"])
            owner = owner or owners.get(item["digest"])
            if owner:
                reason = f"key {item['id']!r} stands in workspace {owner!r} already"
                raise InputError(section, "/keys", reason)
            owners[item["id"]] = owners[item["digest"]] = name


def _find_other_owner(
    document: Document, changes: Changes, item: dict[str, Any]
) -> str | None:
    """Return the workspace outside the edit in which the key stands."""
    for key in (document.find_key_id(item["id"]), document.find_key(item["digest"])):
        if key and f"workspaces/{key.workspace}" not in changes:
            return key.workspace
    return None
